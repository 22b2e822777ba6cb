"""Formats of the datagrams and messages between the system's processes."""
