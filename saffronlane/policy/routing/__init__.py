"""Selection of the engine for a request."""
