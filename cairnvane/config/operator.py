"""The operator's own file: YAML, for what the platform's configuration has no words for.

Each section turns one part on; a part without its section costs nothing and is not imported. Messages name
the file, the key and the value, and a key that nobody reads is an error: a misspelt one would else be a part
that is silently off.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Literal

import msgspec

from . import ConfigurationError, address

MEGABYTE = 1 << 20
# Less has no room for two segments beside the one that is written; more can't be addressed by the index.
LEAST_DISK_MB, MOST_DISK_MB = 2, 65_536
LEAST_MEMORY_MB, MOST_MEMORY_MB = 1, 1_024

_PATH = re.compile(r"^(?P<what>.*?)(?: - at `(?P<path>\$[^`]*)`)?$", re.S)
_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[([0-9]+)\]")


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How log lines are written."""

    form: Literal["text", "json"] = "text"


class KeyedOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keyed results over restarts."""

    folder: str  # relative to the file that says so; absolute once that is read
    durability: Literal["process", "power"] = "process"
    max_disk_mb: int = 64
    max_memory_mb: int = 8

    @property
    def disk_bytes(self) -> int:
        """The bound on the folder."""
        return self.max_disk_mb * MEGABYTE

    @property
    def memory_bytes(self) -> int:
        """The bound on index and queue."""
        return self.max_memory_mb * MEGABYTE


# What a keyed hash takes, and what can't be guessed.
LEAST_KEY, MOST_KEY = 16, 64
MOST_CONTACTS, MOST_ROUTES, MOST_SPARES = 16, 1_000, 8


class MembersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The bid servers know each other."""

    listen: str  # HOST:PORT, for datagrams and for whole views
    key: str  # the same for all
    contacts: list[str] = []  # HOST:PORT of some others, to begin with
    spare_ports: int = 2  # above it, for a new version that takes over while the earlier one listens
    routes: dict[str, str] = {}  # addresses that are reached by another one from here, as through a tunnel

    @property
    def address(self) -> tuple[str, int]:
        """Where this one listens."""
        return address("members.listen", self.listen)

    @property
    def others(self) -> list[tuple[str, int]]:
        """Whom to ask first."""
        return [address(f"members.contacts[{number}]", text) for number, text in enumerate(self.contacts)]

    @property
    def ways(self) -> dict[tuple[str, int], tuple[str, int]]:
        """By which address each of these is reached from here."""
        key = "members.routes"
        return {address(key, there): address(f"{key}.{there}", by) for there, by in self.routes.items()}


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that an operator turned on."""

    log: LogOptions = msgspec.field(default_factory=LogOptions)
    keyed: KeyedOptions | None = None
    members: MembersOptions | None = None


def _value(tree: Any, path: str) -> str:
    """What stands at this path, for a message; empty if nothing does."""
    for name, number in _STEP.findall(path):
        try:
            tree = tree[int(number)] if number else tree[name]
        except (KeyError, IndexError, TypeError):
            return ""
    return f", which is {tree!r}"[:120] if not isinstance(tree, dict) else ""


def _complaint(error: Exception, tree: Any) -> str:
    text = str(error).replace("\n", " ")
    found = _PATH.match(text)
    if found is None or not found["path"]:
        return text
    value = _value(tree, found["path"])
    return f"{found['path'].removeprefix('$.')}: {found['what']}{value}"


def _between(key: str, value: int, least: int, most: int) -> None:
    if not least <= value <= most:
        raise ConfigurationError(f"{key}: {value} is not between {least} and {most}")


def _check_members(asked: MembersOptions) -> None:
    from ..membership.member_table import IPV4  # only where the section is there

    for key, (host, _) in (("listen", asked.address), *(("contacts", other) for other in asked.others)):
        if IPV4.fullmatch(host) is None:  # a name would have to be looked up while others wait
            raise ConfigurationError(f"members.{key}: {host!r} is not an IPv4 address")
        if host == "0.0.0.0":
            raise ConfigurationError(f"members.{key}: {host} is no address that others can reach")
    length = len(asked.key.encode())
    if not LEAST_KEY <= length <= MOST_KEY:  # the key itself is nobody's to read in a message
        raise ConfigurationError(f"members.key: {length} bytes are not between {LEAST_KEY} and {MOST_KEY}")
    _between("members.spare_ports", asked.spare_ports, 0, MOST_SPARES)
    _between("members.contacts", len(asked.others), 0, MOST_CONTACTS)
    _between("members.routes", len(asked.ways), 0, MOST_ROUTES)


def load(path: str | Path) -> Operator:
    """Read and check the operator's file; `ConfigError` names what is wrong with it."""
    path = Path(path)
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(f"operator's file {path}: {error.strerror}") from None
    try:
        tree = msgspec.yaml.decode(raw) if raw.strip() else None
    except Exception as error:  # PyYAML's own, which name line and column in several lines
        raise ConfigurationError(f"operator's file {path}: {' '.join(str(error).split())}") from None
    try:
        told = msgspec.convert({} if tree is None else tree, type=Operator)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"operator's file {path}: {_complaint(error, tree)}") from None
    for key, section in (tree or {}).items():
        if section is None:  # as good as misspelt: what it was to turn on would be silently off
            raise ConfigurationError(f"operator's file {path}: {key}: nothing stands under it")
    try:
        if told.members is not None:
            _check_members(told.members)
        if told.keyed is None:
            return told
        _between("keyed.max_disk_mb", told.keyed.max_disk_mb, LEAST_DISK_MB, MOST_DISK_MB)
        _between("keyed.max_memory_mb", told.keyed.max_memory_mb, LEAST_MEMORY_MB, MOST_MEMORY_MB)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator's file {path}: {error}") from None
    folder = str((path.parent / told.keyed.folder).absolute())
    return msgspec.structs.replace(told, keyed=msgspec.structs.replace(told.keyed, folder=folder))
