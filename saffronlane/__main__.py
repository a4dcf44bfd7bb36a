"""Runs the command line by `python -m saffronlane`."""

from .cli.program import main

main()
