"""The laboratory's seed: stand-in engines, scripted days, and an audit of the rules from recorded traffic.

Nothing here is part of the product; it needs the extra `[lab]` (pyarrow, numpy).
"""
