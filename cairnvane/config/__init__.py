"""The one place where configuration is read, checked and given defaults.

Here stands the platform's JSON. The operator's own YAML is read by `config.operator`, which is only imported
where such a file is named: the plain line `run` has no room for what it needs.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from ..contract.settings import Settings
from ..simulator.errors import ProtocolError
from ..simulator.settings_reader import read_settings

# What a scored day gives at most, for a configuration that leaves limits out.
DEFAULT_SOCKETS = 1_024
DEFAULT_STOP_MS = 3_000
# 64 of them are kept for links, calls and connections on their way out; as many should be balancers.
LEAST_SOCKETS = 128
# More than any system gives a process, and longer than anyone waits for one to end.
MOST_SOCKETS, MOST_STOP_MS = 1 << 20, 86_400_000


# The variable that names the operator's own file; see `config.operator`.
OPERATOR = "CAIRNVANE_OPERATOR"

# The variable that names the operators' door, before the file's `control`; older days have neither.
CONTROL = "LB_CONTROL"

# What a server can't change while it runs.
FIXED = ("name", "listen", "sockets", "settings", "control")


class ConfigurationError(Exception):
    """One line that names the faulty key."""


class _Limits(msgspec.Struct):
    sockets: int = DEFAULT_SOCKETS


class _File(msgspec.Struct):
    pool: str
    roster: str
    vault: str
    settings: msgspec.Raw
    name: str = ""
    listen: str = ""
    seed: str = "0"
    stop_ms: int = DEFAULT_STOP_MS
    limits: _Limits = msgspec.field(default_factory=_Limits)
    control: str = ""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a server is told at its start."""

    name: str
    listen: Address
    pool: Address
    roster: Address
    vault: Address
    seed: int
    stop_ms: int
    sockets: int
    settings: Settings
    gauges: tuple[str | None, ...]  # in the order in which the pool sends them; None: of no interest
    control: Address | None = None  # the operators' door; None: there is none


def address(key: str, text: str) -> Address:
    """HOST:PORT; `ConfigError` names the key."""
    host, colon, port = text.rpartition(":")
    try:
        host.encode("idna")  # as the system would do it, in whatever thread first connects
        number = int(port) if port.isascii() and port.isdigit() else -1
    except UnicodeError:
        number = -1
    if not (host and colon and 0 <= number < 65_536):
        raise ConfigurationError(f"{key}: {text!r} is not HOST:PORT")
    return host, number


def _found(raw: bytes, problem: str) -> str:
    """What stands at the place that msgspec names, which says only what should."""
    place = re.search(r"at `\$\.([\w.]+)`", problem)
    if place is None:
        return ""
    value = msgspec.json.decode(raw)
    for key in place[1].split("."):
        value = value[key]
    return f": {value!r}"


def _text(key: str, text: str) -> str:
    if not text:
        raise ConfigurationError(f"{key}: missing")
    return text


def _within(key: str, value: int, least: int, most: int) -> int:
    if value < least:
        raise ConfigurationError(f"{key}: {value} is under {least}")
    if value > most:
        raise ConfigurationError(f"{key}: {value} is over {most}")
    return value


def load(environment: Mapping[str, str]) -> Config:
    """Read `LB_CONFIG`; `LB_NAME`, `LB_LISTEN` and `LB_CONTROL` go before what it says."""
    path = _text("LB_CONFIG", environment.get("LB_CONFIG", ""))
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"LB_CONFIG: {path}: {error.strerror}") from None
    try:
        file = msgspec.json.decode(raw, type=_File)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"LB_CONFIG: {error}{_found(raw, str(error))}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"LB_CONFIG: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {file.seed!r} is not a hexadecimal number") from None
    try:
        settings, gauges = read_settings(bytes(file.settings).decode())
    except ProtocolError as error:
        raise ConfigurationError(str(error)) from None
    # The pool has no command to go on without a call, so no class may earn by that here.
    settings = replace(
        settings, classes=tuple(replace(cls, degraded_fraction=0.0) for cls in settings.classes)
    )
    return Config(
        name=_text("name", environment.get("LB_NAME") or file.name),
        listen=address("listen", environment.get("LB_LISTEN") or file.listen),
        pool=address("pool", file.pool),
        roster=address("roster", file.roster),
        vault=address("vault", file.vault),
        seed=seed,
        stop_ms=_within("stop_ms", file.stop_ms, 1, MOST_STOP_MS),
        sockets=_within("limits.sockets", file.limits.sockets, LEAST_SOCKETS, MOST_SOCKETS),
        settings=settings,
        gauges=gauges,
        control=address("control", door) if (door := environment.get(CONTROL) or file.control) else None,
    )
