"""Settings and request classes of the experiments on keyed requests: restarts and upgrades."""

from __future__ import annotations

from typing import Any

KEYED_CLASS = "bid-commit"
NON_KEYED_CLASS = "price-view"
# Retries of a keyed request within this time of its first attempt must not run it a second time.
RETRY_WINDOW_S = 17.364
CLIENT_TIMEOUT_S = 5.8
# Allowance on deadlines for scheduling delays: the testbed runs Python threads on a shared machine.
DEADLINE_SLACK_S = 1.0
SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": NON_KEYED_CLASS, "OnTimeUs": 1_400_000, "GiveUpUs": 3_400_000},
        {
            "Name": KEYED_CLASS,
            "OnTimeUs": 2_300_000,
            "GiveUpUs": int(CLIENT_TIMEOUT_S * 1e6),
            "Worth": 3.0,
            "Repeat": "guarded",
            "WindowUs": int(RETRY_WINDOW_S * 1e6),
            "LateWorth": 0.2,
        },
    ],
    "Extra": {
        "Cores": 16,
        "HeapKb": 400_000.0,
        "RunFactor": 4.0,
        "KeyKb": 1.0,
        "Halt": "drop",
        "Say": "credit",
        "Downstream": "shared",
        "FairCalls": 64.0,
        "CallsOverUs": 5_000_000,
        "LingerUs": 0,
        "ClientsTotal": 3,
        "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "TellsGone": True,
    },
    "Guarantees": {"TipMultiple": 16.0, "StopSendingWithinUs": 0},
    "Limits": {"MaxRetryAfterUs": 1_000_000},
}


def operator_file(durability: str, *, disk_mb: int = 64, memory_mb: int = 8) -> str:
    """Text of an operator's file that stores results in a folder next to the configuration."""
    return (
        f"keyed: {{folder: keyed, durability: {durability}, max_disk_mb: {disk_mb}, "
        f"max_memory_mb: {memory_mb}}}\n"
    )
