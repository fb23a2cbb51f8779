"""State shared by all processes through the log."""
