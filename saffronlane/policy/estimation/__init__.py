"""Estimates of run time, work and engine load."""
