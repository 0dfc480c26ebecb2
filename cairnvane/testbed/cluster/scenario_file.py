"""Reads a scenario from YAML and validates it. Its only I/O is reading the file.

Error messages name the file, the line, the key and the value. `docs/testbed.md` describes the keys.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from ...config import ConfigurationError
from ...membership.partition_detector import Verdict as PartitionVerdict
from .link_conditions import LINK_FAULT_KINDS, UDP_ONLY_KINDS
from .scenario import (
    ALL_SERVERS,
    DEPENDENCY_FAULTS,
    LOAD_FAULTS,
    NON_SERVER_ENDS,
    SERVER_FAULTS,
    Fault,
    Scenario,
)

# One developer's machine can run this many servers, each with its own stand-ins, and one testbed process can
# generate this load.
MAX_SERVERS = 24
MAX_SECONDS = 7_200.0
MAX_RATE = 400.0
# Minimum interval at which a fault is repeated; it is never repeated before it has ended.
MIN_REPEAT_S = 0.05
# Expectations on the servers' views of each other.
MEMBER_EXPECTATIONS = (
    "called_dead",
    "agree_within",
    "found_within",
    "held_up",
    "host_held_up",
    "sights",
    "kb_a_second",
    "peak_kb",
)
# Faults with a duration.
_FAULTS_WITH_DURATION = (
    "stop",
    "hold",
    "busy",
    "freeze",
    "heavy",
    *DEPENDENCY_FAULTS,
    *LOAD_FAULTS,
    *LINK_FAULT_KINDS,
)

# An error message of msgspec, which may end with the path of the value.
_MSGSPEC_ERROR = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)


def _line_numbers(node: yaml.Node | None, path: str = "") -> dict[str, int]:
    """Line numbers of all values by path, such as `.faults[2].at`."""
    found = {} if node is None else {path: node.start_mark.line + 1}
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            found |= _line_numbers(value, f"{path}.{key.value}")
            found[f"{path}.{key.value}"] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for number, value in enumerate(node.value):
            found |= _line_numbers(value, f"{path}[{number}]")
    return found


class _Validator:
    """Validates the values of one file; a failed check raises `ConfigurationError` with the line."""

    def __init__(self, name: str, lines: dict[str, int]) -> None:
        self._name, self._lines = name, lines

    def error(self, path: str, problem: str) -> ConfigurationError:
        """An error at a path, with the line of the nearest enclosing value that the file contains."""
        nearest = path
        while nearest not in self._lines and nearest:
            nearest = nearest[: max(nearest.rfind("."), nearest.rfind("["), 0)]
        line = self._lines.get(nearest, 1)
        key = path.lstrip(".")
        return ConfigurationError(f"{self._name}, line {line}: {key + ': ' if key else ''}{problem}")

    def between(self, path: str, value: float, minimum: float, maximum: float) -> None:
        """Check that a number is within its bounds."""
        if not minimum <= value <= maximum:
            raise self.error(path, f"{value:g} is not between {minimum:g} and {maximum:g}")

    def one_of(self, path: str, value: str, allowed: tuple[str, ...] | list[str]) -> None:
        """Check that a value is one of the allowed ones."""
        if value not in allowed:
            raise self.error(path, f"{value!r} is none of {', '.join(allowed)}")


def _check_link(validator: _Validator, scenario: Scenario, fault: Fault, path: str) -> None:
    if len(fault.link) != 2:
        raise validator.error(f"{path}.link", f"{fault.do!r} needs the two ends of a link")
    for number, end in enumerate(fault.link):
        names_by_path = (
            [(f"{path}.link[{number}]", end)]
            if isinstance(end, str)
            else [(f"{path}.link[{number}][{position}]", name) for position, name in enumerate(end)]
        )
        for end_path, name in names_by_path:
            validator.one_of(end_path, name, [*scenario.names, ALL_SERVERS, *NON_SERVER_ENDS])
    first, second = scenario.ends(fault)
    is_shared = [bool(set(names) & set(NON_SERVER_ENDS)) for names in (first, second)]
    if all(is_shared) or not scenario.links(fault):
        raise validator.error(
            f"{path}.link", "at least one end must be a server, and the other end a different one"
        )
    if fault.way != "both" and set(first) & set(second):
        raise validator.error(f"{path}.way", f"{fault.way!r} is ambiguous where a server is at both ends")
    if not any(is_shared) and not scenario.members:
        raise validator.error(f"{path}.link", "links between servers exist only with `members: true`")
    if fault.do in UDP_ONLY_KINDS and any(is_shared):
        raise validator.error(f"{path}.do", f"{fault.do!r} is only possible between servers, which use UDP")


def _check_members(validator: _Validator, scenario: Scenario) -> None:
    expect = scenario.expect
    expectations = {name: getattr(expect, name) for name in MEMBER_EXPECTATIONS}
    for key, value in expectations.items():
        if value not in (None, [], {}) and not scenario.members:
            raise validator.error(f".expect.{key}", "needs `members: true`")
    for key in ("held_up", "host_held_up"):
        for number, name in enumerate(expectations[key]):
            validator.one_of(f".expect.{key}[{number}]", name, scenario.names)
    for name, sight in expect.sights.items():
        validator.one_of(f".expect.sights.{name}", name, scenario.names)
        validator.one_of(f".expect.sights.{name}", sight, [verdict.value for verdict in PartitionVerdict])


def _check_fault(validator: _Validator, scenario: Scenario, number: int) -> None:
    fault, path = scenario.faults[number], f".faults[{number}]"
    validator.one_of(
        f"{path}.do", fault.do, [*SERVER_FAULTS, *DEPENDENCY_FAULTS, *LOAD_FAULTS, *LINK_FAULT_KINDS]
    )
    validator.between(f"{path}.at", fault.at, 0.0, scenario.seconds)
    validator.between(f"{path}.for", fault.duration, 0.0, scenario.seconds - fault.at)
    validator.between(f"{path}.jitter", fault.jitter, 0.0, scenario.seconds - fault.at - fault.duration)
    if fault.every:
        longest = fault.jitter + fault.duration
        validator.between(f"{path}.every", fault.every, max(longest, MIN_REPEAT_S), scenario.seconds)
    validator.between(f"{path}.share", fault.share, 0.0, 1.0)
    validator.between(f"{path}.times", fault.times, 0.1, 1_000.0)
    validator.between(f"{path}.kb_a_second", fault.kb_a_second, 0.1, 1e6)
    validator.one_of(f"{path}.way", fault.way, ("there", "back", "both"))
    _check_duration(validator, fault, path)
    _check_target(validator, scenario, fault, path)


def _check_duration(validator: _Validator, fault: Fault, path: str) -> None:
    if fault.do in _FAULTS_WITH_DURATION and not fault.duration:
        raise validator.error(f"{path}.for", f"{fault.do!r} needs a duration in seconds")
    if fault.do not in _FAULTS_WITH_DURATION and fault.duration:
        raise validator.error(f"{path}.for", f"{fault.do!r} is instantaneous and takes no duration")


def _check_target(validator: _Validator, scenario: Scenario, fault: Fault, path: str) -> None:
    if fault.do in LINK_FAULT_KINDS:
        _check_link(validator, scenario, fault, path)
    elif fault.by and fault.do not in ("clock", "start"):
        raise validator.error(f"{path}.by", f"{fault.do!r} does not change the clock")
    elif fault.do == "clock" and not fault.by:
        raise validator.error(f"{path}.by", "'clock' needs the number of seconds")
    elif fault.link:
        raise validator.error(f"{path}.link", f"{fault.do!r} does not apply to a link")
    elif fault.do in SERVER_FAULTS:
        validator.one_of(f"{path}.who", fault.who, [*scenario.names, "any"])
    elif fault.do in DEPENDENCY_FAULTS:
        validator.one_of(f"{path}.who", fault.who or "vault", ["vault"])


def _check_values(validator: _Validator, scenario: Scenario) -> None:
    validator.between(".servers", scenario.servers, 1, MAX_SERVERS)
    validator.between(".seconds", scenario.seconds, 1.0, MAX_SECONDS)
    validator.between(".load.rate", scenario.load.rate, 0.1, MAX_RATE)
    validator.between(".load.balancers", scenario.load.balancers, 1, 64)
    validator.between(".load.tries", scenario.load.tries, 1, 64)
    validator.between(".load.wait", scenario.load.wait, 0.05, 60.0)
    shares = {
        "load.keyed": scenario.load.keyed,
        "load.heed": scenario.load.heed,
        "expect.served": scenario.expect.served,
    }
    for key, value in shares.items():
        validator.between(f".{key}", value, 0.0, 1.0)
    validator.between(".server.cores", scenario.server.cores, 1, 64)
    validator.between(".server.work_ms", scenario.server.work_ms, 1.0, 10_000.0)
    validator.between(".server.request_kb", scenario.server.request_kb, 0.1, 1_999.0)
    validator.between(".server.memory_kb", scenario.server.memory_kb, 1.0, 1e9)
    validator.between(".vault.slots", scenario.vault.slots, 1, 10_000)
    validator.between(".vault.call_ms", scenario.vault.call_ms, 0.1, 10_000.0)
    validator.between(".vault.falls_at", scenario.vault.falls_at, 1.0, 1_000.0)


def parse(text: str, name: str) -> Scenario:
    """Parse and validate a scenario; `ConfigurationError` names the line and the value."""
    try:
        lines = _line_numbers(yaml.compose(text, Loader=yaml.SafeLoader))
        tree: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ConfigurationError(f"{name}: {' '.join(str(error).split())}") from None
    validator = _Validator(name, lines)
    try:
        scenario = msgspec.convert({} if tree is None else tree, type=Scenario, strict=True)
    except msgspec.ValidationError as error:
        message = _MSGSPEC_ERROR.match(str(error))
        assert message is not None
        raise validator.error(message["path"] or "", message["what"]) from None
    _check_values(validator, scenario)
    _check_members(validator, scenario)
    for number in range(len(scenario.faults)):
        _check_fault(validator, scenario, number)
    return scenario


def load(path: Path) -> Scenario:
    """Load and validate a file; `ConfigurationError` describes the first problem."""
    try:
        return parse(path.read_text(), str(path))
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigurationError(f"{path}: not UTF-8") from None


def shipped() -> Path:
    """Path of the short scenario that is the command's default."""
    return Path(__file__).parent / "scenarios" / "first.yaml"
