"""Structured logging: one line of key=value pairs per event, on standard error."""

import logging
import sys

import structlog


def configure(process: str, level: int = logging.INFO) -> None:
    """Configure logging for this process.

    :param process: process name, written on every line.
    :param level: lowest level that is written.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'process', 'event'],
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
    logging.getLogger('tornado.access').setLevel(logging.ERROR)


def get() -> structlog.typing.FilteringBoundLogger:
    """Return the logger of this process."""
    return structlog.get_logger()
