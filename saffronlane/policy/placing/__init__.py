"""Which engine a query goes to: hash order, room, cold starts, load."""
