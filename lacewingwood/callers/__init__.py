"""HTTP interface towards callers."""
