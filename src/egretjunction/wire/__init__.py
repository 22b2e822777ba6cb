"""Formats of the datagrams and messages that the system's processes exchange."""
