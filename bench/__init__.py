"""Measurements; each module runs as ``python -m bench.NAME``."""
