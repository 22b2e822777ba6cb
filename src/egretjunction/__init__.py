"""egretjunction: a layer-4 load balancer that keeps each flow on its server."""

import importlib
import types

__all__ = ('caller', 'errors', 'operators', 'verdicts')


def __getattr__(name: str) -> types.ModuleType:
    """Import a public module on first use, so that daemons start without it.

    :param name: one of the names in ``__all__``.
    :return: the module.
    :raises AttributeError: for any other name.
    """
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return importlib.import_module(f'{__name__}.{name}')
