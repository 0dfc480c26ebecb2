"""The operator's own file: YAML, for what the platform's configuration has no keys for.

Each section turns one feature on; a feature without its section costs nothing and is not imported. Messages
name the file, the key and the value. An unknown key is an error: a misspelt one would else leave a feature
silently off.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Literal

import msgspec

from . import Address, ConfigurationError, address

BYTES_PER_MEGABYTE = 1 << 20
# Less has no space for two segments beside the one that is written.
MIN_DISK_MB = 2
# More can't be addressed by the index.
MAX_DISK_MB = 65_536
MIN_MEMORY_MB = 1
MAX_MEMORY_MB = 1_024
# Shorter keys could be guessed; a keyed hash takes none that is longer.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_CONTACTS = 16
MAX_ROUTES = 1_000
MAX_SPARE_PORTS = 8
MAX_VALUE_CHARACTERS = 120  # of a value in a message

# A message of msgspec: what is wrong, and the path of the key.
_PROBLEM = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$[^`]*)`)?$", re.S)
# One step of such a path: a key or an index.
_PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[([0-9]+)\]")


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The form of log lines, and which are written."""

    form: Literal["text", "json"] = "text"
    level: Literal["info", "debug"] = "info"  # debug: a line for each request that is rejected or failed


class KeyedOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A durable store of idempotency keys and results."""

    folder: str  # in the file, relative to that; absolute once it is loaded
    durability: Literal["process", "power"] = "process"
    max_disk_mb: int = 64
    max_memory_mb: int = 8

    @property
    def disk_bytes(self) -> int:
        """The most that the folder takes."""
        return self.max_disk_mb * BYTES_PER_MEGABYTE

    @property
    def memory_bytes(self) -> int:
        """The most that the index and the queue of records take."""
        return self.max_memory_mb * BYTES_PER_MEGABYTE


class MembersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership: the servers of a fleet know each other."""

    listen: str  # HOST:PORT, for datagrams and for whole member tables
    key: str  # the same for all members
    contacts: list[str] = []  # HOST:PORT of some other members, to join by
    spare_ports: int = 2  # above that of `listen`, for a new version that runs beside the earlier one
    routes: dict[str, str] = {}  # addresses that are reached by another one from here, as through a tunnel

    @property
    def listen_address(self) -> Address:
        """The address of this member. Raises `ConfigurationError`, as the next ones do."""
        return address("members.listen", self.listen)

    @property
    def contact_addresses(self) -> list[Address]:
        """The addresses of the members to join by."""
        return [address(f"members.contacts[{index}]", text) for index, text in enumerate(self.contacts)]

    @property
    def route_addresses(self) -> dict[Address, Address]:
        """For each routed address the one by which it is reached from here."""
        key = "members.routes"
        return {
            address(key, target): address(f"{key}.{target}", reached_by)
            for target, reached_by in self.routes.items()
        }


class OperatorOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that an operator turned on."""

    log: LogOptions = msgspec.field(default_factory=LogOptions)
    keyed: KeyedOptions | None = None
    members: MembersOptions | None = None


def _describe_value(tree: Any, path: str) -> str:
    """The value at this path, for a message; empty if there is none."""
    for key, index in _PATH_STEP.findall(path):
        try:
            tree = tree[int(index)] if index else tree[key]
        except (KeyError, IndexError, TypeError):
            return ""
    return f", which is {tree!r}"[:MAX_VALUE_CHARACTERS] if not isinstance(tree, dict) else ""


def _describe_problem(error: msgspec.ValidationError, tree: Any) -> str:
    text = str(error).replace("\n", " ")
    match = _PROBLEM.match(text)
    if match is None or not match["path"]:
        return text
    value = _describe_value(tree, match["path"])
    return f"{match['path'].removeprefix('$.')}: {match['problem']}{value}"


def _check_bounds(key: str, value: int, minimum: int, maximum: int) -> None:
    if not minimum <= value <= maximum:
        raise ConfigurationError(f"{key}: {value} is not between {minimum} and {maximum}")


def _check_member_host(key: str, host: str) -> None:
    from ..membership.member_table import IPV4  # only where the section is there

    if IPV4.fullmatch(host) is None:  # a name would have to be looked up while others wait
        raise ConfigurationError(f"members.{key}: {host!r} is not an IPv4 address")
    if host == "0.0.0.0":
        raise ConfigurationError(f"members.{key}: {host} is no address that others can reach")


def _check_members(members: MembersOptions) -> None:
    listen_host, _ = members.listen_address
    contacts = members.contact_addresses
    _check_member_host("listen", listen_host)
    for contact_host, _ in contacts:
        _check_member_host("contacts", contact_host)
    key_bytes = len(members.key.encode())
    if not MIN_KEY_BYTES <= key_bytes <= MAX_KEY_BYTES:  # the message must not show the key itself
        raise ConfigurationError(
            f"members.key: {key_bytes} bytes are not between {MIN_KEY_BYTES} and {MAX_KEY_BYTES}"
        )
    _check_bounds("members.spare_ports", members.spare_ports, 0, MAX_SPARE_PORTS)
    _check_bounds("members.contacts", len(contacts), 0, MAX_CONTACTS)
    _check_bounds("members.routes", len(members.route_addresses), 0, MAX_ROUTES)


def _check_keyed(keyed: KeyedOptions) -> None:
    _check_bounds("keyed.max_disk_mb", keyed.max_disk_mb, MIN_DISK_MB, MAX_DISK_MB)
    _check_bounds("keyed.max_memory_mb", keyed.max_memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB)


def _read_tree(path: Path) -> Any:
    """The YAML file's content; an empty file is an empty mapping."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(str(error.strerror)) from None
    try:
        tree = msgspec.yaml.decode(raw) if raw.strip() else None
    except Exception as error:  # PyYAML's own errors, which name line and column in several lines
        raise ConfigurationError(" ".join(str(error).split())) from None
    return {} if tree is None else tree


def _read_options(path: Path) -> OperatorOptions:
    tree = _read_tree(path)
    try:
        options = msgspec.convert(tree, type=OperatorOptions)
    except msgspec.ValidationError as error:
        raise ConfigurationError(_describe_problem(error, tree)) from None
    for key, section in tree.items():
        if section is None:  # as good as misspelt: the feature would be silently off
            raise ConfigurationError(f"{key}: nothing stands under it")
    if options.members is not None:
        _check_members(options.members)
    if options.keyed is None:
        return options
    _check_keyed(options.keyed)
    folder = str((path.parent / options.keyed.folder).absolute())
    return msgspec.structs.replace(options, keyed=msgspec.structs.replace(options.keyed, folder=folder))


def load(path: str | Path) -> OperatorOptions:
    """Read and check the operator's file. Raises a `ConfigurationError` that names the file and the fault."""
    path = Path(path)
    try:
        return _read_options(path)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator's file {path}: {error}") from None
