"""Values of settings by dotted path, read from `path=value` lines or from nested JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ..errors import SaffronlaneError


class SettingsError(SaffronlaneError):
    """A setting is missing or invalid.

    Attributes:
        path: The dotted path of the setting.
    """

    remedy = "Correct the setting that the text names."

    def __init__(self, path: str, text: str) -> None:
        super().__init__(text, place=path)
        self.path = path


class Params:
    """Values of settings as text, by dotted path.

    Args:
        values: The values by dotted path.
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    @classmethod
    def from_lines(cls, text: str) -> Params:
        """Parse `path=value` lines."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    @classmethod
    def from_object(cls, settings: Mapping[str, object]) -> Params:
        """Flatten nested JSON into dotted paths."""
        return cls(dict(_flatten("", settings)))

    def __contains__(self, path: str) -> bool:
        return path in self._values

    def text(self, path: str, default: str | None = None) -> str:
        """Return a value as text.

        Raises:
            SettingsError: The setting is missing and has no default.
        """
        value = self._values.get(path, default)
        if value is None:
            raise SettingsError(path, f"setting {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        """Return a value as a number.

        Raises:
            SettingsError: The setting is missing and has no default, or is not a number.
        """
        value = self.text(path, None if default is None else repr(default))
        try:
            return float(value)
        except ValueError as error:
            raise SettingsError(path, f"setting {path} is not a number: {value!r}") from error

    def flag(self, path: str) -> bool:
        """Return whether a setting is true; a missing setting is false."""
        return self.text(path, "false") == "true"

    def items(self, path: str, default: str | None = None) -> list[str]:
        """Return the items of a comma-separated list."""
        value = self.text(path, default)
        return value.split(",") if value else []


def _scalar_text(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Yield the path and the text of each value; a list of objects also yields its length as `count`."""
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from _flatten(f"{path}.{name}" if path else str(name), item)
    elif isinstance(value, list) and (not value or isinstance(value[0], Mapping)):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from _flatten(f"{path}.{index}", item)
        if not value:
            yield path, ""
    elif isinstance(value, list):
        yield path, ",".join(map(_scalar_text, value))
    else:
        yield path, _scalar_text(value)
