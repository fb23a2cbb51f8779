"""Parts that the cases 11 to 15 share."""
