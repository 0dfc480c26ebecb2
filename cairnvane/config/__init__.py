"""The platform's configuration: reads the JSON file, checks it and fills in defaults.

The operator's own YAML file is read by `config.operator`, which is only imported if such a file is named: a
server that is started without it has no memory to spare for the YAML reader.
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

# The most that the platform gives on a scored day, for a configuration that leaves limits out.
DEFAULT_SOCKETS = 1_024
DEFAULT_STOP_MS = 3_000
# 64 of them are reserved for links, calls and connections that close; as many should be left for balancers.
MIN_SOCKETS = 128
# More than any system gives a process.
MAX_SOCKETS = 1 << 20
# One day: longer than anyone waits for a process to end.
MAX_STOP_MS = 86_400_000
MAX_PORT = 65_535

# Environment variables. The first one names the platform's file, the next three override keys of it.
CONFIG_VARIABLE = "LB_CONFIG"
NAME_VARIABLE = "LB_NAME"
LISTEN_VARIABLE = "LB_LISTEN"
CONTROL_VARIABLE = "LB_CONTROL"
# Names the operator's own file; see `config.operator`.
OPERATOR_VARIABLE = "CAIRNVANE_OPERATOR"

Address = tuple[str, int]


class ConfigurationError(Exception):
    """The configuration is at fault; the message is one line that names the key and the value."""


class _Limits(msgspec.Struct):
    sockets: int = DEFAULT_SOCKETS


class _File(msgspec.Struct):
    """The platform's file, by its own keys."""

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


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of one server, checked."""

    name: str
    listen: Address
    pool: Address
    registry: Address
    vault: Address
    seed: int
    stop_ms: int  # how long after a signal to shut down the process is stopped
    sockets: int  # descriptors that the process may have open
    settings: Settings
    gauges: tuple[str | None, ...]  # in the order in which the pool sends them; None: of no interest
    administration: Address | None = None  # of the administration endpoint; None: it is off


# What a server can't change while it runs: keys of the platform's file, and the fields that they set.
_FIXED_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "sockets",
    "settings": "settings",
    "control": "administration",
}


def keys_that_need_restart(current: Config, new: Config) -> list[str]:
    """The keys of the file that differ, and take effect only at the next start."""
    return [key for key, field in _FIXED_FIELDS.items() if getattr(new, field) != getattr(current, field)]


def address(key: str, text: str) -> Address:
    """Read HOST:PORT. Raises a `ConfigurationError` that names `key`."""
    host, colon, port_text = text.rpartition(":")
    port = int(port_text) if port_text.isascii() and port_text.isdigit() else -1
    if not (host and colon and _is_host_name(host) and 0 <= port <= MAX_PORT):
        raise ConfigurationError(f"{key}: {text!r} is not HOST:PORT")
    return host, port


def _is_host_name(host: str) -> bool:
    """Whether the system can encode this name; it would do so later, in whatever thread first connects."""
    try:
        host.encode("idna")
    except UnicodeError:
        return False
    return True


def _describe_value(raw: bytes, problem: str) -> str:
    """The value at the place that a message of msgspec names; the message only says what it expected."""
    place = re.search(r"at `\$\.([\w.]+)`", problem)
    if place is None:
        return ""
    value = msgspec.json.decode(raw)
    for key in place[1].split("."):
        value = value[key]
    return f": {value!r}"


def _required(key: str, text: str) -> str:
    if not text:
        raise ConfigurationError(f"{key}: missing")
    return text


def _bounded(key: str, value: int, minimum: int, maximum: int) -> int:
    if value < minimum:
        raise ConfigurationError(f"{key}: {value} is under {minimum}")
    if value > maximum:
        raise ConfigurationError(f"{key}: {value} is over {maximum}")
    return value


def _read_file(path: str) -> _File:
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: {path}: {error.strerror}") from None
    try:
        return msgspec.json.decode(raw, type=_File)
    except msgspec.ValidationError as error:
        value = _describe_value(raw, str(error))
        raise ConfigurationError(f"{CONFIG_VARIABLE}: {error}{value}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: {error}") from None


def _read_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {text!r} is not a hexadecimal number") from None


def _read_settings(raw: msgspec.Raw) -> tuple[Settings, tuple[str | None, ...]]:
    """The controller's settings, and the names of the pool's gauges."""
    try:
        settings, gauges = read_settings(bytes(raw).decode())
    except ProtocolError as error:
        raise ConfigurationError(str(error)) from None
    # The pool has no command to continue a run without its call, so here no class has degraded answers.
    classes = tuple(replace(cls, degraded_fraction=0.0) for cls in settings.classes)
    return replace(settings, classes=classes), gauges


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that `LB_CONFIG` names; `LB_NAME`, `LB_LISTEN` and `LB_CONTROL` override its keys.

    Raises `ConfigurationError`.
    """
    file = _read_file(_required(CONFIG_VARIABLE, environment.get(CONFIG_VARIABLE, "")))
    seed = _read_seed(file.seed)
    settings, gauges = _read_settings(file.settings)
    administration = environment.get(CONTROL_VARIABLE) or file.control
    return Config(
        name=_required("name", environment.get(NAME_VARIABLE) or file.name),
        listen=address("listen", environment.get(LISTEN_VARIABLE) or file.listen),
        pool=address("pool", file.pool),
        registry=address("roster", file.roster),
        vault=address("vault", file.vault),
        seed=seed,
        stop_ms=_bounded("stop_ms", file.stop_ms, 1, MAX_STOP_MS),
        sockets=_bounded("limits.sockets", file.limits.sockets, MIN_SOCKETS, MAX_SOCKETS),
        settings=settings,
        gauges=gauges,
        administration=address("control", administration) if administration else None,
    )
