"""Limits on the files of the decision module: size, purity, and which files may hold decisions."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

from cairnvane.admission import controller
from cairnvane.admission.requests import RequestState

POLICY_FILE_LINE_LIMIT = 340  # non-blank lines per file; their sum has no limit
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
# Files without decision logic: constants, bookkeeping and estimators.
DECLARATIONS = ("__init__.py", "parameters.py")
BOOKKEEPING = ("estimators.py", "lifecycle.py", "requests.py")
NOT_POLICY = DECLARATIONS + BOOKKEEPING
DECLARING_STATEMENTS = (ast.Import, ast.ImportFrom, ast.Assign, ast.Expr)
CHOICES = (ast.If, ast.IfExp, ast.Match, ast.For, ast.While, ast.Compare, ast.BoolOp, ast.Try, ast.Lambda)
# Only policy files decide on actions; this file records the actions of requests.
ACTION_RECORDER = "lifecycle.py"
BOOKKEEPING_NUMBERS = {0, 1}


def policy_files() -> list[Path]:
    """The files that the deployment lists as decision logic."""
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


@pytest.mark.parametrize("path", policy_files(), ids=lambda path: path.name)
def test_each_policy_file_stays_small(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= POLICY_FILE_LINE_LIMIT
    assert max(map(len, lines)) <= LINE_LENGTH_LIMIT


def test_the_policy_names_its_contract() -> None:
    docstring = ast.get_docstring(ast.parse(Path(controller.__file__).read_text()))
    assert "cairnvane.contract" in (docstring or "")


def test_every_file_is_a_policy_file_or_listed_as_not_policy() -> None:
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
def test_bookkeeping_imports_no_policy_and_has_no_thresholds(name: str) -> None:
    """Bookkeeping makes no decision: not at random, by a threshold of its own, or by calling the policy."""
    imported = imported_modules(PACKAGE / name)
    assert not imported & {f"cairnvane.admission.{path.stem}" for path in policy_files()}
    assert "random" not in imported
    assert name == ACTION_RECORDER or "cairnvane.contract.actions" not in imported
    module = ast.parse((PACKAGE / name).read_text())
    constants = {node.value for node in ast.walk(module) if isinstance(node, ast.Constant)}
    numbers = {value for value in constants if isinstance(value, (int, float))}
    enumerated = {state.value for state in RequestState} if name == "requests.py" else set()
    assert numbers - enumerated <= BOOKKEEPING_NUMBERS


def test_actions_are_recorded_unconditionally() -> None:
    """The recorders decide nothing: the action depends only on the call, not on settings or estimates."""
    module = ast.parse((PACKAGE / ACTION_RECORDER).read_text())
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
    assert choosing == ["remove"]  # the contract requires it to forget the key of a request that never ran
