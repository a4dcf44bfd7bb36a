"""When requests are admitted, released and retried."""
