"""Matching of requests to the configured routes of plain services."""

import re
from collections.abc import Mapping

from lacewingwood.callers import errors
from lacewingwood.callers import http
from lacewingwood.state import records

# Services may decode, resolve or merge these parts of a path, so that a path
# that matches one route here could reach a resource of another route there.
_AMBIGUOUS = re.compile(r"[\\\x00-\x1f]|//|/\.{1,2}(/|$)")
_ENCODED_SLASH = re.compile(rb"%(2f|5c)", re.IGNORECASE)


def find(
    req: http.Request, routes: Mapping[str, records.Route]
) -> records.Route:
    """Returns the route with the longest matching prefix.

    Among equal prefixes, a route for the request's host comes first.

    Raises:
        errors.CallerError: No route matches, or the path is ambiguous.
    """
    raw_path = req.scope["raw_path"]
    if _AMBIGUOUS.search(req.path) or _ENCODED_SLASH.search(raw_path):
        raise errors.bad_request("the path is ambiguous", code="bad_path")
    host = _request_host(req)
    matching = [r for r in routes.values() if _matches(r, req.path, host)]
    if not matching:
        raise errors.CallerError(404, "not_found", "no such path")
    return max(matching, key=_specificity)


def _request_host(req: http.Request) -> str:
    text = req.header(b"host").decode("latin-1").lower()
    host, colon, port = text.rpartition(":")
    return host if colon and port.isdigit() else text


def _matches(route: records.Route, path: str, host: str) -> bool:
    if route.host and route.host.lower() != host:
        return False
    return path == route.prefix or path.startswith(
        route.prefix.rstrip("/") + "/"
    )


def _specificity(route: records.Route) -> tuple[int, bool]:
    return (len(route.prefix.rstrip("/")), bool(route.host))
