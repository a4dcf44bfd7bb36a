"""A fleet of processes of the real program on one machine, and faults between them; see `docs/fleet.md`."""
