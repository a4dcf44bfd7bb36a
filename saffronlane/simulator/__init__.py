"""The adapter to the simulator's wire protocol, and the settings reader that the platform uses too."""
