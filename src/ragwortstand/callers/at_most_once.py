"""ragwortstand.callers.at_most_once: runs a keyed request at most once.

The owner of a key claims it in the platform's table just before the first
byte is sent to the backend server. While the table is unavailable to all
daemons, an owner relies on its memory if no other daemon can have owned the
key for the whole window; otherwise the response is that the request may have
run.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from uuid import uuid4

import anyio

from ragwortstand.backend_servers import BackendServer
from ragwortstand.calls import Call
from ragwortstand.exceptions import PlatformError
from ragwortstand.ids import HostId, ServiceName
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.storage.claims import (
    MAX_STORED_BODY_BYTES,
    Claim,
    ClaimTable,
    decode_response,
    encode_response,
)
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
)

_MAX_ENTRIES = 20_000
_MAX_STORED_BYTES = 32 * 1024 * 1024
_NOT_OWNER_RETRY_S = 0.5
_EXPIRE_INTERVAL_S = 5.0
_CLAIM_TIMEOUT_S = 0.5


@dataclass(slots=True, eq=False)
class _Entry:
    """State of one keyed request.

    :param nonce: distinguishes this claim from others; repetitions reuse it.
    :param started_at_s: time of the first attempt on this daemon.
    :param outcome: outcome for repetitions; None while the attempt runs, or
        if it was cancelled.
    :param finished: set when the attempt ends.
    :param may_have_run: whether the backend server may have received it.
    :param is_claimed: whether the table may contain a claim of this daemon.
    """

    nonce: str
    started_at_s: float
    outcome: Outcome | None = None
    finished: anyio.Event = field(default_factory=anyio.Event)
    may_have_run: bool = False
    is_claimed: bool = False


class AtMostOnceRunner:
    """Runs requests on the backend server, those with a key at most once.

    :param host: this daemon's host.
    :param backend_server: the one on this daemon's host.
    :param claims: claims in the platform's table.
    :param key_owners: returns the owner of each key.
    :param window_s: time within which callers repeat a request.
    :param is_store_unavailable: whether all daemons fail to reach the store.
    """

    def __init__(
        self,
        host: HostId,
        backend_server: BackendServer,
        claims: ClaimTable,
        key_owners: KeyOwners,
        window_s: float,
        is_store_unavailable: Callable[[], Awaitable[bool]],
    ) -> None:
        """Create a runner without recorded requests."""
        self._host = host
        self._backend_server = backend_server
        self._claims = claims
        self._key_owners = key_owners
        self._window_s = window_s
        self._is_store_unavailable = is_store_unavailable
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._stored_bytes = 0

    async def run(self, call: Call) -> Outcome:
        """Return the outcome of a request, or of its first attempt.

        :param call: the request.
        """
        if call.key is None or call.is_idempotent:
            return await self._backend_server.run(call)
        service = ServiceName(call.service.name)
        name = f'{service}/{call.key}'
        entry = self._entries.get(name)
        if entry and (entry.may_have_run or not entry.finished.is_set()):
            return await self._outcome_of_first_attempt(call, entry)
        if not self._key_owners.is_owner(service, call.key):
            return Refused(Cause.NOT_OWNER, _NOT_OWNER_RETRY_S)
        if entry is None and len(self._entries) >= _MAX_ENTRIES:
            return Refused(Cause.OVERLOADED, self._window_s / 10)
        nonce = entry.nonce if entry else uuid4().hex
        return await self._run_first(call, name, nonce)

    async def expire(self) -> None:
        """Evict expired entries periodically; runs until cancelled."""
        while True:
            await anyio.sleep(_EXPIRE_INTERVAL_S)
            self.evict_expired(anyio.current_time())

    def evict_expired(self, now_s: float) -> None:
        """Evict entries older than the window and delete their claims.

        :param now_s: present time.
        """
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            is_old = now_s - entry.started_at_s > self._window_s
            if not entry.finished.is_set() or not is_old:
                return
            self._entries.pop(name)
            self._stored_bytes -= _size_bytes(entry.outcome)
            if entry.is_claimed:
                self._claims.queue_deletion(name)

    async def _outcome_of_first_attempt(
        self, call: Call, entry: _Entry
    ) -> Outcome:
        """Wait for the first attempt and return its outcome."""
        with anyio.CancelScope(deadline=call.deadline_s):
            await entry.finished.wait()
        if isinstance(entry.outcome, Answered | Refused):
            return entry.outcome
        return Unknown(Cause.ALREADY_CLAIMED)

    async def _run_first(self, call: Call, name: str, nonce: str) -> Outcome:
        entry = _Entry(nonce, anyio.current_time())
        self._entries[name] = entry

        async def claim() -> Outcome | None:
            return await self._claim(call, name, entry)

        try:
            outcome = await self._backend_server.run(call, claim)
            await self._record_outcome(name, entry, outcome)
        finally:
            entry.may_have_run = entry.may_have_run or call.is_dispatched
            entry.finished.set()
        return outcome

    async def _record_outcome(
        self,
        name: str,
        entry: _Entry,
        outcome: Outcome,
    ) -> None:
        """Record the outcome, then update or delete the claim in the table."""
        entry.outcome = self._limit_stored_outcome(outcome)
        if isinstance(outcome, Answered):
            entry.may_have_run = True
            response = encode_response(outcome)
            claim = Claim(self._host, entry.nonce, response)
            self._claims.queue_write(name, claim)
            entry.is_claimed = True
        elif entry.is_claimed and isinstance(outcome, Refused):
            entry.is_claimed = not await self._claims.release(name)

    def _limit_stored_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome for repetitions, within the memory limits."""
        size_bytes = _size_bytes(outcome)
        is_full = self._stored_bytes + size_bytes > _MAX_STORED_BYTES
        if is_full or size_bytes > MAX_STORED_BODY_BYTES:
            return Unknown(Cause.ALREADY_CLAIMED)
        self._stored_bytes += size_bytes
        return outcome

    async def _claim(
        self,
        call: Call,
        name: str,
        entry: _Entry,
    ) -> Outcome | None:
        """Return None when this daemon may run the request now."""
        assert call.key
        service = ServiceName(call.service.name)
        now_s = anyio.current_time()
        if self._key_owners.may_have_run_unclaimed(service, call.key, now_s):
            return Unknown(Cause.CLAIM_UNAVAILABLE)
        try:
            with anyio.fail_after(_CLAIM_TIMEOUT_S):
                current_claim = await self._insert_or_find_claim(name, entry)
        except (PlatformError, TimeoutError):
            return await self._check_without_store(call)
        if current_claim and current_claim.nonce == entry.nonce:
            entry.is_claimed = True
            return None
        return _outcome_of_claim(current_claim)

    async def _insert_or_find_claim(
        self, name: str, entry: _Entry
    ) -> Claim | None:
        """Claim a key and return the claim that is in the table."""
        claim = Claim(self._host, entry.nonce)
        if await self._claims.claim(name, claim):
            return claim
        return await self._claims.find(name)

    async def _check_without_store(self, call: Call) -> Outcome | None:
        assert call.key
        now_s = anyio.current_time()
        service = ServiceName(call.service.name)
        is_sole_owner = self._key_owners.is_sole_owner(service, call.key, now_s)
        if is_sole_owner and await self._is_store_unavailable():
            return None
        return Unknown(Cause.CLAIM_UNAVAILABLE)


def _size_bytes(outcome: Outcome | None) -> int:
    return len(outcome.body) if isinstance(outcome, Answered) else 0


def _outcome_of_claim(claim: Claim | None) -> Outcome:
    """Return the outcome of the attempt that made the claim."""
    if claim and claim.answer:
        return decode_response(claim.answer)
    return Unknown(Cause.ALREADY_CLAIMED)
