"""A query gateway, which admits queries and routes them to engines.

`Gateway` is the policy, a library without I/O. Its inputs and outputs are defined in `interface`.
"""

from .policy import Gateway

__all__ = ["Gateway", "__version__"]
__version__ = "0.3.0"
