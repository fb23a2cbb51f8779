"""A deployment of real processes for each module."""

import pathlib
from collections.abc import Iterator

import pytest

from devtools import deployment
from tests.integration import system as systems


@pytest.fixture(scope="module")
def system(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[systems.System]:
    """Runs the module's `SHAPE`, or the usual one."""
    shape = getattr(request.module, "SHAPE", deployment.Shape())
    directory: pathlib.Path = tmp_path_factory.mktemp("logs")
    with deployment.running(shape, directory) as running:
        yield systems.System(running)
