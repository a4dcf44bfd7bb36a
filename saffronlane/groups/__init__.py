"""Resource groups: a tree of shares and limits for waiting queries. Free of I/O, clocks and randomness."""

from .errors import Full
from .spec import GroupSpec, check_tree
from .tree import Item, Tree

__all__ = ["Full", "GroupSpec", "Item", "Tree", "check_tree"]
