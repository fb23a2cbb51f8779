"""Fixture that starts one deployment for each test module."""

import pathlib
from collections.abc import Iterator

import pytest

from devtools import deployment
from tests.integration import harness


@pytest.fixture(scope="module")
def system(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[harness.System]:
    """Runs a deployment of the shape `SHAPE` of the module, or the default."""
    shape = getattr(request.module, "SHAPE", deployment.Shape())
    directory: pathlib.Path = tmp_path_factory.mktemp("logs")
    with deployment.running(shape, directory) as running:
        yield harness.System(running)
