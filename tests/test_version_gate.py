"""Property-based tests: configuration versions never go back."""

import unittest
from collections.abc import Callable
from typing import cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ragwortstand.ids import NO_VERSION, Digest, Version
from ragwortstand.models import Configuration, Rank, Route, Service, digest_of
from ragwortstand.versions import OfferResult, Snapshot, VersionGate

_VERSIONS = st.integers(min_value=-1, max_value=12)


def _content(number: int) -> bytes:
    """Return the content of a version."""
    service = Service(name=f's{number % 3}')
    mesh = Configuration(
        ranks=(Rank(name='urgent'),),
        services=(service,),
        routes=(
            Route(path=f'/v{number}', service=service.name, rank='urgent'),
        ),
    )
    return mesh.to_json().encode()


class _GateMachine(RuleBasedStateMachine):
    """Offers valid, truncated, mismatched and old versions in any order."""

    new_gate: Callable[[], VersionGate] = VersionGate

    def __init__(self) -> None:
        """Create a gate without a configuration."""
        super().__init__()
        self.gate = type(self).new_gate()
        self.highest = NO_VERSION
        self.seen: list[Snapshot] = []
        self.gate.subscribe(self.seen.append)

    @rule(number=_VERSIONS)
    def offer_whole(self, number: int) -> None:
        """Only a newer version is applied."""
        content = _content(number)
        version = Version(number)
        offer = self.gate.offer(version, digest_of(content), content)
        is_newer = version > self.highest
        assert (offer is OfferResult.APPLIED) is is_newer, offer
        self.highest = max(self.highest, version)

    @rule(number=_VERSIONS, length=st.integers(min_value=0, max_value=40))
    def offer_cut_short(self, number: int, length: int) -> None:
        """Truncated content is not applied."""
        content = _content(number)
        offer = self.gate.offer(
            Version(number), digest_of(content), content[:length]
        )
        assert offer is not OfferResult.APPLIED

    @rule(number=_VERSIONS, other=_VERSIONS)
    def offer_other_content(self, number: int, other: int) -> None:
        """Content that does not match its digest is not applied."""
        if number != other:
            digest = digest_of(_content(number))
            offer = self.gate.offer(Version(number), digest, _content(other))
            assert offer is not OfferResult.APPLIED

    @rule(number=_VERSIONS)
    def offer_unusable(self, number: int) -> None:
        """Content that is not a valid configuration is not applied."""
        content = b'{"routes": [{}]}'
        digest = cast(Digest, digest_of(content))
        offer = self.gate.offer(Version(number), digest, content)
        assert offer is not OfferResult.APPLIED

    @invariant()
    def highest_version_is_in_force(self) -> None:
        """The version in force is the highest valid one that was offered."""
        assert self.gate.version == self.highest
        snapshot = self.gate.snapshot
        if snapshot:
            assert snapshot.content == _content(snapshot.version)
            assert snapshot.match('GET', f'/v{snapshot.version}')

    @invariant()
    def listeners_see_increasing_versions(self) -> None:
        """Listeners receive each version once and in ascending order."""
        versions = [snapshot.version for snapshot in self.seen]
        assert versions == sorted(set(versions))


class _DowngradingGate(VersionGate):
    """A faulty gate that applies older versions."""

    def offer(
        self, version: Version, digest: Digest, content: bytes
    ) -> OfferResult:
        if version != self.version and version > NO_VERSION:
            self.snapshot = None
        return super().offer(version, digest, content)


class _UncheckedDigestGate(VersionGate):
    """A faulty gate that does not compare the digest."""

    def offer(
        self, version: Version, digest: Digest, content: bytes
    ) -> OfferResult:
        return super().offer(version, digest_of(content), content)


_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
)


class VersionGateTests(unittest.TestCase):
    """The version gate, and faulty gates that the test must detect."""

    def _run_machine(self, gate: Callable[[], VersionGate]) -> None:
        machine = type(
            'Machine', (_GateMachine,), {'new_gate': staticmethod(gate)}
        )
        run_state_machine_as_test(machine, settings=_SETTINGS)

    def test_versions_only_go_forward(self) -> None:
        """No sequence of offers applies an older or damaged version."""
        self._run_machine(VersionGate)

    def test_faulty_gates_are_detected(self) -> None:
        """The check fails for gates that go back or ignore the digest."""
        for gate in (_DowngradingGate, _UncheckedDigestGate):
            with (
                self.subTest(gate=gate.__name__),
                self.assertRaises(AssertionError),
            ):
                self._run_machine(gate)
