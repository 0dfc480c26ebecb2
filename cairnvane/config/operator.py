"""The operator's file: YAML, for options that the platform's configuration has no keys for.

Each section enables one feature; the code of a feature without a section is not imported. Error messages name
the file, the key and the value. An unknown key is an error: otherwise a misspelt key would silently leave a
feature disabled.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Literal

import msgspec

from . import Address, ConfigurationError, address

BYTES_PER_MEGABYTE = 1 << 20
# The minimum for two segments beside the one that is being written.
MIN_DISK_MB = 2
# The maximum that the index can address.
MAX_DISK_MB = 65_536
MIN_MEMORY_MB = 1
MAX_MEMORY_MB = 1_024
# Shorter keys could be guessed; the keyed hash does not support longer ones.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_CONTACTS = 16
MAX_ROUTES = 1_000
MAX_SPARE_PORTS = 8
MAX_VALUE_CHARACTERS = 120  # longer values are truncated in error messages

# An error message of msgspec: the problem and the path of the key.
_PROBLEM_AND_PATH = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$[^`]*)`)?$", re.S)
# One step of such a path: a key or an index.
_PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[([0-9]+)\]")


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The format and the level of the log."""

    form: Literal["text", "json"] = "text"
    level: Literal["info", "debug"] = "info"  # debug: also a line for each rejected or failed request


class KeyedOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A durable store of idempotency keys and results."""

    folder: str  # relative to the operator's file in that file; absolute after loading
    durability: Literal["process", "power"] = "process"
    max_disk_mb: int = 64
    max_memory_mb: int = 8

    @property
    def disk_bytes(self) -> int:
        """The maximum size of the folder in bytes."""
        return self.max_disk_mb * BYTES_PER_MEGABYTE

    @property
    def memory_bytes(self) -> int:
        """The maximum memory of the index and the queue of records, in bytes."""
        return self.max_memory_mb * BYTES_PER_MEGABYTE


class MembersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership: the servers of a fleet detect each other's presence and failure."""

    listen: str  # HOST:PORT, for datagrams and for the exchange of whole member tables
    key: str  # the same for all members
    contacts: list[str] = []  # HOST:PORT of some other members, which are contacted to join
    spare_ports: int = 2  # after the port of `listen`, for a new version that runs beside the earlier one
    routes: dict[
        str, str
    ] = {}  # addresses of members to other addresses that reach them, as through a tunnel

    @property
    def listen_address(self) -> Address:
        """The address of this member. Raises `ConfigurationError` if it is invalid."""
        return address("members.listen", self.listen)

    @property
    def contact_addresses(self) -> list[Address]:
        """The addresses of `contacts`. Raises `ConfigurationError` if one is invalid."""
        return [address(f"members.contacts[{index}]", text) for index, text in enumerate(self.contacts)]

    @property
    def route_addresses(self) -> dict[Address, Address]:
        """The addresses of `routes`. Raises `ConfigurationError` if one is invalid."""
        key = "members.routes"
        return {
            address(key, target): address(f"{key}.{target}", reached_by)
            for target, reached_by in self.routes.items()
        }


class OperatorOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the operator's file; None for features that are disabled."""

    log: LogOptions = msgspec.field(default_factory=LogOptions)
    keyed: KeyedOptions | None = None
    members: MembersOptions | None = None


def _describe_value(tree: Any, path: str) -> str:
    """The value at this path as text for a message; empty if there is none or it is a mapping."""
    for key, index in _PATH_STEP.findall(path):
        try:
            tree = tree[int(index)] if index else tree[key]
        except (KeyError, IndexError, TypeError):
            return ""
    return f", which is {tree!r}"[:MAX_VALUE_CHARACTERS] if not isinstance(tree, dict) else ""


def _describe_problem(error: msgspec.ValidationError, tree: Any) -> str:
    text = str(error).replace("\n", " ")
    match = _PROBLEM_AND_PATH.match(text)
    if match is None or not match["path"]:
        return text
    value = _describe_value(tree, match["path"])
    return f"{match['path'].removeprefix('$.')}: {match['problem']}{value}"


def _check_bounds(key: str, value: int, minimum: int, maximum: int) -> None:
    if not minimum <= value <= maximum:
        raise ConfigurationError(f"{key}: {value} is not between {minimum} and {maximum}")


def _check_member_host(key: str, host: str) -> None:
    from ..membership.member_table import IPV4  # imported only if the section exists

    if IPV4.fullmatch(host) is None:  # resolving a host name would block the membership thread
        raise ConfigurationError(f"members.{key}: {host!r} is not an IPv4 address")
    if host == "0.0.0.0":
        raise ConfigurationError(f"members.{key}: {host} is not an address that other members can reach")


def _check_members(members: MembersOptions) -> None:
    listen_host, _ = members.listen_address
    contacts = members.contact_addresses
    _check_member_host("listen", listen_host)
    for contact_host, _ in contacts:
        _check_member_host("contacts", contact_host)
    key_bytes = len(members.key.encode())
    if not MIN_KEY_BYTES <= key_bytes <= MAX_KEY_BYTES:  # the message must not contain the key itself
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
    """Read the YAML file; an empty file counts as an empty mapping."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(str(error.strerror)) from None
    try:
        tree = msgspec.yaml.decode(raw) if raw.strip() else None
    except Exception as error:  # errors of PyYAML, whose messages have several lines with line and column
        raise ConfigurationError(" ".join(str(error).split())) from None
    return {} if tree is None else tree


def _read_options(path: Path) -> OperatorOptions:
    tree = _read_tree(path)
    try:
        options = msgspec.convert(tree, type=OperatorOptions)
    except msgspec.ValidationError as error:
        raise ConfigurationError(_describe_problem(error, tree)) from None
    for key, section in tree.items():
        if section is None:  # otherwise the feature would silently be disabled, as with a misspelt key
            raise ConfigurationError(f"{key}: the section is empty")
    if options.members is not None:
        _check_members(options.members)
    if options.keyed is None:
        return options
    _check_keyed(options.keyed)
    folder = str((path.parent / options.keyed.folder).absolute())
    return msgspec.structs.replace(options, keyed=msgspec.structs.replace(options.keyed, folder=folder))


def load(path: str | Path) -> OperatorOptions:
    """Read and validate the operator's file. Raises a `ConfigurationError` that names file and problem."""
    path = Path(path)
    try:
        return _read_options(path)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator's file {path}: {error}") from None
