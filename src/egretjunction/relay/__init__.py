"""Relaying of opaque flows: entries and agents that do not end the flows."""
