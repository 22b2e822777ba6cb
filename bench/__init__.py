"""Benchmarks; a module with a ``main`` function runs as ``python -m bench.NAME``."""
