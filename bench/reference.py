"""Writes the settings reference of ``docs/OPERATIONS.md`` from the checked settings."""

import inspect
import pathlib
import re
import typing

import msgspec

from egretjunction import settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
BEGIN = '<!-- begin of the settings reference -->'
END = '<!-- end of the settings reference -->'
SECTIONS = ('entry', 'agent')


def _meanings(kind: type) -> dict[str, str]:
    """Return the text of each ``:param:`` line of a class."""
    text = inspect.getdoc(kind) or ''
    found = re.findall(r':param (\w+): (.*?)(?=\n:param|\Z)', text, re.DOTALL)
    return {name: ' '.join(meaning.split()) for name, meaning in found}


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    shown: typing.Any = field.default
    return 'none' if shown in {'', ()} else f'{shown}'


def reference() -> str:
    """Return the tables in Markdown."""
    parts = []
    for section in SECTIONS:
        kind = settings.STRUCT_BY_SECTION[section]
        meanings = _meanings(kind)
        parts.append(f'`[{section}]`\n\n| key | meaning | default |\n|---|---|---|')
        for field in msgspec.structs.fields(kind):
            meaning = meanings[field.name]
            parts.append(f'| `{field.name}` | {meaning} | {_default(field)} |')
        parts.append('')
    return '\n'.join(parts).strip()


def main() -> None:
    """Write the tables into the page."""
    text = PAGE.read_text('utf-8')
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(f'{head}{BEGIN}\n\n{reference()}\n\n{END}{tail}', 'utf-8')


if __name__ == '__main__':
    main()
