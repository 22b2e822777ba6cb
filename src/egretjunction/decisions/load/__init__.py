"""Load of backend servers as learned from their flows, and placement by it."""
