"""Every decision of a gateway, a folder for each concern; `Gateway` is all that others need."""

from .gateway import Gateway

__all__ = ["Gateway"]
