"""gRPC frames and the envelope around each message.

A frame is a flag byte (0: not compressed), a length of 4 bytes in network
order and a payload; the payload is an `Envelope` in msgpack.
"""

import enum
import struct

import msgspec

from lacewingwood.peers import errors
from lacewingwood.peers import gateway_messages
from lacewingwood.peers import messages

# Larger than a whole view of the state at the target size.
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024

_PREFIX = struct.Struct(">BI")


class Kind(enum.IntEnum):
    """What an envelope's receiver does with it."""

    SEND = 0
    CALL = 1
    ANSWER = 2
    CANCEL = 3


class Envelope(msgspec.Struct, array_like=True):
    """A message and the call that it belongs to.

    Attributes:
        kind: What to do with it.
        call_id: Unique among the calls of one connection, 0 for `SEND`.
        body: The message, None for `CANCEL`.
    """

    kind: Kind
    call_id: int
    body: messages.AnyMessage | gateway_messages.AnyMessage | None


class UnknownEnvelope(msgspec.Struct, array_like=True):
    """An envelope whose message this version does not know."""

    kind: Kind
    call_id: int
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_unknown_decoder = msgspec.msgpack.Decoder(UnknownEnvelope)


def encode(
    kind: Kind, call_id: int, body: messages.Message | None
) -> bytearray:
    """Returns the frame of an envelope with these fields."""
    frame = bytearray(_PREFIX.size)
    _encoder.encode_into((kind, call_id, body), frame, _PREFIX.size)
    _PREFIX.pack_into(frame, 0, 0, len(frame) - _PREFIX.size)
    return frame


def decode(payload: bytes) -> Envelope | UnknownEnvelope:
    """Reads a frame's payload.

    Raises:
        errors.MalformedError: `payload` is not an envelope at all.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        pass
    try:
        return _unknown_decoder.decode(payload)
    except msgspec.MsgspecError as exc:
        raise errors.MalformedError(f"not an envelope: {exc}") from exc


class Deframer:
    """Splits a byte stream into the payloads of its frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the payloads that `data` completes.

        Raises:
            errors.MalformedError: A frame is compressed or too large.
        """
        self._buffer += data
        payloads = []
        at = 0
        while len(self._buffer) - at >= _PREFIX.size:
            end = at + _PREFIX.size + self._length(at)
            if end > len(self._buffer):
                break
            payloads.append(bytes(self._buffer[at + _PREFIX.size : end]))
            at = end
        del self._buffer[:at]
        return payloads

    def _length(self, at: int) -> int:
        compressed, length = _PREFIX.unpack_from(self._buffer, at)
        if compressed:
            raise errors.MalformedError("compressed frames are not accepted")
        if length > MAX_PAYLOAD_BYTES:
            raise errors.MalformedError(f"frame of {length} bytes is too large")
        return int(length)
