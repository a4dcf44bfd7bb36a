"""Which engines are left alone, and when they are tried again."""
