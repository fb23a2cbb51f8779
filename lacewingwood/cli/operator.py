"""Commands of the operators' client."""

import hashlib
import pathlib
import secrets
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated
from typing import Any

import cyclopts
import httpcore
import msgspec
import trio

from lacewingwood import settings
from lacewingwood.operators import documents
from lacewingwood.operators import errors
from lacewingwood.operators import session as session_lib
from lacewingwood.state import records

_SECRET_BYTES = 32
_EXIT_USAGE = 2

customer_app = cyclopts.App(name="customer", help="Manages customers.")
key_app = cyclopts.App(name="key", help="Manages customers' API keys.")
route_app = cyclopts.App(name="route", help="Manages routes to services.")
model_app = cyclopts.App(name="model", help="Manages models and versions.")
config_app = cyclopts.App(name="config", help="Checks and applies files.")

LogSettings = settings.LogSettings
Work = Callable[[session_lib.Session], Awaitable[Any]]


def _print(value: Any) -> None:
    encoded = msgspec.json.encode(records.to_json(value))
    print(msgspec.json.format(encoded, indent=2).decode())


def _run(cfg: LogSettings, work: Work) -> None:
    """Runs `work` in a session and prints what it returns."""

    async def main() -> Any:
        async with session_lib.connect(cfg.log_url) as session:
            return await work(session)

    try:
        result = trio.run(main)
    except BaseExceptionGroup as group:
        raise _first_error(group) from None
    if result is not None:
        _print(result)


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns an error of a group, preferably an OperatorError."""
    operator_errors, _ = group.split(errors.OperatorError)
    chosen: BaseException = operator_errors or group
    while isinstance(chosen, BaseExceptionGroup):
        chosen = chosen.exceptions[0]
    return chosen


def _change(cfg: LogSettings, part: dict[str, Any], **extra: Any) -> None:
    """Applies a document that consists of `part` only.

    Args:
        cfg: Where the log is.
        part: Sections of the document, without its schema version.
        extra: Further fields of the printed result.
    """
    document = {"schema_version": documents.SCHEMA_VERSION, **part}
    _apply(cfg, document, **extra)


def _apply(cfg: LogSettings, document: dict[str, Any], **extra: Any) -> None:
    """Checks a document, publishes its changes and prints their offsets."""

    async def work(session: session_lib.Session) -> Any:
        changes = documents.plan(document, session.view)
        offsets = [
            await session.publish(change.body, change.based_on)
            for change in changes
        ]
        return {**extra, "offsets": offsets}

    _run(cfg, work)


@customer_app.command(name="put")
def customer_put(
    name: str,
    /,
    *,
    rate: float,
    burst: int,
    weight: float = 1.0,
    cfg: LogSettings,
) -> None:
    """Creates or changes a customer.

    Args:
        name: Name of the customer.
        rate: Requests a second over the whole fleet.
        burst: Requests allowed at once over the whole fleet.
        weight: Share of the fleet relative to other customers.
        cfg: Where the log is.
    """
    customer = records.Customer(name, rate, burst, weight)
    document = {"customers": [msgspec.to_builtins(customer)]}
    _change(cfg, document, customer=name)


@customer_app.command(name="delete")
def customer_delete(name: str, /, *, cfg: LogSettings) -> None:
    """Removes a customer and its keys."""
    _change(cfg, {"remove": {"customers": [name]}}, customer=name)


@customer_app.command(name="list")
def customer_list(*, cfg: LogSettings) -> None:
    """Lists all customers."""

    async def work(session: session_lib.Session) -> Any:
        return list(session.view.customers.values())

    _run(cfg, work)


@key_app.command(name="give")
def key_give(
    customer: str, /, *, key_id: str | None = None, cfg: LogSettings
) -> None:
    """Creates a key for a customer and prints its secret, only this once.

    Args:
        customer: Name of the customer.
        key_id: Public id of the key; chosen at random if absent.
        cfg: Where the log is.
    """
    secret = "lw-" + secrets.token_urlsafe(_SECRET_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    public_id = key_id or "key-" + secrets.token_hex(6)

    key = {"key_id": public_id, "digest": digest, "customer": customer}
    _change(cfg, {"keys": [key]}, **key, secret=secret)


@key_app.command(name="withdraw")
def key_withdraw(key_id: str, /, *, cfg: LogSettings) -> None:
    """Withdraws a key permanently and aborts its running requests."""
    _change(cfg, {"remove": {"keys": [key_id]}}, key_id=key_id)


@key_app.command(name="list")
def key_list(*, cfg: LogSettings) -> None:
    """Lists all keys, without their secrets."""

    async def work(session: session_lib.Session) -> Any:
        return [
            {
                "key_id": key.key_id,
                "customer": key.customer,
                "withdrawn": key.withdrawn,
            }
            for key in session.view.keys.values()
        ]

    _run(cfg, work)


@route_app.command(name="put")
def route_put(
    name: str,
    /,
    *,
    prefix: str,
    service: str,
    host: str = "",
    open_: Annotated[bool, cyclopts.Parameter(name="--open")] = False,
    idempotent_methods: list[str] | None = None,
    timeout_ms: int = 30_000,
    cfg: LogSettings,
) -> None:
    """Creates or changes a route to a plain service.

    Args:
        name: Name of the route.
        prefix: Path prefix that it matches, starting with a slash.
        service: Service whose upstreams serve the requests.
        host: Host header that it matches; any if absent.
        open_: Whether callers need no key.
        idempotent_methods: HTTP methods whose requests may be retried.
        timeout_ms: Timeout for the first byte of a response, in ms.
        cfg: Where the log is.
    """
    route = records.Route(
        name, prefix, service, host, open_, timeout_ms=timeout_ms
    )
    if idempotent_methods is not None:
        route.idempotent_methods = idempotent_methods
    _change(cfg, {"routes": [msgspec.to_builtins(route)]}, route=name)


@route_app.command(name="delete")
def route_delete(name: str, /, *, cfg: LogSettings) -> None:
    """Removes a route."""
    _change(cfg, {"remove": {"routes": [name]}}, route=name)


@route_app.command(name="list")
def route_list(*, cfg: LogSettings) -> None:
    """Lists all routes."""

    async def work(session: session_lib.Session) -> Any:
        return list(session.view.routes.values())

    _run(cfg, work)


@model_app.command(name="put")
def model_put(
    name: str,
    /,
    *,
    service: str,
    version: str,
    artifact: str = "",
    min_ready: int = 1,
    cfg: LogSettings,
) -> None:
    """Creates a model or publishes a new version of it.

    Args:
        name: Name that callers use.
        service: Service whose replicas run the model.
        version: Version that replicas should load.
        artifact: Name in the weight store.
        min_ready: Replicas that must keep serving during a rollout.
        cfg: Where the log is.
    """
    model = records.Model(name, service, version, artifact, min_ready)
    _change(cfg, {"models": [msgspec.to_builtins(model)]}, model=name)


@model_app.command(name="delete")
def model_delete(name: str, /, *, cfg: LogSettings) -> None:
    """Removes a model."""
    _change(cfg, {"remove": {"models": [name]}}, model=name)


@model_app.command(name="list")
def model_list(*, cfg: LogSettings) -> None:
    """Lists all models."""

    async def work(session: session_lib.Session) -> Any:
        return list(session.view.models.values())

    _run(cfg, work)


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.UnreadableError(f"cannot read {file}: {exc}") from exc


@config_app.command(name="check")
def config_check(
    file: pathlib.Path,
    /,
    *,
    against: str = "",
    config: str = "",
    json: bool = False,
    cfg: LogSettings | None = None,
) -> None:
    """Checks a configuration file, TOML for entries or JSON for gateways.

    A file for entries is checked against the published configuration, which
    takes `--log-url`. Exit codes for a file for gateways: 0 if it has no
    errors, 1 if it has, 2 if the check can't be made.

    Args:
        file: The file.
        against: For gateways, the version in force to compare the file with,
            or `current`.
        config: Settings file that names the gateways' store; the default is
            the path in LACEWINGWOOD_CONFIG.
        json: For gateways, print JSON.
        cfg: Where the log is.
    """
    if cfg is None or file.suffix == ".json":
        from lacewingwood.cli import config_check  # noqa: PLC0415

        text = config_check.read(file)
        if config_check.is_document(text):
            sys.exit(config_check.run(text, against, config, json))
    if cfg is None:
        message = "lacewingwood: error: a file for entries takes --log-url"
        print(message, file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    document = documents.parse(_read(file))

    async def work(session: session_lib.Session) -> Any:
        changes = documents.plan(document, session.view)
        return {"valid": True, "changes": len(changes)}

    _run(cfg, work)


@config_app.command(name="apply")
def config_apply(file: pathlib.Path, /, *, cfg: LogSettings) -> None:
    """Checks a configuration file and publishes its changes."""
    document = documents.parse(_read(file))

    _apply(cfg, document, file=str(file))


def status(*, cfg: LogSettings) -> None:
    """Shows the processes, leases and object counts recorded in the log."""

    async def work(session: session_lib.Session) -> Any:
        view = session.view
        return {
            "offset": view.offset,
            "members": list(view.members.values()),
            "leases": len(view.leases),
            "customers": len(view.customers),
            "keys": sum(not key.withdrawn for key in view.keys.values()),
            "routes": len(view.routes),
            "models": list(view.models.values()),
            "jobs": len(view.jobs),
        }

    _run(cfg, work)


def dump(admin: str, /) -> None:
    """Prints the state of one process.

    Args:
        admin: The process's admin listener, IP:PORT, as `status` shows it.
    """
    try:
        response = httpcore.request("GET", f"http://{admin}/dump")
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise errors.UnavailableError(f"no answer from {admin}: {exc}") from exc
    except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as exc:
        raise errors.UnavailableError(
            f"malformed answer from {admin}: {exc}"
        ) from exc
    if response.status != 200:
        raise errors.UnavailableError(
            f"{admin} answered {response.status}; is it an admin listener?"
        )
    sys.stdout.write(response.content.decode())
