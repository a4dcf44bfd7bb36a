"""When a held query leaves or is refused: group EDF, pressure, what may be repeated."""
