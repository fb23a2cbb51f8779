"""Transport and messages between the system's own processes."""
