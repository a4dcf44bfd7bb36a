"""Admission, scheduling and retries of requests."""
