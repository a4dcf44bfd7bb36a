"""The scenario files ("days") that ship with the package."""

from __future__ import annotations

from importlib import resources
from pathlib import Path


def names() -> list[str]:
    """Return the names of all shipped scenarios, sorted."""
    folder = resources.files(__package__)
    return sorted(f.name.removesuffix(".json") for f in folder.iterdir() if f.name.endswith(".json"))


def shipped(name: str) -> Path:
    """Return the file of a shipped scenario. Any other name is returned as a path."""
    path = Path(str(resources.files(__package__).joinpath(f"{name}.json")))
    return path if path.exists() else Path(name)
