"""The decision logic of a gateway, with a subpackage for each concern. The public class is `Gateway`."""

from .gateway import Gateway

__all__ = ["Gateway"]
