"""Decisions without input or output: clock and randomness are passed in."""
