"""Tests of the relay daemons."""
