"""Small stand-ins for what the platform gives."""
