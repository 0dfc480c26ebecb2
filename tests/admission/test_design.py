"""The design's ordinary path, and the limits on the module that holds it."""

from __future__ import annotations

import ast
import random
import tomllib
from pathlib import Path

import pytest
from helpers import MS, SAFE, UNSAFE, Host, host

from cairnvane.admission import controller, parameters
from cairnvane.admission.requests import RequestState
from cairnvane.contract.actions import Action
from cairnvane.contract.events import Arrival, Outcome, RunFinished


def known_rate(h: Host) -> None:
    """Four finished runs of 100 ms: 40 requests a second on four cores."""
    h.send(*(Arrival(rid, SAFE) for rid in range(1, 5)))
    h.now += 100 * MS
    for rid in range(1, 5):
        h.requests[rid].where, h.requests[rid].answered = "over", True
    h.send(*(RunFinished(rid, Outcome.OK, 100 * MS) for rid in range(1, 5)))


def hold(h: Host, count: int) -> None:
    """Have this many held, cores taken, of a class without a finished run, which leaves p alone."""
    for rid in range(1_000, 1_000 + h.settings.cores + count):
        h.send(Arrival(rid, UNSAFE))
    assert h.count("held") == count


def test_p_starts_at_one_and_needs_a_finished_run() -> None:
    h = host()
    assert h.control.admission.probability == 1.0
    hold(h, 60)
    h.send(Arrival(1, SAFE))
    assert h.control.admission.probability == 1.0


def test_p_falls_above_n_high_and_rises_below_n_low_and_is_clamped() -> None:
    h = host()
    known_rate(h)
    n_high = (1_000 - 100) * MS * h.control.service.rate()
    assert 30 < n_high < 40
    hold(h, 45)
    h.send(Arrival(1, SAFE))
    assert h.control.admission.probability == parameters.MULTIPLICATIVE_DECREASE
    for rid in range(2, 40):
        h.send(Arrival(rid, SAFE))
    assert h.control.admission.probability == parameters.MINIMUM_PROBABILITY
    for rid in list(h.control.queue)[:-25]:
        h.gone(rid)
    h.send(Arrival(50, SAFE))
    assert h.control.admission.probability == parameters.MINIMUM_PROBABILITY  # between N_low and N_high
    for rid in list(h.control.queue)[:-5]:
        h.gone(rid)
    h.send(Arrival(51, SAFE))
    assert h.control.admission.probability == parameters.MINIMUM_PROBABILITY + parameters.ADDITIVE_INCREASE
    for rid in range(52, 56):
        h.send(Arrival(rid, SAFE))
    assert h.control.admission.probability == 1.0


def test_held_requests_start_oldest_first() -> None:
    h = host()
    for rid in (5, 3, 9, 1, 7, 2):
        h.send(Arrival(rid, SAFE))
    assert h.ids("running") == [5, 3, 9, 1]
    h.finish(5)
    assert h.ids("running") == [3, 9, 1, 7]


def test_the_run_limit_climbs_while_throughput_grows_and_turns_when_it_falls() -> None:
    """Seen from outside: how many run at once while runs finish at a given rate."""
    h = host(max_oversubscription=40.0)
    h.runnable = 9
    rid = 0

    def interval(per_second: int) -> int:
        """As many finished runs as a step needs, with requests held all the while."""
        nonlocal rid
        for _ in range(parameters.CLIMB_RUNS_PER_CORE * h.settings.cores):
            while h.count("held") < 6:
                rid += 1
                h.send(Arrival(rid, SAFE, time_left=60_000 * MS))
            h.pass_time(1_000 * MS // per_second)
            h.finish(h.ids("running")[0])
        h.pass_time(60 * MS)
        return h.count("running")

    counts = [interval(rate) for rate in (80, 80, 60, 80, 105, 140, 100)]
    assert counts[:2] == [4, 4]  # at the floor
    assert counts[2:6] == [5, 6, 7, 8]  # throughput fell there, and then grew with each step
    assert counts[6] == 8
    h.finish(h.ids("running")[0])
    assert h.count("running") == 7  # it fell: one fewer, as soon as a run ends
    assert h.count("held")


def test_same_events_give_same_actions() -> None:
    def play() -> list[Action]:
        h = host(seed=7)
        source = random.Random(3)
        for rid in range(1, 300):
            h.pass_time(source.randrange(1, 30) * MS)
            h.send(Arrival(rid, source.randrange(3), memory=8.0))
            if h.ids("running") and source.random() < 0.5:
                h.finish(h.ids("running")[0])
        return h.log

    assert play() == play()


POLICY_LINE_LIMIT = 560  # non-blank lines in all: the operators run no longer decision module
LINE_LENGTH_LIMIT = 110
PACKAGE = Path(controller.__file__).parent
ROOT = PACKAGE.parent.parent
PURE_MODULES = {
    "__future__",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "heapq",
    "random",
    "typing",
}
OWN_PACKAGES = ("cairnvane.admission", "cairnvane.contract")
IMPURE_BUILTINS = {"open", "print", "input", "exec", "eval", "__import__", "breakpoint"}
# Files that hold no decision logic: constants, and what keeps account and measures.
DECLARATIONS = ("__init__.py", "parameters.py")
BOOKKEEPING = ("estimators.py", "lifecycle.py", "requests.py", "timer.py")
NOT_POLICY = DECLARATIONS + BOOKKEEPING
DECLARING_STATEMENTS = (ast.Import, ast.ImportFrom, ast.Assign, ast.Expr)
CHOICES = (ast.If, ast.IfExp, ast.Match, ast.For, ast.While, ast.Compare, ast.BoolOp, ast.Try, ast.Lambda)
# What ends a request or refuses it something is decided in the policy alone; `lifecycle.py` records it.
ACTION_RECORDERS = {"lifecycle.py", "timer.py"}
BOOKKEEPING_NUMBERS = {0, 1}


def policy_files() -> list[Path]:
    """The files that the deployment declares to hold the decision logic."""
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return [ROOT / name for name in deployment["policy"]]


def package_files() -> list[Path]:
    return sorted(PACKAGE.rglob("*.py"))


def imported_modules(path: Path) -> set[str]:
    """Absolute names of the modules that a file of the package imports from."""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            parents = ["cairnvane", "admission"][: 3 - node.level] if node.level else []
            module = ".".join([*parents, *([node.module] if node.module else [])])
            is_package = module in OWN_PACKAGES
            modules.update([f"{module}.{alias.name}" for alias in node.names] if is_package else [module])
    return modules


def test_the_policy_stays_small() -> None:
    lines = [line for path in policy_files() for line in path.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= POLICY_LINE_LIMIT
    assert max(map(len, lines)) <= LINE_LENGTH_LIMIT


def test_the_policy_names_its_contract() -> None:
    docstring = ast.get_docstring(ast.parse(Path(controller.__file__).read_text()))
    assert "cairnvane.contract" in (docstring or "")


def test_every_file_is_policy_or_known_to_decide_nothing() -> None:
    policy = {path.resolve() for path in policy_files()}
    not_policy = {(PACKAGE / name).resolve() for name in NOT_POLICY}
    assert not policy & not_policy
    assert policy | not_policy == {path.resolve() for path in package_files()}


@pytest.mark.parametrize("path", package_files(), ids=lambda path: path.name)
def test_the_module_is_pure(path: Path) -> None:
    for module in imported_modules(path) - PURE_MODULES:
        assert any(module == package or module.startswith(f"{package}.") for package in OWN_PACKAGES), module
    calls = [node.func for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)]
    assert not {function.id for function in calls if isinstance(function, ast.Name)} & IMPURE_BUILTINS


@pytest.mark.parametrize("name", DECLARATIONS)
def test_files_of_constants_only_declare(name: str) -> None:
    module = ast.parse((PACKAGE / name).read_text())
    assert all(isinstance(statement, DECLARING_STATEMENTS) for statement in module.body)
    assert not [ast.unparse(node) for node in ast.walk(module) if isinstance(node, CHOICES)]


@pytest.mark.parametrize("name", BOOKKEEPING)
def test_bookkeeping_depends_on_no_policy_and_has_no_numbers_of_its_own(name: str) -> None:
    """No file of it can make a decision by chance, by a threshold of its own, or by asking the policy."""
    imported = imported_modules(PACKAGE / name)
    assert not imported & {f"cairnvane.admission.{path.stem}" for path in policy_files()}
    assert "random" not in imported
    assert name in ACTION_RECORDERS or "cairnvane.contract.actions" not in imported
    module = ast.parse((PACKAGE / name).read_text())
    constants = {node.value for node in ast.walk(module) if isinstance(node, ast.Constant)}
    numbers = {value for value in constants if isinstance(value, (int, float))}
    enumerated = {state.value for state in RequestState} if name == "requests.py" else set()
    assert numbers - enumerated <= BOOKKEEPING_NUMBERS


def test_each_action_is_recorded_without_a_choice() -> None:
    """The recorders decide nothing: the action follows from the call, whatever the settings and estimates."""
    module = ast.parse((PACKAGE / "lifecycle.py").read_text())
    recorders = [
        function
        for function in ast.walk(module)
        if isinstance(function, ast.FunctionDef)
        and any(
            ast.unparse(node).startswith("actions.")
            for node in ast.walk(function)
            if isinstance(node, ast.Call)
        )
    ]
    assert len(recorders) >= 8
    choosing = [f.name for f in recorders if any(isinstance(node, CHOICES) for node in ast.walk(f))]
    assert choosing == ["remove"]  # it frees the key of a request that never ran, as the contract defines
