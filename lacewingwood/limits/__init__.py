"""Rate and burst of customers over the whole fleet."""
