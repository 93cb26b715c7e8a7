"""The forward-only gate of configuration versions, by drawn histories."""

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
    """Return the content that was accepted as a version."""
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
    """Offers in any order, whole, cut short, forged and of old versions."""

    new_gate: Callable[[], VersionGate] = VersionGate

    def __init__(self) -> None:
        """Start without a configuration."""
        super().__init__()
        self.gate = type(self).new_gate()
        self.highest = NO_VERSION
        self.seen: list[Snapshot] = []
        self.gate.subscribe(self.seen.append)

    @rule(number=_VERSIONS)
    def offer_whole(self, number: int) -> None:
        """Only a newer version comes into force."""
        content = _content(number)
        version = Version(number)
        offer = self.gate.offer(version, digest_of(content), content)
        is_newer = version > self.highest
        assert (offer is OfferResult.APPLIED) is is_newer, offer
        self.highest = max(self.highest, version)

    @rule(number=_VERSIONS, length=st.integers(min_value=0, max_value=40))
    def offer_cut_short(self, number: int, length: int) -> None:
        """A part of a version changes nothing."""
        content = _content(number)
        offer = self.gate.offer(
            Version(number), digest_of(content), content[:length]
        )
        assert offer is not OfferResult.APPLIED

    @rule(number=_VERSIONS, other=_VERSIONS)
    def offer_other_content(self, number: int, other: int) -> None:
        """Content that another digest was accepted for changes nothing."""
        if number != other:
            digest = digest_of(_content(number))
            offer = self.gate.offer(Version(number), digest, _content(other))
            assert offer is not OfferResult.APPLIED

    @rule(number=_VERSIONS)
    def offer_unusable(self, number: int) -> None:
        """Content that is no configuration changes nothing."""
        content = b'{"routes": [{}]}'
        digest = cast(Digest, digest_of(content))
        offer = self.gate.offer(Version(number), digest, content)
        assert offer is not OfferResult.APPLIED

    @invariant()
    def highest_version_is_in_force(self) -> None:
        """The version in force is the highest whole one that was offered."""
        assert self.gate.version == self.highest
        snapshot = self.gate.snapshot
        if snapshot:
            assert snapshot.content == _content(snapshot.version)
            assert snapshot.match('GET', f'/v{snapshot.version}')

    @invariant()
    def listeners_see_increasing_versions(self) -> None:
        """Listeners see versions grow."""
        versions = [snapshot.version for snapshot in self.seen]
        assert versions == sorted(set(versions))


class _DowngradingGate(VersionGate):
    """Lets any whole version in, as a faulty gate would."""

    def offer(
        self, version: Version, digest: Digest, content: bytes
    ) -> OfferResult:
        if version != self.version and version > NO_VERSION:
            self.snapshot = None
        return super().offer(version, digest, content)


class _UncheckedDigestGate(VersionGate):
    """Does not compare the digest."""

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
    """The gate and the check of it."""

    def _run_machine(self, gate: Callable[[], VersionGate]) -> None:
        machine = type(
            'Machine', (_GateMachine,), {'new_gate': staticmethod(gate)}
        )
        run_state_machine_as_test(machine, settings=_SETTINGS)

    def test_versions_only_go_forward(self) -> None:
        """No history of offers puts an older or damaged version in force."""
        self._run_machine(VersionGate)

    def test_faulty_gates_are_detected(self) -> None:
        """The check fails on gates that go back or trust their input."""
        for gate in (_DowngradingGate, _UncheckedDigestGate):
            with (
                self.subTest(gate=gate.__name__),
                self.assertRaises(AssertionError),
            ):
                self._run_machine(gate)
