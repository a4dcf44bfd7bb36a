"""The days that ship with the program."""

from __future__ import annotations

from importlib import resources
from pathlib import Path


def names() -> list[str]:
    folder = resources.files(__package__)
    return sorted(f.name.removesuffix(".json") for f in folder.iterdir() if f.name.endswith(".json"))


def shipped(name: str) -> Path:
    """The file of a shipped day; of any other name, the path itself."""
    path = Path(str(resources.files(__package__).joinpath(f"{name}.json")))
    return path if path.exists() else Path(name)
