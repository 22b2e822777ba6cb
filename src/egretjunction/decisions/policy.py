"""Classifies requests as feeds, small requests or large requests."""

import enum

from egretjunction.decisions import dispatch
from egretjunction.decisions import document


class RequestClass(enum.Enum):
    """Class of a request at the agent."""

    FEED = 'feed'
    SMALL = 'small'
    LARGE = 'large'

    @property
    def size(self) -> dispatch.Size:
        """Return the queue class; not meaningful for feeds, which need no slot."""
        if self is RequestClass.LARGE:
            return dispatch.Size.LARGE
        return dispatch.Size.SMALL


def request_class(
    service: document.Service,
    path: str,
    content_length: int | None,
) -> RequestClass:
    """Classify a request.

    :param service: configuration of the service that the request is for.
    :param path: path of the request.
    :param content_length: length of the body in bytes, None when unknown.
    """
    if document.matches_any(path, service.feed_paths):
        return RequestClass.FEED
    if document.matches_any(path, service.large_paths):
        return RequestClass.LARGE
    if content_length is not None and content_length >= service.large_bytes:
        return RequestClass.LARGE
    return RequestClass.SMALL
