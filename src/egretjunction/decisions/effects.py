"""Effects that the membership and configuration logic returns to the daemon."""

from egretjunction import addresses
from egretjunction.wire import messages


class SendTo:
    """Send a message to the control address of an entry."""

    __slots__ = ('address', 'message')

    def __init__(self, address: addresses.Address, message: messages.Message) -> None:
        self.address = address
        self.message = message


class Reply:
    """Send a message back to the sender of the message being handled."""

    __slots__ = ('message',)

    def __init__(self, message: messages.Message) -> None:
        self.message = message


class Log:
    """Log one event.

    :param event: name of the event.
    :param fields: fields of the log line.
    """

    __slots__ = ('event', 'fields')

    def __init__(self, event: str, **fields: object) -> None:
        self.event = event
        self.fields = fields


Effect = SendTo | Reply | Log
