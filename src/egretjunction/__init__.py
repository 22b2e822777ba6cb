"""egretjunction: a layer-4 load balancer that keeps flows with their server."""

import importlib
import types

__all__ = ('caller', 'errors', 'operators', 'verdicts')


def __getattr__(name: str) -> types.ModuleType:
    """Import a public module when it is first used; daemons start without them.

    :param name: one of the names in ``__all__``.
    :raises AttributeError: for any other name.
    """
    if name not in __all__:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return importlib.import_module(f'{__name__}.{name}')
