"""Reads INI sections into typed classes and collects every error."""

import configparser
import re
import typing

import msgspec

from egretjunction import addresses
from egretjunction import errors


def parse(text: str, source: str) -> configparser.ConfigParser:
    """Parse INI text without interpolation or a default section.

    :param text: the document.
    :param source: file name for messages.
    :raises errors.SettingsError: when the text is not INI.
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


def line_of(text: str, section: str, key: str) -> int:
    """Return the line number of a key, or of its section header, or 0."""
    found = 0
    inside = False
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            inside = stripped == f'[{section}]'
            found = number if inside else found
        elif inside and re.match(rf'{re.escape(key)}\s*[=:]', stripped, re.IGNORECASE):
            return number
    return found


def _split_list(raw: str) -> list[str]:
    """Split a comma-separated value into its non-empty parts."""
    parts = [part.strip() for part in raw.split(',')]
    return [part for part in parts if part]


def _convert(raw: str, kind: object) -> object:
    """Convert the text of one key to its type."""
    if typing.get_origin(kind) is tuple:
        each_kind = typing.get_args(kind)[0]
        return tuple(_convert(part, each_kind) for part in _split_list(raw))
    if kind is addresses.Address:
        return addresses.parse(raw)
    return msgspec.convert(raw, kind, strict=False)


class SectionReader:
    """Reads sections of one document and keeps the errors it found.

    :param text: the whole document.
    :param source: file name for messages.
    """

    __slots__ = ('found', 'parser', 'source', 'text')

    def __init__(self, text: str, source: str) -> None:
        self.text = text
        self.source = source
        self.parser = parse(text, source)
        self.found: list[errors.SettingsError] = []

    def add_error(self, section: str, key: str, given: str, allowed: str) -> None:
        """Remember one error with the line that it stands on."""
        line = line_of(self.text, section, key)
        self.found.append(
            errors.SettingsError(self.source, section, key, given, allowed, line),
        )

    def read(self, section: str, kind: type, **preset: object) -> typing.Any:
        """Return an instance of ``kind``, or None when the section has errors.

        :param section: name of the section.
        :param kind: a ``msgspec.Struct`` class.
        :param preset: fields that do not come from the file.
        """
        if not self.parser.has_section(section):
            self.add_error(section, '*', 'no such section', f'a section [{section}]')
            return None
        given_by_key = dict(self.parser.items(section))
        before = len(self.found)
        value_by_name = dict(preset)
        fields = {
            field.name: field
            for field in msgspec.structs.fields(kind)
            if field.name not in preset
        }
        for name, field in fields.items():
            self._read_field(section, given_by_key, field, value_by_name, name)
        for key in given_by_key:
            if key not in fields:
                known = ', '.join(sorted(fields))
                allowed = f'one of {known}'
                self.add_error(section, key, given_by_key[key], allowed)
        if len(self.found) > before:
            return None
        return kind(**value_by_name)

    def raise_errors(self) -> None:
        """Raise every error that was found.

        :raises errors.SettingsErrors: when there is at least one.
        """
        if self.found:
            raise errors.SettingsErrors(
                f'{self.source} has {len(self.found)} errors',
                self.found,
            )

    def _read_field(
        self,
        section: str,
        given_by_key: dict[str, str],
        field: msgspec.structs.FieldInfo,
        value_by_name: dict[str, object],
        name: str,
    ) -> None:
        if name not in given_by_key:
            if field.required:
                self.add_error(section, name, 'nothing', f'a value for "{name}"')
            return
        raw = given_by_key[name]
        try:
            value_by_name[name] = _convert(raw, field.type)
        except (msgspec.ValidationError, ValueError) as error:
            self.add_error(section, name, raw, str(error))
