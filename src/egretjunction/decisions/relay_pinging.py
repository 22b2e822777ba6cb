"""How often an entry pings an agent."""

PING_INTERVAL_SECONDS = 0.5
SILENT_PING_INTERVAL_SECONDS = 0.15  # bounds how late a returning agent is noticed
LOST_AFTER_SECONDS = 10.0  # longer than a machine takes to start after a power loss
LOST_PING_INTERVAL_SECONDS = 2.0
# Members of other failure domains that are not in use are pinged less often, so that
# control traffic between domains does not grow with the product of entries and agents.
FAR_PINGS_PER_SECOND = 20.0
MAX_FAR_PING_SECONDS = 8.0  # agents send changes of state to entries heard of for 10 s
FAR_SILENT_PING_SECONDS = 1.0


def near_interval(silent_seconds: float, *, is_answering: bool) -> float:
    """Return the seconds between pings to an agent that is near or in use.

    :param silent_seconds: how long an answer of it has been outstanding.
    :param is_answering: whether it has answered all requests, and at least one.
    """
    if silent_seconds > LOST_AFTER_SECONDS:
        return LOST_PING_INTERVAL_SECONDS
    return PING_INTERVAL_SECONDS if is_answering else SILENT_PING_INTERVAL_SECONDS


def far_interval(silent_seconds: float, far_count: int, *, is_answering: bool) -> float:
    """Return the seconds between pings to an agent of another domain, not in use.

    :param silent_seconds: how long an answer of it has been outstanding.
    :param far_count: number of such agents, which share the rate of pings.
    :param is_answering: whether it has answered all requests, and at least one.
    """
    interval = min(
        MAX_FAR_PING_SECONDS,
        max(PING_INTERVAL_SECONDS, far_count / FAR_PINGS_PER_SECOND),
    )
    if silent_seconds > LOST_AFTER_SECONDS:
        return max(LOST_PING_INTERVAL_SECONDS, interval)
    return interval if is_answering else min(FAR_SILENT_PING_SECONDS, interval)
