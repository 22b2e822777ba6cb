"""Times of the last contact with peers."""

from egretjunction.decisions import contacts


def _contacts(**times):
    recorded = contacts.LastContacts()
    for key, now in times.items():
        recorded.record(key, now)
    return recorded


def test_silent_peers_are_removed_once():
    recorded = _contacts(early=1, late=5)
    assert recorded.remove_silent(4, 6) == ['early']
    assert recorded.remove_silent(4, 6) == []
    assert len(recorded) == 1


def test_older_contact_does_not_replace_a_later_one():
    recorded = _contacts(peer=5)
    recorded.record('peer', 3)
    assert recorded.last('peer') == 5


def test_watching_a_peer_keeps_its_contact():
    recorded = _contacts(peer=5)
    recorded.watch('peer', 9)
    recorded.watch('other', 9)
    assert (recorded.last('peer'), recorded.last('other')) == (5, 9)


def test_pause_restarts_every_timeout():
    recorded = _contacts(one=1, other=2)
    recorded.restart_timeouts(50)
    assert recorded.ages(51) == {'one': 1, 'other': 1}
