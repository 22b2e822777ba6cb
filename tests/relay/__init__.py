"""Tests of the daemons that relay."""
