"""Choice of replicas, retries, deadlines and crash suspects."""
