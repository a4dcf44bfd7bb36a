"""Attempts of requests, from their start to the final answer."""
