"""The command line and the operator file: errors, exit statuses, and the tools for stored results."""

from __future__ import annotations

import json
import os
import signal
import stat
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from idempotency.test_durable_log import segment
from peers import TOKEN, WAIT_S, Balancer, PoolPeer
from server_process import FILE, NOWHERE, program

from cairnvane.claims.incarnations import INCARNATIONS_FOLDER, Incarnations
from cairnvane.claims.records import Record, encode
from cairnvane.claims.states import Step
from cairnvane.cli import main
from cairnvane.config import ConfigurationError, operator
from cairnvane.idempotency.durable.storage import OsFiles, segment_name

KEYED = "keyed:\n  folder: keyed\n"
EXAMPLE = Path(__file__).parents[2] / "deploy" / "operator.yaml"


def write_operator_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "operator.yaml"
    path.write_text(text)
    return path


def run(*arguments: str | Path) -> Any:
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("keyed: {folder: a, max_disk: 3}", ["keyed", "max_disk"]),
        ("tenants: {}", ["tenants"]),
        ("keyed: {folder: a, max_disk_mb: lots}", ["keyed.max_disk_mb", "'lots'"]),
        ("keyed: {folder: a, max_disk_mb: 1}", ["keyed.max_disk_mb: 1 is not between 2 and"]),
        ("keyed: {folder: a, max_memory_mb: 0}", ["keyed.max_memory_mb: 0 is not between 1 and"]),
        ("keyed: {folder: a, durability: forever}", ["keyed.durability", "'forever'"]),
        ("keyed: {}", ["keyed", "folder"]),
        ("log: {form: xml}", ["log.form", "'xml'"]),
        ("keyed: [", ["line 2"]),
        ("keyed:", ["keyed: the section is empty"]),
        ("members: {listen: '10.0.0.4:1', key: short}", ["members.key: 5 bytes are not between 16 and 64"]),
        ("members: {listen: here, key: sixteen-and-more}", ["members.listen: 'here' is not HOST:PORT"]),
        (
            "members: {listen: '0.0.0.0:1', key: sixteen-and-more}",
            ["members.listen", "is not an address that other members can reach"],
        ),
        ("members: {listen: 'localhost:1', key: sixteen-and-more}", ["'localhost' is not an IPv4 address"]),
        (
            "members: {listen: '10.0.0.4:1', key: sixteen-and-more, contacts: [x]}",
            ["members.contacts[0]: 'x' is not"],
        ),
        ("- 1", ["array"]),
        ("\x00", ["operator.yaml"]),
    ],
)
def test_error_in_the_operator_file_is_reported_in_one_line(
    tmp_path: Path,
    text: str,
    words: list[str],
) -> None:
    with pytest.raises(ConfigurationError) as error:
        operator.load(write_operator_file(tmp_path, text))
    for word in words:
        assert word in str(error.value)
    assert "\n" not in str(error.value)


def test_examples_are_valid_and_an_empty_file_enables_nothing(tmp_path: Path) -> None:
    options = operator.load(EXAMPLE)
    assert options.keyed is not None and options.keyed.folder == str(EXAMPLE.parent / "keyed")
    assert (options.keyed.disk_bytes, options.keyed.memory_bytes) == (64 << 20, 8 << 20)
    members = operator.load(EXAMPLE.with_name("operator-members.yaml")).members
    assert members is not None and (members.listen_address[1], len(members.contact_addresses)) == (7400, 2)
    assert operator.load(write_operator_file(tmp_path, "# nothing yet\n")) == operator.OperatorOptions()


def test_server_without_operator_file_imports_no_optional_feature() -> None:
    optional = [
        "click",
        "hashlib",
        "structlog",
        "yaml",
        "google_crc32c",
        "cairnvane.idempotency.durable",
        "cairnvane.idempotency.durability",
        "cairnvane.testbed",
        "cairnvane.config.operator",
        "cairnvane.membership",
    ]
    code = f"import cairnvane.__main__, sys; print([name for name in {optional} if name in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("words", "status"),
    [
        ([], 2),
        (["serve", "--oops"], 2),
        (["keyed", "verify", "/nowhere"], 2),
        (["keyed", "verify"], 2),
        (["--help"], 0),
        (["serve", "--help"], 0),
        (["--version"], 0),
        (["nothing"], 2),
    ],
)
def test_exit_status_of_valid_and_invalid_usage(words: list[str], status: int) -> None:
    assert run(*words).exit_code == status


def test_result_survives_a_kill_of_the_program(tmp_path: Path) -> None:
    """The commands show the contents of the folder, which only its owner can read."""
    path = write_operator_file(tmp_path, "log: {form: json}\n" + KEYED)
    pool = PoolPeer()
    pool_address = f"{pool.address[0]}:{pool.address[1]}"
    write = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
    folder = tmp_path / "keyed"
    with program(tmp_path, pool_address, NOWHERE, operator=path) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(1, **write)  # type: ignore[arg-type]
        pool.next("bind")
        pool.run(b"original")
        assert balancer.answer()[1].body == b"original"
        rejected = run("keyed", "compact", folder)
        assert (rejected.exit_code, "in use" in rejected.output) == (2, True)
        process.kill()
        process.wait(WAIT_S)
    for name in folder.rglob("*"):
        assert stat.S_IMODE(name.stat().st_mode) == (0o700 if name.is_dir() else 0o600)
    assert "1 finished" in run("keyed", "verify", folder).output
    [row] = [json.loads(line) for line in run("keyed", "show", "--json", folder).output.splitlines()]
    assert (row["token"], row["state"], row["class"]) == (TOKEN, "finished", "write")
    assert run("keyed", "compact", folder).exit_code == 0
    with program(tmp_path, pool_address, NOWHERE, operator=path) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(2, **write)  # type: ignore[arg-type]
        assert balancer.answer()[1].body == b"original"
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


@pytest.mark.parametrize(
    ("damage", "status", "word"),
    [
        (lambda data: data, 0, "good"),
        (lambda data: data[:-7], 0, "torn"),
        (lambda data: data[:200] + b"\xff" + data[201:] + bytes(70_000) + b"x", 1, "a record may be lost"),
        (lambda data: b"", 1, "empty"),
        (lambda data: data[:8] + b"\x63\0" + data[10:], 2, "newer version"),
    ],
)
def test_verify_reports_the_damage(tmp_path: Path, damage: Any, status: int, word: str) -> None:
    _, name, data = segment()
    (tmp_path / name).write_bytes(damage(data))
    before = (tmp_path / name).read_bytes()
    done = run("keyed", "verify", tmp_path)
    assert (done.exit_code, word in done.output) == (status, True), done.output
    assert (tmp_path / name).read_bytes() == before


@pytest.mark.parametrize("other", ["another instance", "another process"])
def test_start_with_the_folder_of_another_instance_fails_with_one_line(tmp_path: Path, other: str) -> None:
    path = write_operator_file(tmp_path, KEYED)
    folder = tmp_path / "keyed"
    folder.mkdir()
    holder = OsFiles(folder)
    if other == "another process":
        holder.lock()
    else:
        (folder / segment_name(1)).write_bytes(segment()[2])  # of instance n1
    config = tmp_path / "config.json"
    config.write_text(json.dumps(FILE | {"name": "n3"}))
    done = subprocess.run(
        [sys.executable, "-m", "cairnvane"],
        capture_output=True,
        text=True,
        timeout=WAIT_S,
        env={**os.environ, "LB_CONFIG": str(config), "CAIRNVANE_OPERATOR": str(path)},
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "keyed.folder:" in done.stderr
    assert ("in use" if other == "another process" else "belongs to") in done.stderr
    holder.unlock()


def test_claims_are_shown_and_verified_with_their_incarnations(tmp_path: Path) -> None:
    """The claims of one live and one dead incarnation are in `$TMPDIR`."""
    folder = tmp_path / "cairnvane-ledger" / "n3.0badb007"
    incarnations = Incarnations(tmp_path / INCARNATIONS_FOLDER / "n3")
    incarnations.enter()
    folder.mkdir(parents=True)
    token = bytes.fromhex("5c" * 16)
    records = [
        Record(Step.INTENT, incarnations.number, token, 5, 9, bytes(16)),
        Record(Step.INTENT, 7, token, 6, 9, bytes(16)),
        Record(Step.RESULT, incarnations.number, token, 8, 9, bytes(16) + b"result"),
    ]
    path = folder / "0000000001.ledger"
    path.write_bytes(b"".join(encode(*record) for record in records))
    verified = run("keyed", "verify", str(folder))
    assert verified.exit_code == 0 and "1 finished" in verified.output
    assert f"{incarnations.number} alive" in verified.output and "came second: 1" in verified.output
    [row] = [json.loads(line) for line in run("keyed", "show", "--json", str(folder)).output.splitlines()]
    assert (row["token"], row["state"], row["life_is"]) == (token.hex(), "finished", "alive")
    assert row["result_bytes"] == "6"
    path.write_bytes(b"spoilt" + path.read_bytes()[40:])
    assert run("keyed", "verify", str(folder)).exit_code == 1
    path.write_bytes(b"CVL2" + bytes(30))
    newer = run("keyed", "verify", str(folder))
    assert newer.exit_code == 2 and "format 2" in newer.output
    incarnations.leave()
