"""The format of the claim log's records."""

from __future__ import annotations

import pytest
from claim_helpers import FINGERPRINT, KEY, claim_record
from hypothesis import given
from hypothesis import strategies as st

from cairnvane.claims import ClaimError, records
from cairnvane.claims.records import encode, scan
from cairnvane.claims.states import Step


@given(
    st.lists(
        st.tuples(st.sampled_from([b"", b"r" * 700, encode(*claim_record(9, 9))]), st.binary(max_size=40))
    ),
    st.integers(0, 2_000),
)
def test_torn_data_between_records_loses_no_record(parts: list[tuple[bytes, bytes]], cut: int) -> None:
    """Guards against losing another incarnation's records behind a write that was cut short."""
    data = b""
    written = []
    for number, (rest, torn) in enumerate(parts):
        whole = encode(Step.RESULT, 1, KEY, number, 9, FINGERPRINT + rest)
        data += torn[: len(torn) // 2] + whole[: cut % len(whole)] + whole
        written.append(number)
    read = [record.made_at for _, _, record in scan(data).records if record.incarnation == 1]
    assert read == written


@pytest.mark.parametrize(
    "tail",
    [b"", b"\0" * 300, encode(*claim_record(1, 5))[:-1], b"CVL1", b"x" * 99],
    ids=["empty", "zeros", "record cut short", "magic number", "text"],
)
def test_an_unreadable_tail_stays_to_be_read_again(tail: bytes) -> None:
    whole = encode(*claim_record(1, 2))
    record_first = scan(whole + tail)
    assert (record_first.used, record_first.passed_over, len(record_first.records)) == (len(whole), 0, 1)
    tail_first = scan(tail + whole)
    assert (len(tail_first.records), tail_first.passed_over) == (1, len(tail))


@pytest.mark.parametrize(
    "data",
    [b"", encode(*claim_record(1, 1)), b"something else"],
    ids=["empty", "this version", "no record"],
)
def test_a_segment_without_a_later_version_is_accepted(data: bytes) -> None:
    records.check_version(data)


def test_a_segment_of_a_later_version_is_rejected() -> None:
    with pytest.raises(records.NewerVersionError, match="format 2") as raised:
        records.check_version(b"CVL2" + bytes(20))
    assert isinstance(raised.value, OSError) and isinstance(raised.value, ClaimError)


def test_a_record_that_is_too_long_is_rejected_with_its_key_and_size() -> None:
    size = records.MAX_REST_BYTES
    assert len(scan(encode(Step.RESULT, 1, KEY, 1, 2, bytes(size))).records) == 1
    with pytest.raises(ValueError, match=f"{KEY.hex()}: {size + 1} bytes") as raised:
        encode(Step.RESULT, 1, KEY, 1, 2, bytes(size + 1))
    assert isinstance(raised.value, ClaimError)
