"""Looks up the routes of batch items in the current configuration."""

import enum
from collections.abc import Callable

from lacewingwood import configuration
from lacewingwood.jobs import records

# Returns the configuration of this process, None until one is received.
CurrentConfiguration = Callable[[], configuration.Configuration | None]


class NoRoute(enum.Enum):
    """Why an item has no route at present.

    Attributes:
        UNKNOWN: This process does not know of a removal. It has no
            configuration, or one that is no newer than the one that the job was
            accepted under, or the route has no targets for the time being.
        REMOVED: The route was removed after the job was accepted.
    """

    UNKNOWN = enum.auto()
    REMOVED = enum.auto()


def find(
    current: configuration.Configuration | None,
    job: records.Job,
    item: records.Item,
) -> configuration.Route | NoRoute:
    """Returns the route of an item, or why it has none.

    Args:
        current: The configuration of this process, None if it has none.
        job: The item's job.
        item: The item.
    """
    if current is None:
        return NoRoute.UNKNOWN
    route = current.find_route(job.host, item.target)
    if route is not None:
        return route if route.targets else NoRoute.UNKNOWN
    if current.version <= job.configuration_version:
        return NoRoute.UNKNOWN
    return NoRoute.REMOVED
