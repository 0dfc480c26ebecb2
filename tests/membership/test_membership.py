"""Members in virtual time: found dead when they are, never when they are not, and together again after a
cut."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.membership import messages, ping_schedule, swim
from cairnvane.membership.evidence import Outside
from cairnvane.membership.gossip import MOST, Rumours, tells
from cairnvane.membership.local_health import wait_us
from cairnvane.membership.member_table import Claim, Info, Phase, Table
from cairnvane.membership.messages import Ack, Bad, Numbers, Ping, View, seal, unseal
from cairnvane.membership.own_health import BEAT_US, HELD_UP_US, LEAST_GAP_US, Arrivals, Pulse
from cairnvane.membership.partition_detector import HOLD_US, Evidence, Judgement, Verdict, weigh
from cairnvane.membership.swim import Exchange, Send, SwimMember
from cairnvane.testbed.simulation.membership import SECOND, Case, CaseReport, World, cases

KEY = b"of the tests"
# After a change all that are up and connected agree within this.
AGREE_S = 12


def claim(life: int = 1, status: int = 0, incarnation: int = 0, by: int = 0, **more: str) -> Claim:
    return Claim(life, more.get("name", "n1"), more.get("place", "p1"), "h", life, status, incarnation, by)


claims = st.builds(claim, st.integers(1, 3), st.integers(0, 3), st.integers(0, 3))


# --- what counts


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_the_order_in_which_claims_come_and_how_often_makes_no_difference(
    some: list[Claim],
    rng: random.Random,
) -> None:
    one, other = Table(), Table()
    again = some * 2
    rng.shuffle(again)
    for table, told in ((one, some), (other, again)):
        for each in told:
            table.take(each, 0)
    ranks = [{life: known.claim.rank for life, known in table.lives.items()} for table in (one, other)]
    assert ranks[0] == ranks[1]


def test_only_a_higher_incarnation_brings_a_failed_life_back_and_nothing_one_that_left() -> None:
    table = Table()
    for told, status in (
        (claim(), 0),
        (claim(status=2), 2),
        (claim(), 2),
        (claim(incarnation=1), 0),
        (claim(status=1, incarnation=1), 1),
        (claim(incarnation=1), 1),
        (claim(status=3), 3),
        (claim(incarnation=9), 3),
    ):
        table.take(told, 0)
        assert table.lives[1].status == status


def test_keys_of_a_later_version_are_kept_and_what_is_too_much_is_not() -> None:
    table = Table()
    table.take(claim(), 0)
    assert table.inform(Info(1, 0, 2, {"load": 0.5, "of a later version": "x"}))
    assert not table.inform(Info(1, 0, 1, {"load": 0.9}))
    assert not table.inform(Info(1, 0, 3, {"a": "x" * 999}))
    assert table.lives[1].info == Info(1, 0, 2, {"load": 0.5, "of a later version": "x"})


def test_tombstones_go_by_age_and_by_number() -> None:
    table = Table()
    for life in range(1, 9):
        table.take(claim(life, 2), life)
    assert table.forget(10, after=100, most=4) == [1, 2, 3, 4]
    assert table.forget(107, after=100, most=4) == [5, 6] and set(table.lives) == {7, 8}


def test_no_rumour_is_told_for_ever_and_their_number_is_bounded() -> None:
    rumours = Rumours()
    for life in range(MOST + 50):
        rumours.add(claim(life))
    assert len(rumours) == MOST
    picked = 0
    while some := rumours.pick(6, 12):
        picked += len(some)
    assert picked == MOST * tells(12)
    rumours.add(claim(7, 1))
    rumours.add(claim(8, 1))
    assert rumours.pick(2, 12, first=7)[0].life == 7


@pytest.mark.parametrize(
    ("accusers", "members", "suspects", "most"),
    [
        (1, 12, 1, 3_300_000),
        (2, 12, 1, 2_000_000),
        (4, 12, 1, 540_000),
        (4, 12, 3, 1_100_000),
        (1, 2, 1, 1_500_000),
    ],
)
def test_a_lone_accuser_waits_long_and_many_suspects_all_wait(
    accusers: int,
    members: int,
    suspects: int,
    most: int,
) -> None:
    took = wait_us(500_000, accusers, members, suspects)
    assert 0.9 * most <= took <= most


# --- the envelope


def test_a_message_comes_out_as_it_went_in_and_a_changed_one_not_at_all() -> None:
    message = Ping(7, 2, [claim()], [Info(1, 0, 1, {"load": 1.5})])
    data = seal(KEY, 5, 9, message)
    assert unseal(KEY, data) == (5, 9, message)
    for at in range(len(data)):
        with pytest.raises(Bad):
            unseal(KEY, data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
    for wrong, told in ((data[:-1], "stranger"), (data[:20], "torn"), (data + bytes(2_000), "oversized")):
        with pytest.raises(Bad, match=told):
            unseal(KEY, wrong)


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=1_500))
def test_no_bytes_of_a_stranger_or_under_our_key_do_more_than_count(body: bytes) -> None:
    head = seal(KEY, 5, 9, Ping(1, 2))[:20]
    for data in (body, head + body, head + body + messages._hash(KEY, head + body)):
        with contextlib.suppress(Bad):
            unseal(KEY, data)


@settings(derandomize=True)
@given(st.lists(st.integers(0, 200), max_size=300))
def test_a_number_counts_once(numbers: list[int]) -> None:
    seen, taken = Numbers(), list[int]()
    for number in numbers:
        if seen.new(number):
            taken.append(number)
    assert len(taken) == len(set(taken)) and 0 not in taken
    assert not numbers or max(numbers) == 0 or max(numbers) in taken


def test_a_datagram_stays_below_what_any_path_carries() -> None:
    long = Claim(1 << 63, "n" * 40, "255.255.255.255:65535", "255.255.255.255", 65_535, 2, 1 << 30, 1 << 63)
    info = Info(1 << 63, 1 << 30, 1 << 30, {"x": "y" * 200})
    largest = Ack(1 << 40, 1 << 63, [long] * messages.MOST_CLAIMS, [info] * messages.MOST_INFOS)
    assert len(seal(KEY, 1 << 63, 1 << 63, largest)) < messages.MOST_BYTES


# --- the fleet


def fleet(members: int, seed: int = 1, loss: float = 0.0) -> World:
    world = World(seed)
    for number in range(members):
        world.start(number)
    assert world.run(20 * SECOND, world.agree), f"seed {seed}"
    world.loss = loss
    return world


def verdicts(world: World) -> int:
    return sum(told.event == "member.failed" and "accusers" in told.more for _, _, told in world.told)


def agrees(world: World, among: list[int] | None = None, within_s: float = AGREE_S) -> bool:
    return world.run(world.now + int(within_s * SECOND), lambda: world.agree(among))


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_a_kill_is_known_to_all_and_nobody_else_is_called_dead(seed: int, loss: float) -> None:
    world = fleet(12, seed, loss)
    world.run(world.now + 20 * SECOND)
    assert verdicts(world) == 0
    world.kill(5)
    assert agrees(world, within_s=4)


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("seed", range(4))
def test_with_three_in_ten_datagrams_lost_nobody_is_called_dead(members: int, seed: int) -> None:
    world = fleet(members, seed, 0.3)
    world.run(world.now + 20 * SECOND)
    assert verdicts(world) == 0, f"seed {seed}"


def test_more_tries_where_links_lose_and_no_more_than_needed_where_they_do_not() -> None:
    loss = ping_schedule.Loss(3)
    assert loss.tries() == ping_schedule.LEAST_TRIES
    rng, asked = random.Random(1), []
    for lost in (0.0, 0.05, 0.3, 0.5, 0.99, 0.0):
        for _ in range(400):
            tries = next(n for n in range(1, 50) if n == 49 or rng.random() >= lost)
            loss.answered(tries)
        asked.append(loss.tries())
    assert asked[0] == asked[1] == asked[-1] == ping_schedule.LEAST_TRIES  # helpers make up for that
    assert asked[1] < asked[2] < asked[3] < asked[4] == ping_schedule.MOST_TRIES


def test_sixty_with_three_in_ten_lost_call_nobody_dead_and_find_a_kill() -> None:
    """Each suspicion costs two rumours: they must not be so many that no refutation gets through."""
    world = fleet(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert verdicts(world) == 0
    assert sum(told.event == "member.suspected" and "why" in told.more for _, _, told in world.told) < 120
    world.kill(30)
    assert agrees(world)


@pytest.mark.parametrize("seconds", [1, 3, 30])
def test_one_that_stood_still_accuses_nobody_and_is_taken_back(seconds: int) -> None:
    world = fleet(5, seed=seconds)
    world.freeze(2, True)
    world.run(world.now + seconds * SECOND)
    world.freeze(2, False)
    woken = world.now
    world.run(world.now + SECOND)
    assert agrees(world)
    by_it = [told for at, number, told in world.told if number == 2 and at >= woken]
    assert not any("accusers" in told.more for told in by_it)
    assert world.players[2].member.counts.held_up > 0  # type: ignore[attr-defined]


CUTS: dict[str, tuple[int, Callable[[int, int], bool]]] = {
    "one way": (5, lambda source, to: (source, to) == (0, 1)),
    "chain": (3, lambda source, to: {source, to} == {0, 2}),
}


@pytest.mark.parametrize("name", list(CUTS))
def test_whoever_is_reached_by_way_of_others_is_called_dead_by_none(name: str) -> None:
    members, cut = CUTS[name]
    world = fleet(members)
    world.cut = cut
    world.run(world.now + 20 * SECOND)
    assert verdicts(world) == 0 and world.agree()


def islands(*some: set[int]) -> Callable[[int, int], bool]:
    return lambda source, to: not any({source, to} <= island for island in some)


@pytest.mark.parametrize(
    "sides",
    [
        [{0, 1}, {2, 3, 4}],
        [{0}, {1, 2, 3, 4}],
        [{0, 1}, {2, 3}, {4}],
        [{0, 1, 2}, {3, 4, 5}],
    ],
    ids=["2 and 3", "1 and 4", "three islands", "3 and 3"],
)
def test_after_a_cut_all_are_back_though_one_more_died(sides: list[set[int]]) -> None:
    world = fleet(sum(map(len, sides)))
    world.cut = islands(*sides)
    world.run(world.now + 18 * SECOND)
    for side in sides:
        assert world.agree(sorted(side))
    sights = {n: world.players[n].member.sight for n in world.players}  # type: ignore[attr-defined]
    count = len(world.players)
    for side in sides:
        for number in side:
            few = 2 * len(side) < count
            if few:
                assert sights[number].verdict is Verdict.APART_FEW
            assert sights[number].least <= len(side) and sights[number].most == count
    last = max(world.players)
    world.kill(last)
    world.cut = lambda source, to: False
    world.bytes = 0
    healed = world.now
    assert agrees(world)
    assert world.bytes / count / ((world.now - healed) / SECOND) < 8_192  # merged without a storm
    world.start(last)
    assert agrees(world)


def test_a_member_that_moves_from_one_island_to_the_other_is_counted_there() -> None:
    world = fleet(5)
    world.cut = islands({0, 1, 2}, {3, 4})
    world.run(world.now + 8 * SECOND)
    world.cut = islands({0, 1}, {2, 3, 4})
    assert agrees(world, [0, 1]) and agrees(world, [2, 3, 4])


def test_all_restart_within_two_seconds() -> None:
    world = fleet(6)
    for number in range(6):
        world.kill(number)
        world.run(world.now + SECOND // 3)
        world.start(number)
    assert agrees(world)


def test_rumours_of_a_crash_loop_do_not_grow() -> None:
    world = fleet(5)
    for _ in range(30):
        world.kill(4)
        world.run(world.now + SECOND)
        world.start(4)
        world.run(world.now + SECOND)
    for number in range(4):
        member = world.players[number].member  # type: ignore[attr-defined]
        assert sum(life.claim.name == "n4" for life in member.table.lives.values()) <= 10
        assert len(member._rumours) <= 12
    assert agrees(world)


def test_two_versions_are_one_member_and_two_servers_under_one_name_are_told_apart() -> None:
    world = fleet(3)
    world.start(3, name="n1", place="p1")  # the same server, a new version beside the old one
    assert agrees(world)
    assert not any(told.event == "member.same_name" for _, _, told in world.told)
    world.start(4, name="n1", place="elsewhere")
    assert agrees(world)
    told = {number for _, number, told in world.told if told.event == "member.same_name"}
    assert told == {0, 1, 2, 3, 4}


def test_the_epoch_rises_when_one_takes_another_s_place() -> None:
    """As many are there as before, but not the same: what was decided on them no longer holds."""
    world = fleet(3)
    world.run(world.now + 5 * SECOND)
    member = world.players[0].member  # type: ignore[attr-defined]
    before = member.sight
    life = next(one for one in member.there() if one.claim.name == "n2")
    member.table.drop(life.claim.life)
    member.table.take(msgspec.structs.replace(life.claim, life=99, name="n9"), world.now)
    member.table.lives[99].heard = life.heard
    member.tick(world.now)
    assert (member.sight.least, member.sight.most) == (before.least, before.most)
    assert member.sight.epoch == before.epoch + 1


def test_servers_that_were_all_restarted_are_together_and_counted_once() -> None:
    """The lives before are over, not lost: their servers are there."""
    world = fleet(3)
    for number in (1, 2):
        world.kill(number)
        world.start(number)
    assert agrees(world)
    world.run(world.now + 3 * SECOND)
    sights = [player.member.sight for player in world.players.values()]  # type: ignore[attr-defined]
    assert {(one.verdict, one.least, one.most) for one in sights} == {(Verdict.TOGETHER, 3, 3)}


def test_one_that_leaves_is_suspected_by_nobody() -> None:
    world = fleet(5)
    world.run(world.now + 3 * SECOND)
    member = world.players[3].member  # type: ignore[attr-defined]
    assert all(life.phase is Phase.SERVING for life in world.players[0].member.there())  # type: ignore[attr-defined]
    world._do(3, member.leave(world.now))
    world.run(world.now + SECOND // 2)
    world.kill(3)
    assert agrees(world, within_s=3)
    assert not any(told.event in ("member.suspected", "member.failed") for _, _, told in world.told)


def test_at_sixty_a_third_is_lost_at_once() -> None:
    world = fleet(60)
    lost = {f"{world.kill(number):016x}" for number in range(0, 60, 3)}
    assert agrees(world, within_s=20)
    assert {told.more["life"] for _, _, told in world.told if told.event == "member.failed"} == lost


def test_the_hard_cases_of_a_large_fleet_end_in_agreement_and_without_a_false_verdict() -> None:
    report = cases([12], 1)
    assert report.good and len(report.rows) == 3, report.lines()
    assert not CaseReport([Case("third", 12, [], 1, 0, 1.0)]).good
    assert not CaseReport([Case("flap", 12, [1.0], 0, 2, 1.0)]).good


# --- did they die, or are we cut off


@pytest.mark.parametrize(
    ("seen", "verdict"),
    [
        (Evidence(12, 12, 0, 0), Verdict.TOGETHER),
        (Evidence(12, 11, 1, 0), Verdict.TOGETHER),
        (Evidence(12, 12, 0, 6), Verdict.DOUBTFUL),
        (Evidence(12, 6, 6, 0, 4), Verdict.DOUBTFUL),
        (Evidence(5, 2, 3, 0), Verdict.APART_FEW),
        (Evidence(5, 3, 2, 0), Verdict.APART_MANY),
        (Evidence(6, 3, 3, 0), Verdict.APART_MANY),
    ],
)
def test_the_verdict_on_some_evidence(seen: Evidence, verdict: Verdict) -> None:
    assert weigh(seen)[0] is verdict


def test_what_is_silent_outside_of_the_channel_too_makes_us_surer_that_it_is_us() -> None:
    sure = [
        weigh(Evidence(5, 1, 4, 0, roster=told, balancers=told, pool=told))[1] for told in (True, None, False)
    ]
    assert sure == sorted(sure) and sure[0] < sure[2]


def test_a_better_verdict_counts_once_it_has_held() -> None:
    judgement = Judgement(0)
    assert judgement.look(1, Evidence(5, 1, 4, 0), 1, 5, False)
    some = (2, Verdict.APART_FEW), (HOLD_US, Verdict.APART_FEW), (HOLD_US + 2, Verdict.TOGETHER)
    for at, verdict in some:
        judgement.look(at, Evidence(5, 5, 0, 0), 5, 5, False)
        assert judgement.sight.verdict is verdict


# --- a rule that is taken out is missed


def _nobody(*args: object) -> None:
    return None


@pytest.mark.parametrize(("rule", "members"), [("_told_of_us", 5), ("_revisit", 5)])
def test_without_a_refutation_or_a_second_look_a_cut_never_heals(
    rule: str,
    members: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SwimMember, rule, _nobody)
    if rule == "_revisit":
        monkeypatch.setattr(swim, "EXCHANGE_LIVES", 1e-9)  # nor does a whole view bring them back
    world = fleet(members)
    world.cut = islands({0, 1}, {2, 3, 4})
    world.run(world.now + 13 * SECOND)
    world.cut = lambda source, to: False
    assert not agrees(world)


def test_with_two_tries_whatever_is_lost_many_are_suspected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ping_schedule.Loss, "tries", lambda loss: 2)
    world = fleet(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert sum(told.event == "member.suspected" and "why" in told.more for _, _, told in world.told) > 160


def test_without_last_probes_the_living_are_called_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(swim, "wait_us", lambda *args: 1_000)
    monkeypatch.setattr(swim, "checks", lambda doubt, tries: 0)
    monkeypatch.setattr(ping_schedule.Loss, "tries", lambda loss: 2)
    world = fleet(5)
    world.loss = 0.3
    world.run(world.now + 20 * SECOND)
    assert verdicts(world) > 0


def test_a_view_in_pieces_holds_all_lives_once() -> None:
    world = fleet(80)
    member = world.players[0].member  # type: ignore[attr-defined]
    views = member.whole(True)
    assert [view.answer for view in views] == [True, False]
    lives = [told.life for view in views for told in view.claims]
    assert len(lives) == len(set(lives)) == 80


@pytest.mark.parametrize(
    "wrong",
    [
        {"host": "name.to.look.up"},
        {"port": 0},
        {"port": 70_000},
        {"name": "n" * 41},
        {"status": 9},
        {"incarnation": 1 << 40},
    ],
)
def test_a_claim_that_can_not_be_true_makes_nobody_known(wrong: dict[str, Any]) -> None:
    world = fleet(2)
    member = world.players[0].member  # type: ignore[attr-defined]
    known = set(member.table.lives)
    good = Claim(55, "n5", "p5", "10.0.0.1", 5, 0, 0)
    bad = msgspec.structs.replace(good, **wrong)
    member.handle(world.now, 77, 1, ("h", 9), Ping(3, member.own.life, [bad]))
    assert set(member.table.lives) == known and member.counts.insane == 1
    member.handle(world.now, 77, 2, ("h", 9), Ping(3, member.own.life, [good]))
    assert set(member.table.lives) == known | {55}


def test_a_ping_for_an_earlier_life_is_answered_by_who_is_there_now() -> None:
    world = fleet(2)
    member = world.players[0].member  # type: ignore[attr-defined]
    out = member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345))
    (sent,) = [action for action in out if isinstance(action, Send)]
    assert isinstance(sent.message, Ack) and sent.message.of == member.own.life
    assert member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345)) == [] and member.counts.replayed == 1
    assert member.handle(world.now, member.own.life, 2, ("h", 9), View(False)) == []


# --- what is seen beside the channel


def test_balancers_are_missed_by_the_gap_that_they_used_to_keep() -> None:
    arrivals, now = Arrivals(), 0
    assert arrivals.come(now) is None
    for _ in range(60):
        now += 20_000
        arrivals.note(now)
    assert arrivals.come(now + LEAST_GAP_US - 1) and not arrivals.come(now + LEAST_GAP_US)
    assert 45 < arrivals.a_second(now) < 55 and arrivals.a_second(now + 60 * SECOND) < 1
    for _ in range(200):
        now += SECOND // 2
        arrivals.note(now)
    assert arrivals.come(now + 9 * SECOND) and not arrivals.come(now + 11 * SECOND)


def test_a_host_that_gives_no_word_makes_its_member_doubt_itself_and_accuse_nobody() -> None:
    pulse = Pulse()
    assert pulse.ask(0) and not pulse.ask(BEAT_US) and pulse.works(HELD_UP_US - 1)
    assert not pulse.works(HELD_UP_US)
    pulse.beat()
    assert pulse.works(HELD_UP_US) and pulse.ask(BEAT_US)

    world = fleet(5)
    member = world.players[2].member  # type: ignore[attr-defined]
    for works in (False, True):
        member.outside = Outside(host=works)
        world.run(world.now + 3 * SECOND)
        said = [told.event for _, number, told in world.told if number == 2]
        assert ("member.host_works" in said) is works and "member.host_held_up" in said
        assert works or member.health.doubt > 0
    assert verdicts(world) == 0 and not any(told.event == "member.suspected" for _, _, told in world.told)
    assert world.run(world.now + 12 * SECOND, lambda: member.health.doubt == 0)


def test_whoever_was_held_up_once_does_not_take_itself_for_held_up_ever_after() -> None:
    """While it doubts itself all its waits are long: an answer that leaves nothing to do for a while is no
    sign of having stood still."""
    world = fleet(4)
    world.run(world.now + 3 * SECOND)
    world.freeze(1, True)
    world.run(world.now + 2 * SECOND)
    world.freeze(1, False)
    world.run(world.now + 15 * SECOND)
    member = world.players[1].member  # type: ignore[attr-defined]
    assert member.counts.held_up == 1 and member.health.doubt == 0


def test_a_contact_is_found_though_a_new_version_took_another_port() -> None:
    member = SwimMember(claim(1), random.Random(1), 0, contacts=[("h", 50)], spares=2)
    tried = {
        action.to
        for step in range(1, 5)
        for action in member.tick(step * 1_100_000)
        if isinstance(action, Exchange)
    }
    assert tried == {("h", 50), ("h", 51), ("h", 52)}
