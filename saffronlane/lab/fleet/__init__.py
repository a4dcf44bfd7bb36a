"""Runs a fleet of real gateway processes on one machine and injects faults; see `docs/fleet.md`."""
