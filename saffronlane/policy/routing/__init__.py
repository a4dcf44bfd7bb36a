"""Which engine a request goes to."""
