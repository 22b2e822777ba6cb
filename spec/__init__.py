"""The small specification: ``python -m spec`` checks every invariant."""
