"""Where the agent takes the address of discovery from."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from burlshift.agent.clock import Clock
from burlshift.agent.config import ConfigError, load
from burlshift.agent.listing import Address
from tests.loopback import config_doc

OLD_ADDRESS, NEW_ADDRESS = "127.0.0.1:8500", "127.0.0.2:8501"


def discovery_of(folder: Path, in_file: str | list[str] | None, in_environment: str | None) -> Any:
    doc = config_doc(1, [])
    del doc["discovery"]
    if in_file is not None:
        doc["discovery"] = in_file
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    environment = {"RELAY_CONFIG": str(path)}
    if in_environment is not None:
        environment["RELAY_DISCOVERY"] = in_environment
    return load(environment, Clock()).discovery


@pytest.mark.parametrize("in_file", [NEW_ADDRESS, [NEW_ADDRESS]])
def test_address_in_the_file_goes_before_that_in_the_environment(
    tmp_path: Path, in_file: str | list[str]
) -> None:
    # Guards against a process that is started after a SIGHUP and calls the address from before it.
    assert discovery_of(tmp_path, in_file, OLD_ADDRESS) == (Address("127.0.0.2", 8501),)


def test_address_in_the_environment_is_used_if_the_file_names_none(tmp_path: Path) -> None:
    assert discovery_of(tmp_path, None, OLD_ADDRESS) == (Address("127.0.0.1", 8500),)


def test_missing_address_is_reported(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="discovery"):
        discovery_of(tmp_path, None, None)
