"""Health of engines, derived from the outcomes of attempts."""
