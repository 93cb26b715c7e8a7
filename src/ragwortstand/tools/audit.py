"""ragwortstand.tools.audit: compares callers' records with journals."""

import pathlib
from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from ragwortstand.tools.load import Record
from ragwortstand.tools.standin_backend import JournalEntry, JournalLine
from ragwortstand.verdicts import Verdict

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


class RankReport(msgspec.Struct, frozen=True):
    """Outcomes and latencies of the requests of one rank.

    :param sent: requests that callers made.
    :param served: requests that a backend server ran with status 200.
    :param in_target: served within the target of their stream.
    :param refused_not_run: requests whose final verdict is not-run.
    :param may_have_run: requests whose final verdict is may-have-run.
    :param p50_ms: median latency of served requests.
    :param p99_ms: 99th percentile of the latency of served requests.
    """

    sent: int
    served: int
    in_target: int
    refused_not_run: int
    may_have_run: int
    p50_ms: float
    p99_ms: float


class Audit(msgspec.Struct, frozen=True):
    """Result of comparing callers' records with servers' journals.

    :param sent: requests that callers made.
    :param answered: requests with a final response.
    :param refused_not_run: requests whose final verdict is not-run.
    :param may_have_run: requests whose final verdict is may-have-run.
    :param lost: requests without a response, or served without a run.
    :param doubled: non-idempotent requests that ran more than once.
    :param mismatched: served requests with an unexpected response body.
    :param false_not_run: requests sent once that ran although their verdict
        is not-run.
    :param by_rank: outcomes and latencies by rank.
    """

    sent: int
    answered: int
    refused_not_run: int
    may_have_run: int
    lost: int
    doubled: int
    mismatched: int
    false_not_run: int
    by_rank: dict[str, RankReport]

    @property
    def is_clean(self) -> bool:
        """Return whether no guarantee was violated."""
        violations = (
            self.lost + self.doubled + self.mismatched + self.false_not_run
        )
        return not violations


def read_journals(paths: Iterable[pathlib.Path]) -> list[JournalLine]:
    """Return the lines of several journals."""
    decoder = msgspec.json.Decoder(JournalLine)
    return [
        decoder.decode(line)
        for path in paths
        for line in path.read_bytes().splitlines()
    ]


def audit(
    records: Sequence[Record],
    journal: Sequence[JournalLine],
) -> Audit:
    """Compare the outcomes of callers with the runs of backend servers.

    :param records: the callers' records.
    :param journal: lines of all backend servers' journals.
    """
    runs = Counter(
        line.tag for line in journal if line.entry == JournalEntry.STARTED.value
    )
    by_rank: dict[str, list[Record]] = {}
    for record in records:
        by_rank.setdefault(record.rank, []).append(record)
    return Audit(
        sent=len(records),
        answered=sum(bool(record.status) for record in records),
        refused_not_run=_count(records, Verdict.NOT_RUN),
        may_have_run=_count(records, Verdict.MAY_HAVE_RUN),
        lost=sum(_is_lost(record, runs) for record in records),
        doubled=sum(_is_doubled(record, runs) for record in records),
        mismatched=sum(_is_mismatched(record) for record in records),
        false_not_run=sum(
            _is_false_not_run(record, runs) for record in records
        ),
        by_rank={
            rank: rank_report(rank_records)
            for rank, rank_records in by_rank.items()
        },
    )


def rank_report(records: Sequence[Record]) -> RankReport:
    """Return the outcomes and latencies of the requests of one rank."""
    served = [record for record in records if record.is_served]
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for record in served:
        histogram.record_value(max(1, int(record.taken_s * 1_000_000)))
    return RankReport(
        sent=len(records),
        served=len(served),
        in_target=sum(one.taken_s <= one.target_s for one in served),
        refused_not_run=_count(records, Verdict.NOT_RUN),
        may_have_run=_count(records, Verdict.MAY_HAVE_RUN),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


def _count(records: Iterable[Record], verdict: Verdict) -> int:
    return sum(record.verdict == verdict.value for record in records)


def _is_lost(record: Record, runs: Counter[str]) -> bool:
    if not record.status:
        return True
    return record.is_served and not runs[record.tag]


def _is_doubled(record: Record, runs: Counter[str]) -> bool:
    return not record.is_repeatable and runs[record.tag] > 1


def _is_mismatched(record: Record) -> bool:
    return record.is_served and not record.is_whole


def _is_false_not_run(record: Record, runs: Counter[str]) -> bool:
    is_refused = record.verdict == Verdict.NOT_RUN.value
    return is_refused and record.sent == 1 and runs[record.tag] > 0
