"""The client of the operators' store, against a stand-in."""

import socket
import time

import kv_store
import pytest

from egretjunction import addresses
from egretjunction import errors
from egretjunction import store
from tests.platform import store_standin


@pytest.fixture
def opened():
    with store_standin.running() as (state, address):
        yield state, kv_store.KvStore(address)


def test_key_that_is_written_is_read(opened):
    _, client = opened
    client.put('egretjunction/a', b'\x00\xff')
    item = client.get('egretjunction/a')
    assert (item.data, item.revision) == (b'\x00\xff', 2)


def test_missing_key_has_revision_0(opened):
    assert opened[1].get('none') == store.Item('none', b'', 0)


def test_listing_joins_its_pages(opened):
    state, client = opened
    state.page = 2
    state.write({f'p/{number}': b'x' for number in range(5)}, [])
    state.write({'q/1': b'x'}, [])
    listing = client.list_prefix('p/')
    assert [item.key for item in listing.items] == [f'p/{n}' for n in range(5)]
    assert listing.revision == state.revision


def test_watch_tells_what_was_written_and_deleted(opened):
    state, client = opened
    state.write({'p/1': b'a', 'p/2': b'b', 'q/1': b'c'}, ['p/1'])
    changes = client.watch('p/', 1, 0.5)
    assert [item.key for item in changes.written] == ['p/1', 'p/2']
    assert changes.deleted == ['p/1']
    assert changes.revision == state.revision


def test_watch_without_changes_ends_after_its_wait(opened):
    began = time.monotonic()
    changes = opened[1].watch('p/', 1, 0.1)
    assert not changes.written
    assert time.monotonic() - began < 1


def test_history_that_is_gone_is_told(opened):
    state, client = opened
    state.oldest = 9
    with pytest.raises(store.HistoryGoneError):
        client.watch('p/', 1, 0.1)


@pytest.mark.parametrize('status', [429, 503])
def test_refused_call_is_an_error(opened, status):
    state, client = opened
    state.status = status
    with pytest.raises(errors.PlatformUnavailableError, match=str(status)):
        client.get('p/1')


def test_delete_under_another_revision_changes_nothing(opened):
    state, client = opened
    state.write({'p/1': b'a'}, [])
    with pytest.raises(errors.ConflictError):
        client.delete('p/1', 1)
    client.delete('p/1', 2)
    assert 'p/1' not in state.item_by_key


def test_write_without_an_answer_may_have_taken_effect(opened):
    state, client = opened
    state.loses_answers = True
    with pytest.raises(errors.NotKnownError):
        client.put('p/1', b'a')
    assert 'p/1' in state.item_by_key


def test_silent_store_ends_the_call_in_time(monkeypatch):
    """Seen on sylfaen-edge scale-2: a time-out ended the task that had called."""
    monkeypatch.setattr(kv_store, 'CALL_SECONDS', 0.1)
    with socket.create_server(('127.0.0.1', 0)) as silent:
        client = kv_store.KvStore(addresses.Address(*silent.getsockname()))
        began = time.monotonic()
        with pytest.raises(errors.PlatformUnavailableError):
            client.watch('p/', 1, 0.1)
        assert time.monotonic() - began < 2


def test_store_that_is_down_is_an_error():
    with socket.create_server(('127.0.0.1', 0)) as gone:
        address = addresses.Address(*gone.getsockname())
    with pytest.raises(errors.PlatformUnavailableError):
        kv_store.KvStore(address).get('p/1')


def test_value_that_is_not_base64_is_an_error(opened):
    state, client = opened
    state.write({'p/1': b'a'}, [])
    state.item_by_key['p/1']['value'] = '%%%'
    with pytest.raises(errors.PlatformUnavailableError, match='bad value'):
        client.get('p/1')
