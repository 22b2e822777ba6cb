"""Writes the settings reference of ``docs/OPERATIONS.md``.

``python -m bench.reference`` reads it from the docstrings of the settings classes.
"""

import inspect
import pathlib
import re
import typing

import msgspec

from egretjunction import settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
TABLES_BEGIN = '<!-- begin of the settings reference -->'
TABLES_END = '<!-- end of the settings reference -->'
SECTIONS = ('entry', 'agent')


def _description_by_param(settings_class: type) -> dict[str, str]:
    """Return the text of each ``:param:`` field of a class by its name."""
    text = inspect.getdoc(settings_class) or ''
    params = re.findall(r':param (\w+): (.*?)(?=\n:param|\Z)', text, re.DOTALL)
    return {name: ' '.join(description.split()) for name, description in params}


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    default_value: typing.Any = field.default
    return 'none' if default_value in {'', ()} else f'{default_value}'


def reference() -> str:
    """Return one Markdown table for each settings section."""
    lines = []
    for section in SECTIONS:
        settings_class = settings.STRUCT_BY_SECTION[section]
        description_by_param = _description_by_param(settings_class)
        lines.append(f'`[{section}]`\n\n| key | meaning | default |\n|---|---|---|')
        for field in msgspec.structs.fields(settings_class):
            description = description_by_param[field.name]
            lines.append(
                f'| `{field.name}` | {description} | {_format_default(field)} |'
            )
        lines.append('')
    return '\n'.join(lines).strip()


def main() -> None:
    """Replace the tables in the page."""
    text = PAGE.read_text('utf-8')
    head, _, rest = text.partition(TABLES_BEGIN)
    _, _, tail = rest.partition(TABLES_END)
    PAGE.write_text(
        f'{head}{TABLES_BEGIN}\n\n{reference()}\n\n{TABLES_END}{tail}', 'utf-8'
    )


if __name__ == '__main__':
    main()
