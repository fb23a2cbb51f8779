"""Tests of configuration documents."""

import hashlib

import hypothesis
import pytest
from hypothesis import strategies

from lacewingwood.operators import documents
from lacewingwood.operators import errors
from lacewingwood.state import entities
from lacewingwood.state import records
from lacewingwood.state import view as view_lib

_DOCUMENT = """
schema_version = 1

[[customers]]
name = "tanta"
rate = 20
burst = 40
weight = 2.5

[[keys]]
key_id = "tanta-1"
customer = "tanta"
secret = "a secret of some length"

[[routes]]
name = "permits"
prefix = "/permits"
service = "permit-desk"

[[models]]
name = "sabeel"
service = "sabeel-lm"
version = "3"
"""
_CUSTOMER = '[[customers]]\nname = "a"\nrate = 1\nburst = 1\n'
_KEY = f'[[keys]]\nkey_id = "k"\ncustomer = "a"\ndigest = "{"0" * 64}"\n'
_ROUTE = '[[routes]]\nname = "r"\nprefix = "/permits/"\nservice = "s"\n'


def _check(text: str, view: view_lib.View) -> list[documents.Problem]:
    return documents.check(documents.parse(text), view)


def _plan(text: str, view: view_lib.View) -> list[documents.Change]:
    return documents.plan(documents.parse(text), view)


def _apply(view: view_lib.View, text: str) -> list[documents.Change]:
    """Applies a document to `view` as if its records came from the log."""
    changes = _plan(text, view)
    for change in changes:
        record = records.Record(
            f"id-{view.offset}", "operator", change.body, change.based_on
        )
        outcome = view.apply(view.offset, records.encode(record))
        assert outcome is entities.Outcome.APPLIED, change
    return changes


def test_applied_document_changes_only_entities_that_differ() -> None:
    """Guards against records that change nothing or the wrong entity."""
    view = view_lib.View()
    assert len(_apply(view, _DOCUMENT)) == 4
    digest = hashlib.sha256(b"a secret of some length").hexdigest()
    assert view.authenticate(digest) == "tanta"
    assert _plan(_DOCUMENT, view) == []
    version = view.version("customer", "tanta")
    changes = _plan(_DOCUMENT.replace("= 20", "= 10"), view)
    customer = records.Customer("tanta", 10.0, 40, 2.5)
    assert changes == [documents.Change(records.CustomerPut(customer), version)]


def test_removals_are_ordered_so_that_all_apply() -> None:
    """Guards against removals that are void due to the order of records."""
    view = view_lib.View()
    _apply(view, _DOCUMENT)
    _apply(
        view,
        "schema_version = 1\n"
        '[remove]\ncustomers = ["tanta"]\nkeys = ["tanta-1"]\n'
        'routes = ["permits"]\nmodels = ["sabeel"]\n',
    )
    assert [view.customers, view.routes, view.models] == [{}, {}, {}]


def test_route_may_reuse_the_prefix_of_a_removed_route() -> None:
    """Guards against a route that cannot be renamed."""
    view = view_lib.View()
    _apply(view, _DOCUMENT)
    renamed = 'schema_version = 1\n[remove]\nroutes = ["permits"]\n' + _ROUTE
    _apply(view, renamed)
    assert list(view.routes) == ["r"]


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (_CUSTOMER, "schema_version"),
        ("schema_version = 2", "schema_version"),
        ("schema_version = true", "schema_version"),
        ("schema_version = 1\nlimits = 3", "limits"),
        ("schema_version = 1\ncustomers = 3", "customers"),
        ("schema_version = 1\ncustomers = [3]", "customers[0]"),
        ("schema_version = 1\nremove = 1", "remove"),
        ("schema_version = 1\nremove.jobs = []", "remove.jobs"),
        ("schema_version = 1\nremove.keys = [1]", "remove.keys"),
        ('schema_version = 1\nremove.keys = ["x"]', "remove.keys[0]"),
        ('schema_version = 1\nremove.keys = ["k-1"]', "remove.keys[0]"),
        ("schema_version = 1\n" + _KEY, "keys[0].customer"),
        ("schema_version = 1\n" + _ROUTE, "routes[0].prefix"),
        ("schema_version = 1\n" + _CUSTOMER * 2, "customers[1].name"),
        ("schema_version = 1\n" + _CUSTOMER + _KEY * 2, "keys[1].key_id"),
        (
            "schema_version = 1\n" + _CUSTOMER + _KEY + 'secret = "0123456789'
            'abcdef"\n',
            "keys[0]",
        ),
        (
            "schema_version = 1\n" + _CUSTOMER + 'colour = "red"',
            "customers[0].colour",
        ),
        (
            "schema_version = 1\n" + _CUSTOMER + _KEY.replace('"k"', '"k-1"'),
            "keys[0].key_id",
        ),
        *(
            (
                "schema_version = 1\n" + _CUSTOMER.replace(f"{name} = 1", line),
                f"customers[0].{name}",
            )
            for name, line in [
                ("rate", ""),
                ("rate", "rate = 0"),
                ("rate", "rate = -1.5"),
                ("rate", "rate = inf"),
                ("rate", "rate = nan"),
                ("rate", "rate = true"),
                ("rate", 'rate = "1"'),
                ("burst", "burst = 0"),
                ("burst", "burst = 1.5"),
            ]
        ),
    ],
)
def test_invalid_document_is_refused_with_path_of_field(
    text: str, path: str
) -> None:
    """Guards against an invalid document that is applied in part."""
    view = view_lib.View()
    _apply(view, _DOCUMENT)
    _apply(
        view,
        'schema_version = 1\n[[keys]]\nkey_id = "k-1"\ncustomer = '
        '"tanta"\nsecret = "another long secret"',
    )
    _apply(view, 'schema_version = 1\nremove.keys = ["k-1"]')
    problems = _check(text, view)
    assert path in [problem.path for problem in problems]
    assert all(problem.allowed for problem in problems)
    with pytest.raises(errors.BadDocumentError):
        _plan(text, view)


def test_text_that_is_not_toml_is_refused() -> None:
    """Guards against a traceback for a syntax error in a document."""
    with pytest.raises(errors.BadDocumentError, match="invalid syntax"):
        documents.parse("schema_version = ")


def test_problem_does_not_show_the_secret() -> None:
    """Guards against secrets in error messages and logs."""
    text = _CUSTOMER + '[[keys]]\nkey_id = "k"\ncustomer = "a"\nsecret = "pst"'
    problems = _check("schema_version = 1\n" + text, view_lib.View())
    assert [problem.path for problem in problems] == ["keys[0].secret"]
    assert "pst" not in str(problems[0])


_FIELDS = [
    "burst",
    "customer",
    "digest",
    "host",
    "idempotent_methods",
    "key_id",
    "name",
    "open",
    "prefix",
    "rate",
    "secret",
    "service",
    "timeout_ms",
    "version",
    "x",
]
_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.booleans(),
        strategies.integers(-2, 2),
        strategies.sampled_from(['"a"', '"/p"', '""', "1.5", "nan"]),
    ),
    lambda inner: strategies.lists(inner, max_size=2),
    max_leaves=3,
)


@hypothesis.given(
    section=strategies.sampled_from(["customers", "keys", "routes", "models"]),
    values=strategies.dictionaries(
        strategies.sampled_from(_FIELDS),
        _VALUES,
    ),
)
def test_any_document_is_either_planned_or_refused(
    section: str, values: dict[str, object]
) -> None:
    """Guards against a crash on a document with unexpected values."""
    lines = [f"{name} = {_toml(value)}" for name, value in values.items()]
    text = "\n".join(["schema_version = 1", f"[[{section}]]", *lines])
    view = view_lib.View()
    if not _check(text, view):
        _apply(view, text)
        assert _plan(text, view) == []


def _toml(value: object) -> str:
    """Formats a value of `_VALUES`, whose strings are TOML already."""
    if isinstance(value, list):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return str(value).lower() if isinstance(value, bool) else str(value)
