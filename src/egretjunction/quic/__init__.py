"""The QUIC side: entries, agents and callers that end flows themselves."""
