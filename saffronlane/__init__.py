"""The decisions of a query gateway; see `interface` and `rules`."""

from .policy import Gateway

__all__ = ["Gateway", "__version__"]
__version__ = "0.3.0"
