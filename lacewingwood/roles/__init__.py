"""Assembly of the process of each role."""
