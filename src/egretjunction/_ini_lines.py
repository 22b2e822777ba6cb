"""Finds the line numbers of sections and keys in INI text."""

import re

_KEY = re.compile(r'([^=:#;\s][^=:]*?)\s*[=:]')
_SECTION_LINE = ''


class LineIndex:
    """Line numbers of one INI text, from a single pass over it.

    :param text: the INI text.
    """

    __slots__ = ('_line_by_key',)

    def __init__(self, text: str) -> None:
        self._line_by_key: dict[tuple[str, str], int] = {}
        section = ''
        for number, line in enumerate(text.splitlines(), start=1):
            stripped = line.strip()
            if stripped.startswith('['):
                section = stripped.removeprefix('[').rpartition(']')[0]
                self._line_by_key[section, _SECTION_LINE] = number
            elif section:
                match = _KEY.match(stripped)
                if match is not None:
                    key = match.group(1).lower()
                    self._line_by_key.setdefault((section, key), number)

    def find(self, section: str, key: str) -> int:
        """Return the line number of a key.

        Falls back to the line of the section header, or to 0 without such a section.
        """
        header_line = self._line_by_key.get((section, _SECTION_LINE), 0)
        return self._line_by_key.get((section, key.lower()), header_line)
