"""Validation of configuration documents and their conversion to records.

A document is TOML with a `schema_version` and arrays of tables `customers`,
`keys`, `routes` and `models`. It creates or changes the entities that it lists
and leaves all others unchanged; its table `remove` lists the names of entities
to delete and the ids of keys to withdraw.
"""

import hashlib
import tomllib
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from lacewingwood.operators import errors
from lacewingwood.operators import fields
from lacewingwood.state import entities
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

SCHEMA_VERSION = 1
Problem = fields.Problem

# The field that identifies an item, by section.
_ID_FIELDS = {
    "customers": "name",
    "keys": "key_id",
    "routes": "name",
    "models": "name",
}
_TOP_LEVEL_FIELDS = ("schema_version", *_ID_FIELDS, "remove")


class Change(msgspec.Struct, frozen=True):
    """One record to append to the log.

    Attributes:
        body: Body of the record.
        based_on: Offset of the entity's last change in the view, -1 if none.
    """

    body: records.Body
    based_on: int


def parse(text: str) -> dict[str, Any]:
    """Parses a document.

    Raises:
        errors.BadDocumentError: The text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        problem = Problem("", f"invalid syntax ({exc})", "TOML")
        raise errors.BadDocumentError(str(problem)) from exc


def check(document: dict[str, Any], view: view_lib.View) -> list[Problem]:
    """Returns all problems of a document; an empty list if it is valid."""
    problems = [*_check_top_level(document), *_check_items(document)]
    if problems:
        return problems
    return [
        *_check_removals(document, view),
        *_check_duplicates(document),
        *_check_keys(document, view),
        *_check_routes(document, view),
    ]


def plan(document: dict[str, Any], view: view_lib.View) -> list[Change]:
    """Returns the records that put a document into effect.

    They must be appended in this order, since a record may depend on those
    before it. An item that equals its entity in the view needs no record.

    Raises:
        errors.BadDocumentError: `check` found problems.
    """
    problems = check(document, view)
    if problems:
        lines = "; ".join(str(problem) for problem in problems)
        raise errors.BadDocumentError(lines)
    removals = _removals(document)
    bodies: list[records.Body] = [
        *(records.RouteDeleted(name) for name in removals["routes"]),
        *(records.KeyWithdrawn(key_id) for key_id in removals["keys"]),
        *_customer_records(document, view),
        *_model_records(document, view),
        *_route_records(document, view),
        *_key_records(document, view),
        *(records.ModelDeleted(name) for name in removals["models"]),
        *(records.CustomerDeleted(name) for name in removals["customers"]),
    ]
    return [
        Change(body, view.version(*entities.entity(body))) for body in bodies
    ]


def _check_top_level(document: dict[str, Any]) -> Iterable[Problem]:
    for name in document:
        if name not in _TOP_LEVEL_FIELDS:
            yield Problem(
                name, "an unknown field", ", ".join(_TOP_LEVEL_FIELDS)
            )
    version = document.get("schema_version")
    if version != SCHEMA_VERSION or isinstance(version, bool):
        value = "nothing" if version is None else fields.render(version)
        yield Problem("schema_version", value, str(SCHEMA_VERSION))
    removals = document.get("remove", {})
    if not isinstance(removals, dict):
        yield Problem("remove", fields.render(removals), "a table")
        return
    for name, ids in removals.items():
        path = f"remove.{name}"
        if name not in _ID_FIELDS:
            yield Problem(path, "an unknown field", ", ".join(_ID_FIELDS))
        elif not _is_string_list(ids):
            yield Problem(path, fields.render(ids), "a list of strings")


def _check_items(document: dict[str, Any]) -> Iterable[Problem]:
    for section in _ID_FIELDS:
        items = document.get(section, [])
        if not isinstance(items, list):
            yield Problem(section, fields.render(items), "a list of tables")
            continue
        for index, item in enumerate(items):
            path = f"{section}[{index}]"
            yield from fields.check_item(section, path, item)


def _check_removals(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[Problem]:
    existing: dict[str, Iterable[str]] = {
        "customers": view.customers,
        "keys": {k.key_id for k in view.keys.values() if not k.withdrawn},
        "routes": view.routes,
        "models": view.models,
    }
    for section, ids in _removals(document).items():
        listed = {
            item[_ID_FIELDS[section]] for item in _items(document, section)
        }
        for index, name in enumerate(ids):
            path = f"remove.{section}[{index}]"
            if name not in existing[section]:
                allowed = f"the name or id of one of the current {section}"
                yield Problem(path, fields.render(name), allowed)
            if name in listed or name in ids[:index]:
                allowed = "each name only once, either defined or removed"
                yield Problem(path, fields.render(name), allowed)


def _check_duplicates(document: dict[str, Any]) -> Iterable[Problem]:
    for section, field in _ID_FIELDS.items():
        seen: set[str] = set()
        for index, item in enumerate(_items(document, section)):
            if item[field] in seen:
                path = f"{section}[{index}].{field}"
                allowed = "a value that no earlier item has"
                yield Problem(path, fields.render(item[field]), allowed)
            seen.add(item[field])


def _check_keys(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[Problem]:
    customers = set(view.customers) - set(_removals(document)["customers"])
    customers |= {item["name"] for item in _items(document, "customers")}
    digests: set[str] = set()
    for index, item in enumerate(_items(document, "keys")):
        path = f"keys[{index}]"
        if ("digest" in item) == ("secret" in item):
            value = "both or neither of digest and secret"
            yield Problem(path, value, "exactly one of them")
            continue
        if item["customer"] not in customers:
            value = fields.render(item["customer"])
            yield Problem(
                f"{path}.customer", value, _describe_customers(customers)
            )
        digest = _secret_digest(item)
        if digest in digests:
            yield Problem(
                path, "the secret of an earlier key", "another secret"
            )
        digests.add(digest)
        yield from _check_key_history(path, item, digest, view)


def _check_key_history(
    path: str, item: dict[str, Any], digest: str, view: view_lib.View
) -> Iterable[Problem]:
    """Reports an id or a secret that another key has or had before."""
    if _is_key_in_view(item, view):
        return
    if view.key_id_used(item["key_id"]):
        value = fields.render(item["key_id"])
        allowed = "an id never used before, since keys cannot be changed"
        yield Problem(f"{path}.key_id", value, allowed)
    if digest in view.keys:
        yield Problem(path, "a secret used before", "a new secret")


def _check_routes(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[Problem]:
    """Reports routes that match the same host and prefix as another route.

    Only these are ambiguous: a longer prefix takes precedence over a shorter
    one, and a route with a host over a route without.
    """
    listed = {item["name"] for item in _items(document, "routes")}
    replaced = listed | set(_removals(document)["routes"])
    route_names = {
        _match_key(route.host, route.prefix): route.name
        for route in view.routes.values()
        if route.name not in replaced
    }
    for index, item in enumerate(_items(document, "routes")):
        match_key = _match_key(item.get("host", ""), item["prefix"])
        route_name = route_names.setdefault(match_key, item["name"])
        if route_name != item["name"]:
            value = fields.render(item["prefix"])
            allowed = (
                f"another host or prefix than those of route {route_name!r}"
            )
            yield Problem(f"routes[{index}].prefix", value, allowed)


def _customer_records(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for customer in _convert_items(document, "customers", records.Customer):
        if view.customers.get(customer.name) != customer:
            yield records.CustomerPut(customer)


def _model_records(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for model in _convert_items(document, "models", records.Model):
        if view.models.get(model.name) != model:
            yield records.ModelPut(model)


def _route_records(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for route in _convert_items(document, "routes", records.Route):
        if view.routes.get(route.name) != route:
            yield records.RoutePut(route)


def _key_records(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for item in _items(document, "keys"):
        if not _is_key_in_view(item, view):
            yield records.KeyPut(
                item["key_id"], _secret_digest(item), item["customer"]
            )


def _convert_items(
    document: dict[str, Any], section: str, type_: Callable[..., Any]
) -> list[Any]:
    return [
        msgspec.convert(item, type=type_) for item in _items(document, section)
    ]


def _is_key_in_view(item: dict[str, Any], view: view_lib.View) -> bool:
    key = view.keys.get(_secret_digest(item))
    return (
        key is not None
        and not key.withdrawn
        and key.key_id == item["key_id"]
        and key.customer == item["customer"]
    )


def _secret_digest(item: dict[str, Any]) -> str:
    if "digest" in item:
        return str(item["digest"])
    return hashlib.sha256(item["secret"].encode()).hexdigest()


def _items(document: dict[str, Any], section: str) -> list[dict[str, Any]]:
    items: list[dict[str, Any]] = document.get(section, [])
    return items


def _removals(document: dict[str, Any]) -> dict[str, list[str]]:
    removals = document.get("remove", {})
    return {section: removals.get(section, []) for section in _ID_FIELDS}


def _is_string_list(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(v, str) for v in value)


def _match_key(host: str, prefix: str) -> tuple[str, str]:
    return host.lower(), prefix.rstrip("/")


def _describe_customers(names: Iterable[str]) -> str:
    ordered = sorted(names)
    if not ordered:
        return "the name of a customer; no customer exists yet"
    shown = ", ".join(ordered[:10])
    return f"one of {shown}{', ...' if len(ordered) > 10 else ''}"
