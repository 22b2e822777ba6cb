"""Client of the operators' store, against a simulated store."""

import socket
import time

import kv_store
import pytest

from egretjunction import addresses
from egretjunction import errors
from egretjunction import store
from tests.platform import store_standin

MAX_DATA_BYTES = 1000


@pytest.fixture
def store_and_client():
    with store_standin.running() as (state, address):
        yield state, kv_store.KvStore(address)


def test_written_key_can_be_read(store_and_client):
    _, client = store_and_client
    client.put('egretjunction/a', b'\x00\xff')
    item = client.get('egretjunction/a')
    assert (item.data, item.revision) == (b'\x00\xff', 2)


def test_missing_key_has_revision_0(store_and_client):
    assert store_and_client[1].get('none') == store.Item('none', b'', 0, era=1)


def test_listing_combines_all_pages(store_and_client):
    state, client = store_and_client
    state.page = 2
    state.write({f'p/{number}': b'x' for number in range(5)}, [])
    state.write({'q/1': b'x'}, [])
    listing = client.list_prefix('p/')
    assert [item.key for item in listing.items] == [f'p/{n}' for n in range(5)]
    assert listing.revision == state.revision


def test_watch_returns_written_items_and_deleted_keys(store_and_client):
    state, client = store_and_client
    state.write({'p/1': b'a', 'p/2': b'b', 'q/1': b'c'}, ['p/1'])
    changes = client.watch('p/', 1, 0.5, MAX_DATA_BYTES)
    assert [item.key for item in changes.written] == ['p/2']
    assert changes.deleted == ['p/1']
    assert changes.revision == state.revision


def test_watch_returns_a_key_deleted_and_written_again_as_written(store_and_client):
    """Guards against a key taken for deleted that was written after its deletion."""
    state, client = store_and_client
    state.write({'p/1': b'a'}, ['p/1'])
    state.write({'p/1': b'b'}, [])
    changes = client.watch('p/', 1, 0.5, MAX_DATA_BYTES)
    assert [(item.key, item.data) for item in changes.written] == [('p/1', b'b')]
    assert not changes.deleted


def test_watch_without_changes_returns_after_its_wait(store_and_client):
    started_at = time.monotonic()
    changes = store_and_client[1].watch('p/', 1, 0.1, MAX_DATA_BYTES)
    assert not changes.written
    assert time.monotonic() - started_at < 1


def test_watch_after_compacted_revision_raises_history_gone(store_and_client):
    state, client = store_and_client
    state.oldest_revision = 9
    with pytest.raises(store.HistoryGoneError):
        client.watch('p/', 1, 0.1, MAX_DATA_BYTES)


@pytest.mark.parametrize('status', [429, 503])
def test_error_status_raises_unavailable(store_and_client, status):
    state, client = store_and_client
    state.status = status
    with pytest.raises(errors.PlatformUnavailableError, match=str(status)):
        client.get('p/1')


def test_delete_with_another_revision_raises_conflict(store_and_client):
    state, client = store_and_client
    state.write({'p/1': b'a'}, [])
    with pytest.raises(errors.ConflictError):
        client.delete('p/1', 1)
    client.delete('p/1', 2)
    assert 'p/1' not in state.item_by_key


def test_write_without_a_response_raises_not_known(store_and_client):
    state, client = store_and_client
    state.loses_responses = True
    with pytest.raises(errors.NotKnownError):
        client.put('p/1', b'a')
    assert 'p/1' in state.item_by_key


def test_call_to_a_silent_store_times_out(monkeypatch):
    """Guards against a timeout that ends the calling task (sylfaen-edge scale-2)."""
    monkeypatch.setattr(kv_store, 'CALL_TIMEOUT_SECONDS', 0.1)
    with socket.create_server(('127.0.0.1', 0)) as silent_listener:
        client = kv_store.KvStore(addresses.Address(*silent_listener.getsockname()))
        started_at = time.monotonic()
        with pytest.raises(errors.PlatformUnavailableError):
            client.watch('p/', 1, 0.1, MAX_DATA_BYTES)
        assert time.monotonic() - started_at < 2


def test_unreachable_store_raises_unavailable():
    with socket.create_server(('127.0.0.1', 0)) as closed_listener:
        address = addresses.Address(*closed_listener.getsockname())
    with pytest.raises(errors.PlatformUnavailableError):
        kv_store.KvStore(address).get('p/1')


def test_every_answer_states_the_era_of_the_store(store_and_client):
    state, client = store_and_client
    copy = state.copy()
    client.put('p/1', b'a')
    state.restore(copy)
    client.put('p/2', b'b')
    assert client.get('p/2').era == 2
    assert client.get('p/1') == store.Item('p/1', b'', 0, era=2)
    listing = client.list_prefix('p/')
    assert (listing.era, [item.era for item in listing.items]) == (2, [2])
    assert client.watch('p/', 1, 0.1, MAX_DATA_BYTES).era == 2


def test_listing_with_pages_of_two_eras_raises_unavailable(store_and_client):
    """Guards against a listing that lacks processes and a watch that misses them."""
    state, client = store_and_client
    state.page = 2
    state.write({f'p/{number}': b'x' for number in range(5)}, [])
    state.before_response = lambda path: (
        state.restore(state.copy()) if 'after=' in path and state.era == 1 else None
    )
    with pytest.raises(errors.PlatformUnavailableError, match='restored'):
        client.list_prefix('p/')
    assert len(client.list_prefix('p/').items) == 5


def test_era_that_is_not_a_number_raises_unavailable(store_and_client):
    state, client = store_and_client
    state.era = 'x'
    with pytest.raises(errors.PlatformUnavailableError, match='store-era'):
        client.list_prefix('p/')


def test_value_that_is_not_base64_is_read_as_empty(store_and_client):
    """Guards against one odd value that makes all other keys unreadable."""
    state, client = store_and_client
    state.write({'p/1': b'a', 'p/2': b'b'}, [])
    state.item_by_key['p/1']['value'] = '%%%'
    assert client.get('p/1') == store.Item('p/1', b'', 2, era=1)
    listing = client.list_prefix('p/')
    assert [item.data for item in listing.items] == [b'', b'b']
    changes = client.watch('p/', 1, 0.1, MAX_DATA_BYTES)
    assert [item.data for item in changes.written] == [b'', b'b']
