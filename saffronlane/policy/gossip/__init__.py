"""Load information exchanged among gateways."""
