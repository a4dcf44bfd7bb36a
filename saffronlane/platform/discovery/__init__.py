"""Discovery: follows the control feed and keeps the table of engine endpoints."""
