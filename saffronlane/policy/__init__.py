"""The decisions of a gateway, a package for each concern; users need only `Gateway`."""

from .gateway import Gateway

__all__ = ["Gateway"]
