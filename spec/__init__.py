"""Model of the core protocol; ``python -m spec`` checks every invariant."""
