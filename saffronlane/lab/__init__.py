"""Laboratory: stand-in engines, scripted scenarios ("days") of load and faults, and an audit of the traffic.

Production code does not use this package. It needs the packages of the extra `[lab]` (pyarrow, numpy).
"""
