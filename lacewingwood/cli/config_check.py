"""Checks a document for gateways, and compares it with the one in force."""

import pathlib
import sys

import msgspec
import trio

from lacewingwood import errors
from lacewingwood import metrics as metrics_lib
from lacewingwood.platform import document_check
from lacewingwood.platform import documents
from lacewingwood.platform import settings as settings_file
from lacewingwood.platform import store as store_lib

# Stands for the version in force, whichever it is.
CURRENT = "current"

_EXIT_ERRORS = 1
_EXIT_FAILURE = 2
_TIMEOUT_S = 10.0


class Result(msgspec.Struct):
    """What was found.

    Attributes:
        valid: True if there are no errors.
        findings: Errors and warnings.
        against: Version that the document was compared with, None for none.
        changes: Differences from that version.
    """

    valid: bool
    findings: list[document_check.Finding]
    against: int | None = None
    changes: list[document_check.Change] = []


class InForceError(errors.Error):
    """The version in force can't be read, or is another one."""

    code = "version_in_force"


def is_document(text: str) -> bool:
    """Returns whether a file is a document for gateways, which is JSON."""
    return text.lstrip().startswith("{")


def run(text: str, against: str, config: str, as_json: bool) -> int:
    """Prints the findings on a document; returns the exit code.

    Args:
        text: The document.
        against: Version in force to compare it with, empty for none.
        config: Path of a gateway's settings file, which names the store; empty
            for LACEWINGWOOD_CONFIG.
        as_json: True to print JSON.
    """
    data = text.encode()
    findings = document_check.check(data)
    valid = not any(
        finding.severity is document_check.Severity.ERROR
        for finding in findings
    )
    result = Result(valid, findings)
    try:
        if against:
            in_force = _read_in_force(config)
            result.against = _check_version(in_force, against)
            if _is_decodable(data):
                result.changes = document_check.compare(in_force, data)
    except errors.Error as exc:
        print(f"lacewingwood: {exc.code}: {exc.message}", file=sys.stderr)
        return _EXIT_FAILURE
    print(_to_json(result) if as_json else _to_text(result))
    return 0 if valid else _EXIT_ERRORS


def read(file: pathlib.Path) -> str:
    """Returns the text of a file, or ends the program with exit code 2."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        print(f"lacewingwood: unreadable: {file}: {exc}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)


def _read_in_force(config: str) -> bytes:
    """Returns the document on the store."""
    path = config or settings_file.default_path()
    cfg = settings_file.load(path)
    store = store_lib.Store(cfg.store_address, metrics_lib.Registry())

    async def read_store() -> bytes | None:
        with trio.fail_after(_TIMEOUT_S):
            snapshot = await store.snapshot(documents.OPERATOR_PARTITION)
        for record in snapshot.records:
            if record.key == documents.CONFIGURATION_KEY:
                return record.value
        return None

    try:
        value = trio.run(read_store)
    except trio.TooSlowError:
        raise InForceError("the store does not answer") from None
    if not value:
        raise InForceError("no configuration is in force")
    return value


def _check_version(in_force: bytes, against: str) -> int:
    """Returns the version in force.

    Raises:
        InForceError: Another one is asked for. The store keeps the newest only.
    """
    version = documents.decode_configuration(in_force).version
    if against not in (CURRENT, str(version)):
        raise InForceError(f"version {version} is in force, not {against}")
    return version


def _is_decodable(data: bytes) -> bool:
    try:
        documents.decode_configuration(data)
    except documents.DocumentError:
        return False
    return True


def _to_json(result: Result) -> str:
    return msgspec.json.format(msgspec.json.encode(result), indent=2).decode()


def _to_text(result: Result) -> str:
    lines = [
        f"{finding.severity.value}: {finding.location or 'document'}: "
        f"{finding.message}"
        for finding in result.findings
    ]
    lines.append("valid" if result.valid else "not valid")
    if result.against is not None:
        count = len(result.changes)
        lines.append(f"changes against version {result.against}: {count}")
    for change in result.changes:
        before, after = (
            "-" if value is None else msgspec.json.encode(value).decode()
            for value in (change.before, change.after)
        )
        lines.append(f"  {change.location}: {before} -> {after}")
    return "\n".join(lines)
