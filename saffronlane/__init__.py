"""saffronlane: the decisions of a query gateway, as a library."""

from .rules import Gateway

__all__ = ["Gateway"]
