"""Compares shell patterns with each other, without matching names one by one.

The answers err on one side: ``covers`` and ``are_disjoint`` return True only when this
is certain for every name.
"""

import re

_WILDCARDS = re.compile(r'[*?\[]')
_NAME_CHARACTERS = re.compile(r'[a-z0-9.*?-]*')
MAX_NAME_LENGTH = 63


def covers(general: str, special: str) -> bool:
    """Return whether one pattern certainly matches every text that another matches."""
    if general in {special, '*'}:
        return True
    if '?' in general or '[' in general or '[' in special:
        return False
    return '*' in general and _star_matches(general, special)


def are_disjoint(one: str, other: str) -> bool:
    """Return whether certainly no text matches both patterns."""
    if '[' in one or '[' in other:
        return _prefixes_differ(one, other)
    if _prefixes_differ(one, other) or _prefixes_differ(
        _reversed(one), _reversed(other)
    ):
        return True
    return one != other and not _WILDCARDS.search(one + other)


def can_match_name(pattern: str) -> bool:
    """Return whether a pattern can match the name of a backend server.

    Patterns with character classes are assumed to match some name.
    """
    if '[' in pattern:
        return True
    if not _NAME_CHARACTERS.fullmatch(pattern) or pattern[:1] in {'', '.', '-'}:
        return False
    return len(pattern.replace('*', '')) <= MAX_NAME_LENGTH


def can_match_path(pattern: str) -> bool:
    """Return whether a pattern can match a path, which begins with a slash."""
    return pattern[:1] in {'/', '*', '?', '['}


def _reversed(text: str) -> str:
    return ''.join(reversed(text))


def _literal_prefix(pattern: str) -> str:
    return _WILDCARDS.split(pattern, maxsplit=1)[0]


def _prefixes_differ(one: str, other: str) -> bool:
    one_prefix, other_prefix = _literal_prefix(one), _literal_prefix(other)
    shorter, longer = sorted((one_prefix, other_prefix), key=len)
    if not longer.startswith(shorter):
        return True
    # A pattern without wildcards ends where its prefix ends.
    is_one_shorter = one_prefix == one and len(one) < len(other_prefix)
    is_other_shorter = other_prefix == other and len(other) < len(one_prefix)
    return is_one_shorter or is_other_shorter


def _star_matches(pattern: str, text: str) -> bool:
    """Return whether a pattern whose only wildcard is ``*`` matches a text."""
    first, *middle, last = pattern.split('*')
    if len(text) < len(first) + len(last):
        return False
    if not text.startswith(first) or not text.endswith(last):
        return False
    position, end = len(first), len(text) - len(last)
    for part in middle:
        found = text.find(part, position, end)
        if found < 0:
            return False
        position = found + len(part)
    return True
