"""Reads INI sections into typed structs and collects all errors of a file."""

import configparser
import functools
import typing

import msgspec

from egretjunction import _ini_lines
from egretjunction import addresses
from egretjunction import errors


def parse(text: str, source: str) -> configparser.ConfigParser:
    """Parse INI text without interpolation or a default section.

    :param text: the INI text.
    :param source: file name for error messages.
    :return: the parser that holds the sections.
    :raises errors.SettingsError: when the text is not valid INI.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        strict=True,
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise errors.SettingsError(
            source,
            getattr(error, 'section', '*'),
            getattr(error, 'option', '*'),
            str(error).splitlines()[0],
            'INI sections with unique keys',
            _line_of(error),
            'syntax',
        ) from error
    return parser


def _line_of(error: configparser.Error) -> int:
    """Return the line that an error of the parser names, 0 when it names none."""
    bad_lines = getattr(error, 'errors', None)
    if bad_lines:
        return bad_lines[0][0]
    return getattr(error, 'lineno', None) or 0


# A document has thousands of sections of the same type.
@functools.cache
def _fields_of(struct_type: type) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(struct_type)}


def _split_list(raw: str) -> list[str]:
    """Split a comma-separated value into its non-empty parts."""
    parts = [part.strip() for part in raw.split(',')]
    return [part for part in parts if part]


def _convert(raw: str, value_type: object) -> object:
    """Convert the text of one key to its type.

    :raises msgspec.ValidationError: when the text does not fit the type.
    :raises ValueError: when the text is not an address.
    """
    if typing.get_origin(value_type) is tuple:
        element_type = typing.get_args(value_type)[0]
        return tuple(_convert(part, element_type) for part in _split_list(raw))
    if value_type is addresses.Address:
        return addresses.parse(raw)
    return msgspec.convert(raw, value_type, strict=False)


class SectionReader:
    """Reads sections of one INI text and collects their errors.

    :param text: the whole INI text.
    :param source: file name for error messages.
    """

    __slots__ = ('_lines', 'collected_errors', 'parser', 'source', 'text')

    def __init__(self, text: str, source: str) -> None:
        self.text = text
        self.source = source
        self.parser = parse(text, source)
        self._lines: _ini_lines.LineIndex | None = None
        self.collected_errors: list[errors.SettingsError] = []

    def find_line(self, section: str, key: str) -> int:
        """Return the line number of a key, or of its section header."""
        if self._lines is None:
            self._lines = _ini_lines.LineIndex(self.text)
        return self._lines.find(section, key)

    def add_error(
        self, section: str, key: str, given: str, allowed: str, rule: str = 'value'
    ) -> None:
        """Record an error with its line number.

        :param section: section of the rejected value.
        :param key: key in the section, or ``*`` for the section as a whole.
        :param given: the rejected text.
        :param allowed: what would be accepted, in words.
        :param rule: name of the rule that the value breaks.
        """
        line = self.find_line(section, key)
        self.collected_errors.append(
            errors.SettingsError(self.source, section, key, given, allowed, line, rule),
        )

    def read(self, section: str, struct_type: type, **preset: object) -> typing.Any:
        """Read a section into a struct.

        :param section: name of the section.
        :param struct_type: a ``msgspec.Struct`` class.
        :param preset: values of fields that the file does not set.
        :return: an instance of ``struct_type``, None when the section has errors.
        """
        if not self.parser.has_section(section):
            self.add_error(section, '*', 'no such section', f'a section [{section}]')
            return None
        raw_by_key = dict(self.parser.items(section))
        error_count_before = len(self.collected_errors)
        value_by_name = dict(preset)
        fields = _fields_of(struct_type)
        for name, field in fields.items():
            if name not in preset and (name in raw_by_key or field.required):
                self._read_field(section, raw_by_key, field, value_by_name, name)
        self._add_unknown_keys(section, raw_by_key, set(fields) - set(preset))
        if len(self.collected_errors) > error_count_before:
            return None
        return struct_type(**value_by_name)

    def raise_errors(self) -> None:
        """Raise all collected errors as one group.

        :raises errors.SettingsErrors: when there is at least one error.
        """
        if self.collected_errors:
            raise errors.SettingsErrors(
                f'{self.source} has {len(self.collected_errors)} errors',
                self.collected_errors,
            )

    def _add_unknown_keys(
        self, section: str, raw_by_key: dict[str, str], known_keys: set[str]
    ) -> None:
        for key, given in raw_by_key.items():
            if key not in known_keys:
                known = ', '.join(sorted(known_keys))
                allowed = f'one of {known}' if known else 'no keys'
                self.add_error(section, key, given, allowed, 'unknown-key')

    def _read_field(
        self,
        section: str,
        raw_by_key: dict[str, str],
        field: msgspec.structs.FieldInfo,
        value_by_name: dict[str, object],
        name: str,
    ) -> None:
        if name not in raw_by_key:
            allowed = f'a value for "{name}"'
            self.add_error(section, name, 'nothing', allowed, 'missing-key')
            return
        raw = raw_by_key[name]
        try:
            value_by_name[name] = _convert(raw, field.type)
        except (msgspec.ValidationError, ValueError) as error:
            self.add_error(section, name, raw, str(error))
