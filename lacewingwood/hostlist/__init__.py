"""Client of the platform's host list."""
