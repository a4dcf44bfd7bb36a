"""Attempts of requests, from the first dispatch to the final answer."""
