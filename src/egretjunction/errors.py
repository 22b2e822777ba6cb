"""Exceptions of this package, with messages meant for the user."""

EXIT_USAGE = 2
EXIT_NOT_KNOWN = 3


class EgretjunctionError(Exception):
    """Base class of all errors that this package raises."""

    exit_code = 1


class SettingsError(EgretjunctionError):
    """A value in an INI file is missing, unknown or not allowed.

    :param source: name of the file that the value was read from.
    :param section: section of the file.
    :param key: key in the section, or ``*`` for the section as a whole.
    :param given: the rejected text.
    :param allowed: what would be accepted, in words.
    :param line: line number in the file, 0 when it is not known.
    :param rule: name of the rule that the value breaks.
    """

    exit_code = EXIT_USAGE

    def __init__(
        self,
        source: str,
        section: str,
        key: str,
        given: str,
        allowed: str,
        line: int = 0,
        rule: str = 'value',
    ) -> None:
        self.rule = rule
        self.source = source
        self.section = section
        self.key = key
        self.given = given
        self.allowed = allowed
        self.line = line
        super().__init__(
            f'{source}:{line}: section "{section}", key "{key}": '
            f'given "{given}", allowed: {allowed}',
        )


class SettingsErrors(ExceptionGroup[SettingsError]):
    """All errors of one INI file, reported together."""

    exit_code = EXIT_USAGE


class FeedRefusedError(EgretjunctionError):
    """The server refused a feed with a status that a new attempt does not change.

    :param status: HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f'the server refused the feed with HTTP status {status}')


class PacketError(EgretjunctionError):
    """A received datagram or message cannot be decoded."""


class PlatformUnavailableError(EgretjunctionError):
    """The platform's key-value service did not respond to a call."""


class NotKnownError(PlatformUnavailableError):
    """A write was sent but no response arrived, so its effect is unknown."""

    exit_code = EXIT_NOT_KNOWN


class UnreachableError(EgretjunctionError):
    """The admin endpoint of a daemon does not respond."""


class ConflictError(EgretjunctionError):
    """A compare-and-swap found a revision other than the expected one."""


class EditConflictError(EgretjunctionError):
    """Two operators changed the same section of the configuration.

    :param section: the section that both changed.
    :param ours: unified diff of the refused change.
    :param theirs: unified diff of the change that was accepted first.
    """

    def __init__(self, section: str, ours: str, theirs: str) -> None:
        self.section = section
        self.ours = ours
        self.theirs = theirs
        super().__init__(
            f'section "{section}" was changed concurrently by another operator;\n'
            f'your change:\n{ours}\naccepted change:\n{theirs}',
        )


class OwnershipError(EgretjunctionError):
    """A team tried to change a section that another team owns."""


class RefusedError(EgretjunctionError):
    """A document or value exceeds a limit, or a request names something unknown."""


class PlatformFormatError(EgretjunctionError):
    """A value or call of the platform cannot be decoded."""


def describe(error: BaseException) -> list[str]:
    """Return the message of an error, or of each error in a group.

    :param error: an error or a group; groups may be nested.
    :return: the messages, one per error.
    """
    if isinstance(error, BaseExceptionGroup):
        return [line for nested in error.exceptions for line in describe(nested)]
    return [str(error)]
