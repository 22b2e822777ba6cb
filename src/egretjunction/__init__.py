"""egretjunction: a layer-4 load balancer that keeps flows with their server."""

from egretjunction import caller
from egretjunction import errors
from egretjunction import operators
from egretjunction import verdicts

__all__ = ('caller', 'errors', 'operators', 'verdicts')
