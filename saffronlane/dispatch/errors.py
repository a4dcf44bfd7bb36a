"""Errors of the dispatcher and of its recordings."""

from __future__ import annotations

from ..errors import SaffronlaneError


class DuplicateRequestError(SaffronlaneError, ValueError):
    """A request was submitted with a number that is already in use."""

    remedy = "Take each request's number from `Dispatcher.new_request`."


class RecordingError(SaffronlaneError):
    """A file is not a recording, or one of its steps cannot be read. The message names the step."""

    remedy = "Replay a recording that is complete and was written by a gateway of this version."
