"""Model engines and plain services behind the system."""
