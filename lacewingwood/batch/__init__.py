"""Files, jobs, batch room on replicas and results."""
