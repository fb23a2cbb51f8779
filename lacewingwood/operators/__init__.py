"""Admin listener, configuration documents and sessions of operators."""
