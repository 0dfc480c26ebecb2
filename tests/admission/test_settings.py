"""Errors for settings out of range contain the name of the setting."""

from __future__ import annotations

from typing import Any

import pytest
from admission_helpers import CLASSES, start_host

from cairnvane.contract.settings import RequestClass, Settings


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("cores", 0),
        ("memory", -1.0),
        ("classes", ()),
        ("drain_grace", -1),
        ("max_oversubscription", 0.5),
        ("cancel_mode", "drop"),
        ("cold_speed", 1.5),
        ("replicas", 0),
        ("over_quota_fraction", -0.1),
        ("memory", float("nan")),
    ],
)
def test_settings_out_of_range_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        start_host(1, **{field: value})


@pytest.mark.parametrize(
    ("field", "value"), [("latency_objective", 0), ("client_timeout", -5), ("retry_semantics", "often")]
)
def test_classes_out_of_range_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        RequestClass(**{"name": "x", "latency_objective": 1, "client_timeout": 1, field: value})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("passed", "field"),
    [
        ({}, "cores"),
        ({"cores": 2}, "classes"),
        ({"cores": 2, "classes": CLASSES}, "memory"),
    ],
)
def test_missing_settings_name_the_field(passed: dict[str, Any], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        Settings(**passed)


def test_a_class_without_times_names_the_field() -> None:
    with pytest.raises(ValueError, match="latency_objective"):
        RequestClass("x")
