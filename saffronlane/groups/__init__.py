"""Resource groups: a tree of shares and limits over queries that wait. Pure: no I/O, no clock, no draws."""

from .errors import Full
from .spec import GroupSpec, check_tree
from .tree import Item, Tree

__all__ = ["Full", "GroupSpec", "Item", "Tree", "check_tree"]
