"""Tests, in a folder that mirrors the package."""
