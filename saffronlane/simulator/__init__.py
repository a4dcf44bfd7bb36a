"""The adapter to the simulator's wire protocol, and the simulator's settings, also used by the platform."""
