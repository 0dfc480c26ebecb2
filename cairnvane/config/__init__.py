"""The platform's configuration: reads the JSON file, checks it and fills in defaults.

The operator's YAML file is read by `config.operator`, which is imported only if such a file is configured: a
server without it must not spend memory on the YAML parser.
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

# The limits of the platform on a scored day; defaults for a configuration without them.
DEFAULT_SOCKETS = 1_024
DEFAULT_MEMORY_MB = 192
DEFAULT_STOP_MS = 3_000
# 64 file descriptors are reserved for links, calls and closing connections; as many should remain for
# balancers.
MIN_SOCKETS = 128
# More file descriptors than any system allows for a process.
MAX_SOCKETS = 1 << 20
# One day: longer than any useful grace period.
MAX_STOP_MS = 86_400_000
# The interpreter with the program loaded needs as much.
MIN_MEMORY_MB = 16
# More memory than any machine has.
MAX_MEMORY_MB = 1 << 24
MAX_PORT = 65_535

# Environment variables. The first one is the path of the platform's file, the next three override its keys.
CONFIG_VARIABLE = "LB_CONFIG"
NAME_VARIABLE = "LB_NAME"
LISTEN_VARIABLE = "LB_LISTEN"
CONTROL_VARIABLE = "LB_CONTROL"
# The path of the operator's file; see `config.operator`.
OPERATOR_VARIABLE = "CAIRNVANE_OPERATOR"

Address = tuple[str, int]


class ConfigurationError(Exception):
    """The configuration is invalid. The message is one line that names the key and the value."""


class _Limits(msgspec.Struct):
    sockets: int = DEFAULT_SOCKETS
    memory_mb: float = DEFAULT_MEMORY_MB


class _File(msgspec.Struct):
    """The content of the platform's file, by its keys."""

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
    """The validated configuration of one server."""

    name: str
    listen: Address
    pool: Address
    registry: Address
    vault: Address
    seed: int
    stop_ms: int  # the platform kills the process this long after the signal to shut down
    sockets: int  # maximum number of open file descriptors of the process
    memory_mb: int  # the platform kills the process if it needs more memory than this, in MiB
    settings: Settings
    gauges: tuple[str | None, ...]  # names in the order in which the pool sends them; None: not used
    administration: Address | None = None  # of the administration endpoint; None: disabled


# Keys of the platform's file that cannot change at run time, and the fields that they set.
_RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "settings": "settings",
    "control": "administration",
}


def keys_that_need_restart(current: Config, new: Config) -> list[str]:
    """The keys whose values differ and take effect only after a restart."""
    return [key for key, field in _RESTART_FIELDS.items() if getattr(new, field) != getattr(current, field)]


def address(key: str, text: str) -> Address:
    """Parse HOST:PORT. Raises a `ConfigurationError` that names `key`."""
    host, colon, port_text = text.rpartition(":")
    port = int(port_text) if port_text.isascii() and port_text.isdigit() else -1
    if not (host and colon and _is_host_name(host) and 0 <= port <= MAX_PORT):
        raise ConfigurationError(f"{key}: {text!r} is not HOST:PORT")
    return host, port


def _is_host_name(host: str) -> bool:
    """Whether the name can be encoded for a lookup. Otherwise the first thread that connects would fail."""
    try:
        host.encode("idna")
    except UnicodeError:
        return False
    return True


def _describe_value(raw: bytes, problem: str) -> str:
    """The value at the path in an error message of msgspec, which itself states only the expected type."""
    path_match = re.search(r"at `\$\.([\w.]+)`", problem)
    if path_match is None:
        return ""
    value = msgspec.json.decode(raw)
    for key in path_match[1].split("."):
        value = value[key]
    return f": {value!r}"


def _require_text(key: str, text: str) -> str:
    if not text:
        raise ConfigurationError(f"{key}: missing")
    return text


def _require_in_range(key: str, value: int, minimum: int, maximum: int) -> int:
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
    """Read the controller's settings and the names of the pool's gauges."""
    try:
        settings, gauges = read_settings(bytes(raw).decode())
    except ProtocolError as error:
        raise ConfigurationError(str(error)) from None
    # The pool has no command to continue a run without its call, so no class can give degraded responses.
    classes = tuple(replace(cls, degraded_fraction=0.0) for cls in settings.classes)
    return replace(settings, classes=classes), gauges


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that `LB_CONFIG` names; `LB_NAME`, `LB_LISTEN` and `LB_CONTROL` override its keys.

    Raises `ConfigurationError`.
    """
    file = _read_file(_require_text(CONFIG_VARIABLE, environment.get(CONFIG_VARIABLE, "")))
    seed = _read_seed(file.seed)
    settings, gauges = _read_settings(file.settings)
    administration = environment.get(CONTROL_VARIABLE) or file.control
    return Config(
        name=_require_text("name", environment.get(NAME_VARIABLE) or file.name),
        listen=address("listen", environment.get(LISTEN_VARIABLE) or file.listen),
        pool=address("pool", file.pool),
        registry=address("roster", file.roster),
        vault=address("vault", file.vault),
        seed=seed,
        stop_ms=_require_in_range("stop_ms", file.stop_ms, 1, MAX_STOP_MS),
        sockets=_require_in_range("limits.sockets", file.limits.sockets, MIN_SOCKETS, MAX_SOCKETS),
        memory_mb=_require_in_range(
            "limits.memory_mb", int(file.limits.memory_mb), MIN_MEMORY_MB, MAX_MEMORY_MB
        ),
        settings=settings,
        gauges=gauges,
        administration=address("control", administration) if administration else None,
    )
