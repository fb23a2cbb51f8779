"""Stand-ins and helpers of the scripts in cases 6 to 10."""
