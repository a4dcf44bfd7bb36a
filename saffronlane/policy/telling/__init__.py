"""What gateways tell each other."""
