"""Builders of forwarded requests for tests."""

from ragwortstand import clock
from ragwortstand.calls import Call
from ragwortstand.ids import RequestId, Version
from ragwortstand.models import Rank, Service
from ragwortstand.peers.messages import Work


def new_work(
    name: str,
    *,
    remaining_s: float = 5.0,
    is_idempotent: bool = False,
    is_resent: bool = False,
    boot: int = 0,
    target: str = '/',
) -> Work:
    """Return the message that forwards a request to another daemon."""
    return Work(
        request_id=RequestId(name),
        method='POST',
        target=target,
        headers=(),
        body=b'',
        service='s',
        rank='r',
        is_idempotent=is_idempotent,
        remaining_s=remaining_s,
        version=Version(1),
        attempt=1,
        boot=boot,
        is_resent=is_resent,
    )


def new_call(
    name: str,
    budget_s: float,
    *,
    is_idempotent: bool = False,
    max_attempts: int | None = None,
) -> Call:
    """Return a request as the forwarding daemon represents it."""
    now_s = clock.now_s()
    return Call(
        request_id=RequestId(name),
        method='POST',
        target='/',
        headers=(),
        body=b'body',
        service=Service(name='s'),
        rank=Rank(name='r'),
        is_idempotent=is_idempotent,
        deadline_s=now_s + budget_s,
        version=Version(1),
        began_at_s=now_s,
        max_attempts=max_attempts,
    )
