"""The QUIC side: entries, agents that terminate QUIC flows, and callers."""
