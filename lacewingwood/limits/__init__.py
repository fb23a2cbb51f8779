"""Rate limits of customers, enforced over the whole fleet."""
