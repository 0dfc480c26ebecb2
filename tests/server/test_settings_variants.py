"""The server works with any valid settings, not only those of the scored day."""

from __future__ import annotations

from typing import Any

import pytest
from peers import PARAMS, TOKEN, world
from server_helpers import class_settings

from cairnvane.net.connection import ConnectionPhase


@pytest.mark.parametrize(
    ("classes", "other_settings"),
    [
        ([class_settings("only")], {}),
        ([class_settings(f"kind-{number}", Worth=float(number)) for number in range(40)], {}),
        ([class_settings("read"), class_settings("signal", "single_shot", Worth=2.0)], {}),
        (
            [class_settings("all", "guarded", WindowUs=0)],
            {"Extra": PARAMS["Extra"] | {"Downstream": "silent"}},
        ),
        (
            [class_settings("short", OnTimeUs=150_000, GiveUpUs=9_000_000, LateWorth=0.5)],
            {
                "Tenants": [{"Name": "a", "QuotaPerS": 0.5}],
                "OverShareWorth": 0.1,
                "Extra": PARAMS["Extra"] | {"Halt": "silent", "Say": "silent", "Meters": []},
            },
        ),
    ],
)
def test_all_classes_of_any_valid_settings_are_served(
    classes: list[dict[str, Any]],
    other_settings: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server's behaviour may depend only on the settings, which differ between customers."""
    for key, value in ({"Classes": classes} | other_settings).items():
        monkeypatch.setitem(PARAMS, key, value)
    with world() as harness:
        balancer = harness.balancer()
        for number, cls in enumerate(classes, 1):
            token = {"HTTP_REQ_TOKEN": TOKEN} if cls["Repeat"] == "guarded" else {}
            harness.serve(balancer, number, path=f"/svc/{cls['Name']}", **token)
        balancer.send(99, path="/svc/nobody's")
        assert balancer.answer()[1].status == 500  # fails only this request, not the connection
        assert harness.connection.state is ConnectionPhase.SERVING
