"""Runs a fleet of real gateway processes on one machine and injects faults; see `docs/fleet.md`.

In this package, a dispatcher is a gateway of `saffronlane.platform`, and a node is a stand-in for an engine.
"""
