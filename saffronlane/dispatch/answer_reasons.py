"""Reasons of final answers. Recordings store them and a replay compares them, so changes break replays."""

NO_CAPACITY = "no engine can serve it in time"
MAY_HAVE_RUN = "no answer in time, and it may have run"
REPEAT_NOT_ALLOWED = "a request with this key may have run before, and may not be repeated now"
