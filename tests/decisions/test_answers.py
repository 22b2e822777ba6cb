"""Datagrams to callers take the flow's last entry, or two entries when it is stale."""

from egretjunction.decisions import answers
from tests import builders

ENTRIES = [builders.address(number) for number in range(4)]


def test_the_last_entry_is_used_while_its_packet_is_recent():
    paths = answers.ReturnPaths()
    assert paths.choose(ENTRIES[0], 10, ENTRIES, 10.1) == [ENTRIES[0]]


def test_two_different_entries_are_used_when_the_last_packet_is_old():
    paths = answers.ReturnPaths()
    for _ in range(10):
        chosen = paths.choose(ENTRIES[0], 0, ENTRIES, 10)
        assert len(set(chosen)) == 2


def test_datagrams_use_a_live_entry_within_a_second_of_an_entry_failure():
    paths = answers.ReturnPaths()
    paths.mark_seen(ENTRIES[0], 0)
    live = ENTRIES[1:]
    stale_at = answers.RECENT_PACKET_SECONDS
    for step in range(20):
        now = stale_at + step / 10
        assert set(paths.choose(ENTRIES[0], 0, live, now)) & set(live)


def test_only_the_first_of_the_known_entries_are_used():
    paths = answers.ReturnPaths()
    used = set()
    for _ in range(12):
        used.update(paths.choose(None, 0, ENTRIES, 10))
    assert used == set(ENTRIES[: answers.FALLBACK_PATH_COUNT + 1])


def test_the_last_entry_is_used_when_no_other_is_known():
    paths = answers.ReturnPaths()
    assert paths.choose(ENTRIES[0], 0, [], 10) == [ENTRIES[0]]
    assert paths.choose(None, 0, [], 10) == []


def test_the_number_of_remembered_entries_is_bounded():
    paths = answers.ReturnPaths()
    for number in range(answers.MAX_REMEMBERED_ENTRIES + 50):
        paths.mark_seen(builders.address(number), number)
    assert len(paths._last_seen_by_entry) <= answers.MAX_REMEMBERED_ENTRIES
