"""Reads INI sections into typed structs and collects all errors of a file."""

import configparser
import re
import typing

import msgspec

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
        line = getattr(error, 'lineno', None) or 0
        raise errors.SettingsError(
            source,
            getattr(error, 'section', '*'),
            getattr(error, 'option', '*'),
            str(error).splitlines()[0],
            'INI sections with unique keys',
            line,
        ) from error
    return parser


def find_line(text: str, section: str, key: str) -> int:
    """Return the line number of a key.

    Falls back to the line of the section header, or to 0 without such a section.
    """
    line_number = 0
    in_section = False
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            in_section = stripped == f'[{section}]'
            line_number = number if in_section else line_number
        elif in_section and re.match(
            rf'{re.escape(key)}\s*[=:]', stripped, re.IGNORECASE
        ):
            return number
    return line_number


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

    __slots__ = ('collected_errors', 'parser', 'source', 'text')

    def __init__(self, text: str, source: str) -> None:
        self.text = text
        self.source = source
        self.parser = parse(text, source)
        self.collected_errors: list[errors.SettingsError] = []

    def add_error(self, section: str, key: str, given: str, allowed: str) -> None:
        """Record an error with its line number.

        :param section: section of the rejected value.
        :param key: key in the section, or ``*`` for the section as a whole.
        :param given: the rejected text.
        :param allowed: what would be accepted, in words.
        """
        line = find_line(self.text, section, key)
        self.collected_errors.append(
            errors.SettingsError(self.source, section, key, given, allowed, line),
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
        fields = {
            field.name: field
            for field in msgspec.structs.fields(struct_type)
            if field.name not in preset
        }
        for name, field in fields.items():
            self._read_field(section, raw_by_key, field, value_by_name, name)
        for key in raw_by_key:
            if key not in fields:
                known = ', '.join(sorted(fields))
                allowed = f'one of {known}' if known else 'no keys'
                self.add_error(section, key, raw_by_key[key], allowed)
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

    def _read_field(
        self,
        section: str,
        raw_by_key: dict[str, str],
        field: msgspec.structs.FieldInfo,
        value_by_name: dict[str, object],
        name: str,
    ) -> None:
        if name not in raw_by_key:
            if field.required:
                self.add_error(section, name, 'nothing', f'a value for "{name}"')
            return
        raw = raw_by_key[name]
        try:
            value_by_name[name] = _convert(raw, field.type)
        except (msgspec.ValidationError, ValueError) as error:
            self.add_error(section, name, raw, str(error))
