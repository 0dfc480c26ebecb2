"""Which commands the pool has certainly read."""

from __future__ import annotations

from peers import WAIT_S
from server_helpers import in_thread

from cairnvane.net.sent_commands import (
    MAX_REMEMBERED_LINKS,
    MAX_REMEMBERED_QUESTIONS,
    NOT_SENT,
    SENT_BY_EARLIER_INCARNATION,
    ReadCommands,
    SentCommand,
)


def answered(*questions: SentCommand) -> ReadCommands:
    read_commands = ReadCommands()
    for question in questions:
        read_commands.question_sent(str(question), question)
        read_commands.reply_received(str(question))
    return read_commands


def test_reply_covers_the_commands_before_its_question_on_the_same_link() -> None:
    read_commands = answered(SentCommand(1, 5), SentCommand(2, 9))
    assert read_commands.includes(SentCommand(1, 4))
    assert not read_commands.includes(SentCommand(1, 6))
    assert read_commands.includes(SentCommand(2, 8))
    assert not read_commands.includes(SentCommand(3, 8))


def test_late_reply_to_an_earlier_question_takes_nothing_back() -> None:
    assert answered(SentCommand(1, 5), SentCommand(1, 3)).includes(SentCommand(1, 5))


def test_commands_that_this_process_did_not_send_were_not_read() -> None:
    read_commands = answered(SentCommand(1, 5))
    assert not read_commands.includes(NOT_SENT)
    assert not read_commands.includes(SENT_BY_EARLIER_INCARNATION)


def test_reply_to_a_forgotten_question_shows_nothing() -> None:
    read_commands = ReadCommands()
    read_commands.question_sent("a", SentCommand(1, 5))
    read_commands.forget_questions(before_link=2)
    read_commands.reply_received("a")
    assert not read_commands.includes(SentCommand(1, 4))


def test_commands_of_links_long_past_count_as_not_read() -> None:
    """The safe side: a command that was read is then treated as one that may have been."""
    links = range(1, MAX_REMEMBERED_LINKS + 2)
    read_commands = answered(*(SentCommand(link, link) for link in links))
    assert not read_commands.includes(SentCommand(1, 1))
    assert read_commands.includes(SentCommand(2, 2))


def test_questions_that_the_pool_never_answers_are_forgotten() -> None:
    """Guards against memory that grows while the pool answers no question on a link that stays open."""
    read_commands = ReadCommands()
    for number in range(1, MAX_REMEMBERED_QUESTIONS + 2):
        read_commands.question_sent(str(number), SentCommand(1, number))
    assert len(read_commands._questions) == MAX_REMEMBERED_QUESTIONS
    read_commands.reply_received("1")
    assert not read_commands.includes(SentCommand(1, 1))
    read_commands.reply_received("2")
    assert read_commands.includes(SentCommand(1, 2))


def test_wait_ends_with_the_link() -> None:
    read_commands = ReadCommands()
    read_commands.question_sent("a", SentCommand(1, 5))
    waiting = in_thread(lambda: read_commands.wait_for_reply("a", WAIT_S))
    read_commands.forget_questions(before_link=2)
    waiting.join(WAIT_S)
    assert not waiting.is_alive()


def test_wait_that_timed_out_is_not_repeated() -> None:
    """Guards against a delay of each new attempt to connect, while the pool's old address is silent."""
    read_commands = ReadCommands()
    read_commands.question_sent("a", SentCommand(1, 5))
    read_commands.wait_for_reply("a", 0.001)
    waiting = in_thread(lambda: read_commands.wait_for_reply("a", 2 * WAIT_S))
    waiting.join(WAIT_S)
    assert not waiting.is_alive()
