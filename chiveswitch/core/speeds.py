"""Lasting speed of targets."""

# Bounds of the factors that count; others are errors of a target or of a gateway. A factor says
# how long work takes at a target: 1.0 as usual, 2.0 twice as long.
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
