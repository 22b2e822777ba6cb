"""Load of a backend server as learned from its flows, and placement by it."""
