"""Encodes messages as gRPC frames, each with an envelope in msgpack.

A frame is a flag byte (0: not compressed), the length of the payload in 4
bytes in network byte order, and the payload: an `Envelope` in msgpack.
"""

import enum
import struct

import msgspec

from lacewingwood.peers import errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages

# Larger than an `EncodedView` of the whole state at the target fleet size.
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024

_PREFIX = struct.Struct(">BI")


class Kind(enum.IntEnum):
    """How the receiver handles an envelope.

    Attributes:
        SEND: One-way message; the receiver sends no answer.
        CALL: Request; the receiver sends an `ANSWER` with the same call id.
        ANSWER: The answer to a call.
        CANCEL: The caller no longer waits for the call's answer.
    """

    SEND = 0
    CALL = 1
    ANSWER = 2
    CANCEL = 3


class Envelope(msgspec.Struct, array_like=True):
    """A message with the call to which it belongs.

    Attributes:
        kind: How to handle the message.
        call_id: Unique among the calls of a connection, 0 for `SEND`.
        body: The message, None for `CANCEL`.
    """

    kind: Kind
    call_id: int
    body: messages.AnyMessage | gateway_messages.AnyMessage | None


class UnknownEnvelope(msgspec.Struct, array_like=True):
    """An envelope whose message type is unknown to this version."""

    kind: Kind
    call_id: int
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_unknown_decoder = msgspec.msgpack.Decoder(UnknownEnvelope)


def encode(
    kind: Kind, call_id: int, body: messages.Message | None
) -> bytearray:
    """Returns an envelope with these fields, encoded as a frame."""
    frame = bytearray(_PREFIX.size)
    _encoder.encode_into((kind, call_id, body), frame, _PREFIX.size)
    _PREFIX.pack_into(frame, 0, 0, len(frame) - _PREFIX.size)
    return frame


def decode(payload: bytes) -> Envelope | UnknownEnvelope:
    """Decodes the payload of a frame.

    Returns:
        The envelope, an `UnknownEnvelope` if its message cannot be decoded.

    Raises:
        errors.MalformedError: `payload` is not an envelope.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        pass
    try:
        return _unknown_decoder.decode(payload)
    except msgspec.MsgspecError as exc:
        raise errors.MalformedError(
            f"payload is not an envelope: {exc}"
        ) from exc


class Deframer:
    """Splits a byte stream into the payloads of its frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the payloads that are now complete.

        Raises:
            errors.MalformedError: A frame is compressed or larger than
                `MAX_PAYLOAD_BYTES`.
        """
        self._buffer += data
        payloads = []
        start = 0
        while len(self._buffer) - start >= _PREFIX.size:
            end = start + _PREFIX.size + self._payload_length(start)
            if end > len(self._buffer):
                break
            payloads.append(bytes(self._buffer[start + _PREFIX.size : end]))
            start = end
        del self._buffer[:start]
        return payloads

    def _payload_length(self, start: int) -> int:
        compressed, length = _PREFIX.unpack_from(self._buffer, start)
        if compressed:
            raise errors.MalformedError("compressed frames are not accepted")
        if length > MAX_PAYLOAD_BYTES:
            raise errors.MalformedError(
                f"payload of {length} bytes exceeds the limit"
            )
        return int(length)
