"""Errors of the dispatcher and of its recordings."""

from __future__ import annotations

from ..errors import SaffronlaneError


class DuplicateRequestError(SaffronlaneError, ValueError):
    """A request was submitted under a number that is in use."""

    remedy = "Take each request's number from `Dispatcher.new_request`."


class RecordingError(SaffronlaneError):
    """The file is no recording, or a step of it cannot be read; the text names the step."""

    remedy = "Replay a record that a gateway of this version wrote, or one that was not cut off."
