"""Configuration documents: what operators write and what it changes.

A document is TOML with a `schema_version` and lists of `customers`, `keys`,
`routes` and `models`. It creates and changes what it names and leaves the rest
alone; `remove` lists names to delete and ids of keys to withdraw.
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

_ID_FIELDS = {
    "customers": "name",
    "keys": "key_id",
    "routes": "name",
    "models": "name",
}
_TOP_LEVEL = ("schema_version", *_ID_FIELDS, "remove")


class Change(msgspec.Struct, frozen=True):
    """One record to append.

    Attributes:
        body: The change.
        based_on: Offset of the entity's last change in the view, -1 if none.
    """

    body: records.Body
    based_on: int


def parse(text: str) -> dict[str, Any]:
    """Reads a document's text.

    Raises:
        errors.BadDocumentError: It is not TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        problem = Problem("", f"invalid syntax ({exc})", "TOML")
        raise errors.BadDocumentError(str(problem)) from exc


def check(document: dict[str, Any], view: view_lib.View) -> list[Problem]:
    """Returns all reasons to refuse a document, none if it is good."""
    problems = [*_check_top(document), *_check_items(document)]
    if problems:
        return problems
    return [
        *_check_removals(document, view),
        *_check_duplicates(document),
        *_check_keys(document, view),
        *_check_routes(document, view),
    ]


def plan(document: dict[str, Any], view: view_lib.View) -> list[Change]:
    """Returns the records that put a document into effect, in order.

    Raises:
        errors.BadDocumentError: `check` finds problems.
    """
    problems = check(document, view)
    if problems:
        lines = "; ".join(str(problem) for problem in problems)
        raise errors.BadDocumentError(lines)
    removals = _removals(document)
    bodies: list[records.Body] = [
        *(records.RouteDeleted(name) for name in removals["routes"]),
        *(records.KeyWithdrawn(key_id) for key_id in removals["keys"]),
        *_customers(document, view),
        *_models(document, view),
        *_routes(document, view),
        *_keys(document, view),
        *(records.ModelDeleted(name) for name in removals["models"]),
        *(records.CustomerDeleted(name) for name in removals["customers"]),
    ]
    return [
        Change(body, view.version(*entities.entity(body))) for body in bodies
    ]


def _check_top(document: dict[str, Any]) -> Iterable[Problem]:
    for name in document:
        if name not in _TOP_LEVEL:
            yield Problem(name, "an unknown field", ", ".join(_TOP_LEVEL))
    version = document.get("schema_version")
    if version != SCHEMA_VERSION or isinstance(version, bool):
        value = "nothing" if version is None else fields.show(version)
        yield Problem("schema_version", value, str(SCHEMA_VERSION))
    removals = document.get("remove", {})
    if not isinstance(removals, dict):
        yield Problem("remove", fields.show(removals), "a table")
        return
    for name, ids in removals.items():
        path = f"remove.{name}"
        if name not in _ID_FIELDS:
            yield Problem(path, "an unknown field", ", ".join(_ID_FIELDS))
        elif not _is_list_of_texts(ids):
            yield Problem(path, fields.show(ids), "a list of texts")


def _check_items(document: dict[str, Any]) -> Iterable[Problem]:
    for section in _ID_FIELDS:
        items = document.get(section, [])
        if not isinstance(items, list):
            yield Problem(section, fields.show(items), "a list of tables")
            continue
        for index, item in enumerate(items):
            path = f"{section}[{index}]"
            yield from fields.check_item(section, path, item)


def _check_removals(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[Problem]:
    known: dict[str, Iterable[str]] = {
        "customers": view.customers,
        "keys": {k.key_id for k in view.keys.values() if not k.withdrawn},
        "routes": view.routes,
        "models": view.models,
    }
    for section, ids in _removals(document).items():
        put = {item[_ID_FIELDS[section]] for item in _items(document, section)}
        for index, name in enumerate(ids):
            path = f"remove.{section}[{index}]"
            if name not in known[section]:
                allowed = f"the name of one of the {section} in effect"
                yield Problem(path, fields.show(name), allowed)
            if name in put or name in ids[:index]:
                allowed = "each name once, either listed or removed"
                yield Problem(path, fields.show(name), allowed)


def _check_duplicates(document: dict[str, Any]) -> Iterable[Problem]:
    for section, field in _ID_FIELDS.items():
        seen: set[str] = set()
        for index, item in enumerate(_items(document, section)):
            if item[field] in seen:
                path = f"{section}[{index}].{field}"
                allowed = "a name not listed before"
                yield Problem(path, fields.show(item[field]), allowed)
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
            found = "both or neither of digest and secret"
            yield Problem(path, found, "exactly one of them")
            continue
        if item["customer"] not in customers:
            value = fields.show(item["customer"])
            yield Problem(f"{path}.customer", value, _listed(customers))
        digest = _digest(item)
        if digest in digests:
            yield Problem(path, "a secret listed before", "a secret of its own")
        digests.add(digest)
        yield from _check_key_history(path, item, digest, view)


def _check_key_history(
    path: str, item: dict[str, Any], digest: str, view: view_lib.View
) -> Iterable[Problem]:
    """Refuses an id or a secret that belongs, or belonged, to another key."""
    if _unchanged_key(item, view):
        return
    if view.key_id_used(item["key_id"]):
        value = fields.show(item["key_id"])
        allowed = "an id never used before, as keys can't be changed"
        yield Problem(f"{path}.key_id", value, allowed)
    if digest in view.keys:
        yield Problem(path, "a secret used before", "a new secret")


def _check_routes(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[Problem]:
    """Refuses two routes for the same host and prefix.

    A longer prefix and a named host come before shorter and unnamed ones, so
    other routes don't compete.
    """
    put = {item["name"] for item in _items(document, "routes")}
    replaced = put | set(_removals(document)["routes"])
    owners = {
        _place(route.host, route.prefix): route.name
        for route in view.routes.values()
        if route.name not in replaced
    }
    for index, item in enumerate(_items(document, "routes")):
        place = _place(item.get("host", ""), item["prefix"])
        owner = owners.setdefault(place, item["name"])
        if owner != item["name"]:
            value = fields.show(item["prefix"])
            allowed = f"a host and prefix other than those of route {owner!r}"
            yield Problem(f"routes[{index}].prefix", value, allowed)


def _customers(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for customer in _converted(document, "customers", records.Customer):
        if view.customers.get(customer.name) != customer:
            yield records.CustomerPut(customer)


def _models(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for model in _converted(document, "models", records.Model):
        if view.models.get(model.name) != model:
            yield records.ModelPut(model)


def _routes(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for route in _converted(document, "routes", records.Route):
        if view.routes.get(route.name) != route:
            yield records.RoutePut(route)


def _keys(
    document: dict[str, Any], view: view_lib.View
) -> Iterable[records.Body]:
    for item in _items(document, "keys"):
        if not _unchanged_key(item, view):
            yield records.KeyPut(
                item["key_id"], _digest(item), item["customer"]
            )


def _converted(
    document: dict[str, Any], section: str, type_: Callable[..., Any]
) -> list[Any]:
    return [
        msgspec.convert(item, type=type_) for item in _items(document, section)
    ]


def _unchanged_key(item: dict[str, Any], view: view_lib.View) -> bool:
    key = view.keys.get(_digest(item))
    return (
        key is not None
        and not key.withdrawn
        and key.key_id == item["key_id"]
        and key.customer == item["customer"]
    )


def _digest(item: dict[str, Any]) -> str:
    if "digest" in item:
        return str(item["digest"])
    return hashlib.sha256(item["secret"].encode()).hexdigest()


def _items(document: dict[str, Any], section: str) -> list[dict[str, Any]]:
    items: list[dict[str, Any]] = document.get(section, [])
    return items


def _removals(document: dict[str, Any]) -> dict[str, list[str]]:
    removals = document.get("remove", {})
    return {section: removals.get(section, []) for section in _ID_FIELDS}


def _is_list_of_texts(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(v, str) for v in value)


def _place(host: str, prefix: str) -> tuple[str, str]:
    return host.lower(), prefix.rstrip("/")


def _listed(names: Iterable[str]) -> str:
    ordered = sorted(names)
    if not ordered:
        return "the name of a customer; there is none yet"
    shown = ", ".join(ordered[:10])
    return f"one of {shown}{', ...' if len(ordered) > 10 else ''}"
