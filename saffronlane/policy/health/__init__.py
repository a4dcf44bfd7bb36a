"""Health of engines as seen through the outcomes of attempts."""
