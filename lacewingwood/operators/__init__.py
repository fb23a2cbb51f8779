"""Admin listener, configuration documents and client commands."""
