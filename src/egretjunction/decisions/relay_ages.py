"""Whether an incarnation of a backend server started after a process of its agent.

Such a process has a record of every flow of the server. That it followed another one
before proves nothing: the first heartbeat that it got may have been held up, and the
living server be older than the process.
"""

from egretjunction.decisions import relay_heartbeats

ANSWER_SECONDS = 1.0  # servers wait as long for the answer to a heartbeat
# A supervisor waits at least this long before it starts an ended process again.
MIN_RESTART_SECONDS = 0.1


def is_younger_than_agent(
    heartbeat: relay_heartbeats.Heartbeat,
    age_seconds: float,
    uptime_seconds: float,
    listening_seconds: float,
    heartbeat_seconds: float,
) -> bool:
    """Tell whether no earlier process of the agent has taken a flow of the server.

    :param heartbeat: the first heartbeat that this process gets of the incarnation.
    :param age_seconds: time since the server's start by the time of day.
    :param uptime_seconds: time since the start of this process.
    :param listening_seconds: time since this process can receive heartbeats.
    :param heartbeat_seconds: interval between heartbeats.
    """
    if heartbeat.sequence <= 1:
        return True
    longest_seconds = heartbeat.sequence * (heartbeat_seconds + ANSWER_SECONDS)
    if longest_seconds <= listening_seconds:
        return True
    return _has_started_with_agent(heartbeat, age_seconds, uptime_seconds)


def _has_started_with_agent(
    heartbeat: relay_heartbeats.Heartbeat, age_seconds: float, uptime_seconds: float
) -> bool:
    """Tell whether no earlier process can have sent the server a packet.

    After a power loss, server and agent start together, and the agent misses the
    server's first heartbeats. An earlier agent process would have had to end, and
    this one to be started, within the server's life. The time of day may have been
    stepped; a server that is no longer cold is therefore never taken for a new one,
    and entries that heard of it from an earlier process say so.
    """
    if not heartbeat.cold_ms:
        return False
    return 0 <= age_seconds <= uptime_seconds + MIN_RESTART_SECONDS
