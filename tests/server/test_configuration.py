"""The platform's configuration: an invalid value stops the start, with an error that has key and value."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import pytest
from peers import PARAMS
from server_process import FILE, NOWHERE

from cairnvane import config


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"pool": 7}, "$.pool"),
        ({"pool": "here"}, "pool:"),
        ({"pool": "h:\u00b2"}, "pool:"),
        ({"roster": "a..b:80"}, "roster: 'a..b:80'"),
        ({"vault": "h:99999"}, "vault:"),
        ({"seed": "xyz"}, "seed:"),
        ({"name": ""}, "name:"),
        ({"listen": ""}, "listen:"),
        ({"limits": {"sockets": 3}}, "limits.sockets:"),
        ({"limits": {"sockets": "x"}}, "$.limits.sockets"),
        ({"limits": {"memory_mb": 8}}, "limits.memory_mb: 8 is under 16"),
        ({"limits": {"memory_mb": "x"}}, "$.limits.memory_mb"),
        ({"stop_ms": 0}, "stop_ms:"),
        ({"control": "door"}, "control:"),
        ({"settings": {}}, "settings: key Extra"),
        ({"settings": PARAMS | {"Extra": PARAMS["Extra"] | {"Cores": 0}}}, "Extra.Cores: impossible value 0"),
        ({"settings": None}, "settings"),
        ({"stop_ms": 10**30}, "stop_ms:"),
        ({"pool": 7}, ": 7"),
    ],
)
def test_error_names_the_invalid_key_in_one_line(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE | changes))
    with pytest.raises(config.ConfigurationError) as error:
        config.load({"LB_CONFIG": str(path)})
    assert key in str(error.value)
    assert "\n" not in str(error.value)


def _paths(part: Any, *parents: Any) -> Iterator[tuple[Any, ...]]:
    """The path of each key and list item in `part`, outermost first."""
    for key in part if isinstance(part, dict) else range(len(part)) if isinstance(part, list) else ():
        yield (*parents, key)
        yield from _paths(part[key], *parents, key)


SETTINGS = PARAMS | {
    "Tenants": [{"Name": "a", "QuotaPerS": 5.0}],
    "PeersTotal": 3,
    "RoundUs": 2_000,
    "Limits": {"MaxRetryAfterUs": 1_000_000, "RetryAfter": True},
    "Extra": PARAMS["Extra"] | {"ClassSkipWorth": [0.0, 0.0], "JustStarted": False},
}


@pytest.mark.parametrize("key_path", list(_paths(SETTINGS)), ids=lambda path: ".".join(map(str, path)))
def test_error_names_the_key_and_value_of_an_invalid_setting(
    tmp_path: Path, key_path: tuple[Any, ...]
) -> None:
    """Guards against errors that use internal names or Python's terms, or that do not name the key."""
    path = tmp_path / "config.json"
    rejected = 0
    invalid_values: tuple[Any, ...] = (None, "no such", -1, [], {}, [7], True, 10**30)
    for value in invalid_values:
        settings = json.loads(json.dumps(SETTINGS))
        part = settings
        for key in key_path[:-1]:
            part = part[key]
        part[key_path[-1]] = value
        path.write_text(json.dumps(FILE | {"settings": settings}))
        try:
            config.load({"LB_CONFIG": str(path)})
        except config.ConfigurationError as error:
            rejected += 1
            message = str(error)
            key = next(key for key in reversed(key_path) if isinstance(key, str))
            shown = {"[]": "()", "{}": "is missing", "[7]": "7"}.get(repr(value), repr(value))
            assert key in message and (repr(value) in message or shown in message), message
            assert "\n" not in message
    assert rejected >= 2


@pytest.mark.parametrize(
    ("environment", "text"),
    [
        ({}, "LB_CONFIG: missing"),
        ({"LB_CONFIG": "/nowhere"}, "/nowhere"),
    ],
)
def test_start_without_a_configuration_fails_with_one_line(environment: dict[str, str], text: str) -> None:
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    completed = subprocess.run(
        [sys.executable, "-m", "cairnvane"], env=inherited | environment, capture_output=True, text=True
    )
    assert completed.returncode == 2
    assert text in completed.stderr
    assert completed.stderr.count("\n") == 1


def test_environment_overrides_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE))
    configuration = config.load({"LB_CONFIG": str(path), "LB_NAME": "n9", "LB_LISTEN": "127.0.0.2:90"})
    assert (configuration.name, configuration.listen, configuration.seed) == ("n9", ("127.0.0.2", 90), 0x1F)
    assert (configuration.stop_ms, configuration.sockets) == (config.DEFAULT_STOP_MS, config.DEFAULT_SOCKETS)


def test_invalid_setting_fails_the_start_with_status_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    settings = PARAMS | {"Extra": PARAMS["Extra"] | {"Cores": 0}}
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:0",
                "pool": NOWHERE,
                "roster": NOWHERE,
                "vault": NOWHERE,
                "settings": settings,
            }
        )
    )
    completed = subprocess.run(
        [sys.executable, "-m", "cairnvane"],
        env={**os.environ, "LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
    )
    time, _, line = completed.stderr.partition(" ")
    assert datetime.strptime(time, "%Y-%m-%dT%H:%M:%S.%f")
    assert (completed.returncode, line) == (
        2,
        "ERROR cairnvane.server.main: settings: Extra.Cores: impossible value 0\n",
    )
