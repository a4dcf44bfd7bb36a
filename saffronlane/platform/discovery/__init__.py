"""Discovery: watches the control feed and maintains the table of engine endpoints."""
