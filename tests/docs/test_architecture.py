"""The architecture page and the glossary name files, functions, threads and locks as the code has them."""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "cairnvane"
ARCHITECTURE = ROOT / "docs" / "architecture.md"
GLOSSARY = ROOT / "docs" / "glossary.md"
PAGES = [
    ROOT / "README.md",
    *sorted((ROOT / "docs").glob("*.md")),
]
# A page that lost its references would pass every other check.
LEAST_REFERENCES = {ARCHITECTURE: 100, GLOSSARY: 40}
LEAST_THREADS = 10
LEAST_LOCKS = 10

_REFERENCE = re.compile(r"`([\w./-]+\.py)(?:: ([A-Za-z_][\w.]*))?`")
_FOLDER = re.compile(r"`([\w-]+(?:/[\w-]+)*/)`")
_THREAD_ROW = re.compile(r"^\| `([\w -]+)` \| `[\w/]+\.py", re.M)
_DOCUMENT_LINK = re.compile(r"docs/[\w-]+\.md")
_LOCK_TYPES = {"Lock", "RLock", "Condition"}


class Reference(NamedTuple):
    """A file, and the name in it that a page speaks of; the name is empty if the page speaks of the file."""

    path: str
    name: str


class Lock(NamedTuple):
    """A lock as an attribute of a class."""

    path: str
    name: str


def _references(page: Path) -> list[Reference]:
    return [Reference(*found) for found in _REFERENCE.findall(page.read_text())]


def _source(path: str) -> Path | None:
    """The file that a page names from the root, the package or the tests."""
    for base in (ROOT, PACKAGE, ROOT / "tests"):
        if (base / path).is_file():
            return base / path
    return None


def _assigned_names(node: ast.stmt) -> list[str]:
    """Names that a statement binds in its module or class."""
    if isinstance(node, ast.FunctionDef | ast.ClassDef):
        return [node.name]
    if isinstance(node, ast.AnnAssign):
        return [node.target.id] if isinstance(node.target, ast.Name) else []
    if not isinstance(node, ast.Assign):
        return []
    return [name.id for target in node.targets for name in ast.walk(target) if isinstance(name, ast.Name)]


def _self_attributes(node: ast.ClassDef) -> set[str]:
    """Attributes that the methods of a class assign to."""
    return {
        part.attr
        for part in ast.walk(node)
        if isinstance(part, ast.Attribute)
        and isinstance(part.ctx, ast.Store)
        and isinstance(part.value, ast.Name)
        and part.value.id == "self"
    }


@cache
def _names(source: Path) -> frozenset[str]:
    """All names of a module: functions, classes, constants, and `Class.attribute`."""
    names: set[str] = set()
    for node in ast.parse(source.read_text()).body:
        names.update(_assigned_names(node))
        if isinstance(node, ast.ClassDef):
            attributes = {name for part in node.body for name in _assigned_names(part)}
            names.update(f"{node.name}.{name}" for name in attributes | _self_attributes(node))
    return frozenset(names)


def _missing(reference: Reference) -> str:
    """Why a reference leads nowhere; empty if it is good."""
    source = _source(reference.path)
    if source is None:
        return f"{reference.path}: no such file"
    if reference.name and reference.name not in _names(source):
        return f"{reference.path}: no {reference.name}"
    return ""


def _package_sources() -> Iterator[Path]:
    """Source files of the server; the testbed's are its own matter."""
    return (path for path in sorted(PACKAGE.rglob("*.py")) if "testbed" not in path.parts)


def _is_call_of(node: ast.AST, names: set[str]) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "threading"
        and node.func.attr in names
    )


def _thread_name(node: ast.Call, place: str) -> ast.expr:
    names = [word.value for word in node.keywords if word.arg == "name"]
    assert names, f"{place}: a thread without a name"
    return names[0]


def _first_arguments(class_name: str, trees: list[ast.Module]) -> set[str]:
    """The constants that a class of named threads is made with."""
    calls = [
        node
        for tree in trees
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == class_name
    ]
    constants = [call.args[0] for call in calls if call.args]
    assert len(constants) == len(calls) > 0
    assert all(isinstance(constant, ast.Constant) for constant in constants)
    return {str(constant.value) for constant in constants if isinstance(constant, ast.Constant)}


def _thread_names() -> set[str]:
    """The names that the server gives to its threads: a constant, or one that the thread's class is given."""
    names: set[str] = set()
    trees = [ast.parse(source.read_text()) for source in _package_sources()]
    for tree in trees:
        for owner in (node for node in tree.body if isinstance(node, ast.ClassDef | ast.FunctionDef)):
            for node in ast.walk(owner):
                if not isinstance(node, ast.Call) or not _is_call_of(node, {"Thread"}):
                    continue
                name = _thread_name(node, f"{owner.name}:{node.lineno}")
                if isinstance(name, ast.Constant):
                    names.add(str(name.value))
                else:
                    names |= _first_arguments(owner.name, trees)
    return names


def _locks() -> list[Lock]:
    """The locks that are attributes of the server's classes."""
    return [
        Lock(str(source.relative_to(PACKAGE)), f"{owner.name}.{target.attr}")
        for source in _package_sources()
        for owner in ast.walk(ast.parse(source.read_text()))
        if isinstance(owner, ast.ClassDef)
        for node in ast.walk(owner)
        if isinstance(node, ast.Assign) and _is_call_of(node.value, _LOCK_TYPES)
        for target in node.targets
        if isinstance(target, ast.Attribute)
    ]


@pytest.mark.parametrize("page", [ARCHITECTURE, GLOSSARY], ids=lambda page: page.name)
def test_each_file_and_name_of_the_page_exists(page: Path) -> None:
    references = _references(page)
    assert len(references) >= LEAST_REFERENCES[page]
    assert [problem for problem in map(_missing, references) if problem] == []


@pytest.mark.parametrize("page", [ARCHITECTURE, GLOSSARY], ids=lambda page: page.name)
def test_each_folder_of_the_page_exists(page: Path) -> None:
    folders = _FOLDER.findall(page.read_text())
    assert [
        folder for folder in folders if not any((base / folder).is_dir() for base in (ROOT, PACKAGE))
    ] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_file_that_a_page_names_exists(page: Path) -> None:
    assert [problem for problem in map(_missing, _references(page)) if problem] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_linked_page_exists(page: Path) -> None:
    links = _DOCUMENT_LINK.findall(page.read_text())
    assert [link for link in links if not (ROOT / link).is_file()] == []


def test_the_page_lists_the_threads_that_the_server_starts() -> None:
    section = ARCHITECTURE.read_text().partition("\n## Threads\n")[2].partition("\n## ")[0]
    listed = set(_THREAD_ROW.findall(section))
    assert len(listed) >= LEAST_THREADS
    assert listed == _thread_names()


def test_the_page_says_what_each_lock_guards() -> None:
    locks = _locks()
    assert len(locks) >= LEAST_LOCKS
    listed = {(reference.path, reference.name) for reference in _references(ARCHITECTURE)}
    assert [lock for lock in locks if lock not in listed] == []


def test_the_page_names_the_files_with_the_decision_logic() -> None:
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    text = ARCHITECTURE.read_text()
    assert policy
    assert [path for path in policy if f"`{path.removeprefix('cairnvane/')}`" not in text] == []
