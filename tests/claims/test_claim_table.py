"""The claim table: the order of the records determines which claim of a key is valid."""

from __future__ import annotations

from claim_helpers import (
    FINGERPRINT,
    FIRST_LOCATION,
    KEY,
    MAX_READ_DELAY_US,
    OTHER_KEY,
    claim_record,
    end_record,
)
from hypothesis import given
from hypothesis import strategies as st

from cairnvane.claims.claim_table import ClaimTable, RecordLocation
from cairnvane.claims.records import NO_KEY, SEAL, Record
from cairnvane.claims.states import KeyState, Step


def table_of(*records: Record) -> ClaimTable:
    table = ClaimTable(MAX_READ_DELAY_US)
    for record in records:
        table.apply(record, FIRST_LOCATION)
    return table


def test_the_first_claim_is_valid_and_only_its_incarnation_can_end_it() -> None:
    table = table_of(
        claim_record(2, 11),
        claim_record(1, 10),
        end_record(1, 12, Step.RESULT),
        end_record(1, 12, Step.NEVER),
    )
    assert table.is_holder(KEY, 2, 11) and not table.is_holder(KEY, 1, 10)
    assert (table.entries[KEY].state, table.rejected_claims, table.illegal_steps) == (KeyState.INTENDED, 1, 2)
    table.apply(end_record(2, 13, Step.RESULT), FIRST_LOCATION)
    assert table.entries[KEY].state is KeyState.FINISHED


def test_an_end_is_final() -> None:
    table = table_of(
        claim_record(2, 11),
        end_record(2, 13, Step.RESULT),
        end_record(2, 14, Step.FAULT),
    )
    assert table.entries[KEY].state is KeyState.FINISHED
    assert table.illegal_steps == 1


def test_a_key_can_be_claimed_again_once_it_was_given_up_or_has_expired() -> None:
    table = table_of(claim_record(1, 10), end_record(1, 11, Step.NEVER))
    assert table.find(KEY, 20) is None
    table.apply(claim_record(2, 12), FIRST_LOCATION)
    assert table.is_holder(KEY, 2, 12)
    table.apply(claim_record(3, 999), FIRST_LOCATION)
    assert table.is_holder(KEY, 2, 12)
    table.apply(
        claim_record(3, 1_000, expires_at=3_000), FIRST_LOCATION
    )  # made after expiry, no matter when it is read
    assert table.is_holder(KEY, 3, 1_000)
    assert table.find(KEY, 2_999) is not None and table.find(KEY, 3_000) is None
    assert table.expire(3_000 + MAX_READ_DELAY_US - 1) == 0
    assert table.expire(3_000 + MAX_READ_DELAY_US) == 1


def test_records_behind_a_seal_are_ignored() -> None:
    table = table_of(Record(SEAL, 1, NO_KEY, 5, 5, b""), claim_record(1, 6))
    assert not table.entries
    table.apply(claim_record(2, 7), RecordLocation(2, 0, 0))
    assert table.is_holder(KEY, 2, 7)
    assert table.deletable_segments([1, 2], 9_000_000) == [1]  # the other one is not sealed


@given(st.lists(st.tuples(st.integers(1, 3), st.sampled_from([*Step][:5]), st.integers(0, 1))))
def test_no_sequence_of_records_lets_two_incarnations_hold_a_key(steps: list[tuple[int, Step, int]]) -> None:
    """Guards against two valid claims of a key without the first one having been given up in between."""
    table = ClaimTable(MAX_READ_DELAY_US)
    holders: dict[bytes, int] = {}
    for made_at, (incarnation, step, key_index) in enumerate(steps):
        if step is Step.CALL:
            continue
        key = (KEY, OTHER_KEY)[key_index]
        previous_entry = table.entries.get(key)
        is_given_up = (
            step is Step.NEVER
            and previous_entry is not None
            and previous_entry.incarnation == incarnation
            and previous_entry.state in (KeyState.INTENDED, KeyState.VOID)
        )
        table.apply(Record(step, incarnation, key, made_at, 1_000_000, FINGERPRINT), FIRST_LOCATION)
        entry = table.entries.get(key)
        if entry is not None and entry.state is not KeyState.VOID:
            assert holders.setdefault(key, entry.incarnation) == entry.incarnation
        if is_given_up:
            holders.pop(key, None)
