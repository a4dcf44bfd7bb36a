"""Load information that gateways exchange."""
