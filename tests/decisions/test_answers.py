"""Answers take a path that is known to live, or two when none is."""

from egretjunction.decisions import answers
from tests import builders

ENTRIES = [builders.address(number) for number in range(4)]


def test_the_last_entry_is_used_while_it_is_fresh():
    paths = answers.ReturnPaths()
    assert paths.choose(ENTRIES[0], 10, ENTRIES, 10.1) == [ENTRIES[0]]


def test_after_a_silence_two_different_entries_are_used():
    paths = answers.ReturnPaths()
    for _ in range(10):
        chosen = paths.choose(ENTRIES[0], 0, ENTRIES, 10)
        assert len(set(chosen)) == 2


def test_datagrams_leave_a_dead_entry_within_a_second():
    paths = answers.ReturnPaths()
    paths.mark_seen(ENTRIES[0], 0)
    live = ENTRIES[1:]
    at_most = answers.FRESH_SECONDS
    for step in range(20):
        now = at_most + step / 10
        assert set(paths.choose(ENTRIES[0], 0, live, now)) & set(live)


def test_entries_that_answered_last_come_first():
    paths = answers.ReturnPaths()
    used = set()
    for _ in range(12):
        used.update(paths.choose(None, 0, ENTRIES, 10))
    assert used == set(ENTRIES[: answers.PATHS_WHEN_UNSURE + 1])


def test_without_any_entry_the_last_one_is_better_than_none():
    paths = answers.ReturnPaths()
    assert paths.choose(ENTRIES[0], 0, [], 10) == [ENTRIES[0]]
    assert paths.choose(None, 0, [], 10) == []


def test_memory_of_entries_is_bounded():
    paths = answers.ReturnPaths()
    for number in range(answers.MAX_REMEMBERED + 50):
        paths.mark_seen(builders.address(number), number)
    assert len(paths._last_seen_by_entry) <= answers.MAX_REMEMBERED
