"""Tests of the decisions by expected load."""
