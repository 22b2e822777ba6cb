"""Exceptions that carry a message for the person at the terminal."""

EXIT_USAGE = 2
EXIT_NOT_KNOWN = 3


class EgretjunctionError(Exception):
    """Base class of every error that this package raises on purpose."""

    exit_code = 1


class SettingsError(EgretjunctionError):
    """One value in an INI file is missing, unknown or not allowed.

    :param source: file name that the value was read from.
    :param section: section of the file.
    :param key: key in the section, or ``*`` for the section as a whole.
    :param given: the text that was found.
    :param allowed: what would be accepted, in words.
    :param line: line number in the file, 0 when it has none.
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
    ) -> None:
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
    """Every error of one INI file, so that one run shows them all."""

    exit_code = EXIT_USAGE


class PacketError(EgretjunctionError):
    """A datagram or message from outside cannot be decoded."""


class PlatformUnavailableError(EgretjunctionError):
    """The platform's key-value service did not answer a call."""


class NotKnownError(PlatformUnavailableError):
    """A write was sent but its answer was lost, so its effect is unknown."""

    exit_code = EXIT_NOT_KNOWN


class UnreachableError(EgretjunctionError):
    """A daemon's admin endpoint does not answer."""


class ConflictError(EgretjunctionError):
    """A compare-and-swap found another revision than the expected one."""


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
            f'section "{section}" was changed by someone else meanwhile;\n'
            f'your change:\n{ours}\naccepted change:\n{theirs}',
        )


class OwnershipError(EgretjunctionError):
    """A team tried to change a section that another team owns."""


class RefusedError(EgretjunctionError):
    """A document, value or request exceeds a stated limit."""


class PlatformFormatError(EgretjunctionError):
    """A value or call of the platform cannot be read."""


def describe(error: BaseException) -> list[str]:
    """Return one message for each error in a group."""
    if isinstance(error, BaseExceptionGroup):
        return [line for each in error.exceptions for line in describe(each)]
    return [str(error)]
