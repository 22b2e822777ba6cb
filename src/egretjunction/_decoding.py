"""Decoding of what other processes and writers have put down.

msgspec reports most errors as ``DecodeError``, but not all: deep nesting raises
``RecursionError``, and JSON integers may be larger than messages can carry.
"""

import typing

import msgspec

MAX_INTEGER = 0x7FFFFFFFFFFFFFFF  # the highest bound that msgspec takes
Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Decoder(typing.Protocol):
    def decode(self, encoded: bytes) -> typing.Any:
        """Return the decoded value."""


def decode_json(document: bytes, expected_type: typing.Any) -> typing.Any:
    """Decode a JSON document.

    :param document: the document.
    :param expected_type: type of the result.
    :raises msgspec.DecodeError: when it is malformed, of another type, or nested too
        deeply.
    """
    return decode_with(msgspec.json.Decoder(expected_type), document)


def decode_with(decoder: _Decoder, encoded: bytes) -> typing.Any:
    """Decode a value with a decoder of msgspec.

    :param decoder: the decoder.
    :param encoded: the encoded value.
    :raises msgspec.DecodeError: when it is malformed, of another type, or nested too
        deeply.
    """
    try:
        return decoder.decode(encoded)
    except RecursionError as error:
        raise msgspec.DecodeError('nested too deeply') from error
