"""State that all processes share, replicated through the log."""
