"""What runs in each role's process."""
