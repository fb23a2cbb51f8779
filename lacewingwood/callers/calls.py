"""Parsing of inference requests."""

import dataclasses

import msgspec
import xxhash

from lacewingwood.callers import auth
from lacewingwood.callers import dependencies
from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.routing import prefix
from lacewingwood.upstreams import prefix as upstream_prefix

# Average bytes of a prompt's text per token.
_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 256


class _StreamOptions(msgspec.Struct):
    include_usage: bool | None = False


class _Body(msgspec.Struct):
    """The fields of a request's body that placement and retries depend on."""

    model: str
    messages: msgspec.Raw = msgspec.Raw(b"")
    prompt: msgspec.Raw = msgspec.Raw(b"")
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    n: int | None = 1
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One inference request.

    Attributes:
        path: Path of the endpoint, the same on engines.
        body: The body as received.
        customer: Name of the customer that is charged.
        request_id: Id of the request.
        model: Name of the requested model.
        service: Service that serves the model.
        stream: Whether the response is a stream of events.
        include_usage: Whether the stream ends with a usage event.
        resumable: Whether another engine can continue a broken stream from
            its text; only with one choice and one prompt.
        block_hashes: Hashes of the prompt's blocks, for prefix caching.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Maximum length of the response over all choices; assumes
            a default length if the request sets none.
        received_ms: When the body was received, on the process's clock.
        deadline_ms: The request's deadline, on the process's clock.
        fingerprint: Customer and digest of path and body; identifies equal
            requests.
    """

    path: str
    body: bytes
    customer: str
    request_id: str
    model: str
    service: str
    stream: bool
    include_usage: bool
    resumable: bool
    block_hashes: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    received_ms: float
    deadline_ms: float
    fingerprint: str

    @property
    def cost_tokens(self) -> int:
        """Tokens that the fair queue charges for the request."""
        return self.prompt_tokens + self.max_tokens


_decoder = msgspec.json.Decoder(_Body)


def parse(
    req: http.Request,
    body: bytes,
    caller: auth.Caller,
    deps: dependencies.Dependencies,
) -> Call:
    """Parses and validates a request's body.

    Raises:
        errors.CallerError: The request is malformed or names an unknown model.
    """
    fields = _decode(body)
    try:
        prompt = _prompt(req.path, fields)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise _json_error(exc) from exc
    model = deps.state.view.models.get(fields.model)
    if model is None:
        message = f"model {fields.model!r} does not exist"
        raise errors.CallerError(404, "model_not_found", message, param="model")
    choice_count = 1 if fields.n is None else fields.n
    options = fields.stream_options
    requested_tokens = fields.max_completion_tokens or fields.max_tokens
    digest = xxhash.xxh3_128_hexdigest(req.path.encode() + b"\0" + body)
    return Call(
        path=req.path,
        body=body,
        customer=caller.customer,
        request_id=req.request_id,
        model=fields.model,
        service=model.service,
        stream=bool(fields.stream),
        include_usage=bool(options and options.include_usage),
        resumable=choice_count == 1
        and not bytes(fields.prompt).startswith(b"["),
        block_hashes=prefix.block_hashes(fields.model, prompt),
        prompt_tokens=len(prompt) // _BYTES_PER_TOKEN,
        max_tokens=max(1, requested_tokens or _DEFAULT_MAX_TOKENS)
        * max(1, choice_count),
        received_ms=deps.clock.now_ms(),
        deadline_ms=parse_deadline_ms(req, deps),
        fingerprint=f"{caller.customer}:{digest}",
    )


def parse_deadline_ms(
    req: http.Request, deps: dependencies.Dependencies
) -> float:
    """Returns the request's deadline, on the process's clock.

    The header x-deadline-ms holds the time left, in ms. Without it, the
    default applies.

    Raises:
        errors.CallerError: The header x-deadline-ms is malformed.
    """
    settings = deps.settings
    value = req.header(b"x-deadline-ms")
    if not value:
        return deps.clock.now_ms() + settings.deadline_ms
    if not value.isdigit() or len(value) > 12 or not int(value):
        raise errors.bad_request(
            "header x-deadline-ms is not a positive integer"
        )
    left_ms = min(int(value), settings.max_deadline_ms)
    return deps.clock.now_ms() + left_ms


def _decode(body: bytes) -> _Body:
    try:
        return _decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise errors.bad_request(f"invalid request: {exc}") from exc
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _json_error(exc) from exc


def _json_error(exc: Exception) -> errors.CallerError:
    message = f"the body is not valid JSON: {exc}"
    return errors.bad_request(message, code="invalid_json")


def _prompt(path: str, fields: _Body) -> bytes:
    """Returns the prompt's text, as engines hash it for their caches."""
    name = "messages" if path.endswith("/chat/completions") else "prompt"
    raw = bytes(getattr(fields, name))
    if not raw or raw == b"null":
        raise errors.bad_request(f"field {name} is required", name)
    return upstream_prefix.prompt({name: msgspec.json.decode(raw)})
