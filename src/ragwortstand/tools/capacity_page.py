"""ragwortstand.tools.capacity_page: template of docs/CAPACITY.md."""

PAGE = """\
# Capacity

This page is computed by `python -m ragwortstand.tools.capacity
docs/measurements docs/CAPACITY.md` from measurements on one machine with 8
cores. Do not edit it by hand.

The aim: 2,200 daemons, 170 services, 140,000 calls a second up to 15 deep,
1,200 changes a day in force within 10 s, 2 regions with 6 availability zones;
for control at most 3.3% of a core, 128 MB and 5 KB a second a daemon.

## Measurements

`ragwort-load scale --sizes ...` starts whole fleets of daemons over 2 regions
and 6 zones, with a configuration of 170 services and 400 routes. Costs are
per daemon; regional bytes and the store's load are of the whole fleet.

| distribution | daemons | rest B/s | regional B/s | change B | regional change B | core | MiB | reads/s | writes/s | p50 s | max s |
|---|---|---|---|---|---|---|---|---|---|---|---|
{table}

`poll` is the baseline in which each daemon reads the whole configuration from
the store each second. `ragwort-load members` measures one daemon's list at up
to 2,200 members in one process; `ragwort-load gain` the cost of a call.

## A daemon at rest, at 2,200

A fixed number of bridges, readers and entry points serves the whole fleet, so
the average over the daemons falls as `a + b / n` with the size n of the
fleet; the fits are over 1 / n.

| cost | measured | at 2,200 | limit | |
|---|---|---|---|---|
| control bytes a second | rest {rest_slope} B/s; a change {change_slope} B, {change_each} B at 2,200 | {bytes_per_s} B/s = {rest_bytes} at rest + {change_bytes} for changes + {news_bytes} for gossip about members (4 changes a restart, 2 a failure, each sent {news_repeats} times) | 5,120 B/s | {bytes_verdict} |
| processor time | whole fleets {cpu_slope}, {cpu_floor} of a core at 2,200 without the growth of the list; an interval of probing {tick_ms} ms, a change of a member {taken_ms} ms at 2,200 | {cpu} of a core | 3.3% | {cpu_verdict} |
| memory | {memory_floor} MiB with few members ({memory_slope} KiB a daemon in whole fleets); {member_bytes} B of them a member in the list | {memory} MiB | 128 MiB | {memory_verdict} |

Mechanisms: probes inside the zone are one a second whatever the size of the
fleet, and the bridges' probes are shared by more daemons, so bytes at rest
fall with its size (`peers/gossip.py`). Each change of a member is sent a
bounded number of times that grows with the logarithm of the fleet
(`peers/members.py`). A version travels as the difference from the one
before (`peers/distribution.py`). The extrapolation takes the floor from whole
fleets and the growth of the list from the measurement in one process, since
no machine here runs 2,200 daemons.

The baseline would take {poll_bytes} B/s a daemon and {poll_reads} reads a
second, against about 2,000 that the store gives.

## Roles

| role | held by | state | messages | processor time, memory |
|---|---|---|---|---|
| daemon | every host | list of members, version in force and three before it, signals of its calls | one probe a second each way; offers and one fetch a change | as above |
| zone bridge | two members of each zone, by rendezvous hashing | none of its own | one probe a second to each other zone of the region, one to a dead member of its zone | in the averages above; not measured on its own |
| region bridge | two members of each region | none of its own | one probe a second to each other region; one offer a change to each | as above; {regional_rest} B/s over the regional links at rest and {regional_change} B a change, whole fleet |
| reader | two members of the store's region | none | one read of the head row a second | {reads} reads and {writes} writes a second in the largest fleet measured; independent of its size |
| watcher | up to 64 members, by rendezvous hashing | none | twelve checks of a reader a second, all watchers together; reads of the head row only while no reader is reached by the store | not measured on its own |
| entry point | two members of each zone, 12 in all | a row of the table | the list of members to each new daemon, {list_kb} KiB; {list_daily_bytes} B/s on a day with 269 restarts | not measured on its own |
| key owner | the leading member of the service for each key | outcomes of the window, at most 20,000 | three rows of the table a keyed request (claim, outcome, deletion), up to 25 a transaction | 16 KiB at most an outcome kept |
| operator's client | outside | none | one request to each daemon for a `wait`, 64 at a time | seconds at 2,200 while it waits |
| table service | platform | head, versions, submissions, entry points, claims | above, plus the claims | limit of several hundred writes a second |
| object store | platform | one object for each version | one write a change, one read by a reader that missed the offer | none |

## Convergence

A bridge itself pays more than the average: one more probe a second to each
other zone of its region, or to each other region.

Acceptance to the last daemon took {worst_s} s at worst over all changes and
sizes measured ({sizes} daemons), the median {worst_p50_s} s at most. Offers
go to four members at a time, so the number of rounds grows with the logarithm
of the region: 1,100 members take about two rounds more than the largest fleet
measured. The aim of 10 s leaves room for the repair by probes, which needs a
few seconds when offers are lost.

## Calls

140,000 calls a second are {calls_per_daemon} entering each daemon and as many
running there.

| | measured |
|---|---|
| own backend server, added p50 / p99 | {own_added} ms |
| over another daemon, added p50 / p99 | {other_added} ms |
| processor time, own backend server | {own_cpu_ms} ms a call |
| processor time, daemon that forwards | {entry_cpu_ms} ms a call |
| processor time, daemon that runs it | {remote_cpu_ms} ms a call |

At the aim's rate each daemon spends {call_core} of a core on calls when every
call takes the hop. This is the data path and not in the 3.3% for control.

**Where the design misses the aim.** The speed of the machine varies by a
factor of three between runs; `docs/MEASUREMENTS.md` has all of them. In quiet
runs 0.34 ms at the 99th percentile is met over the own backend server, and in
no run over another daemon. In a mesh most calls go to another service and
take the hop. To reach the aim there, the hop must cost about half: a stream
between daemons without the thread hand-overs of `pynng` (an early trial gave
0.28 / 0.38 ms for such a hop as a whole), or the caller's library choosing
the daemon beside the backend server itself. 15 deep the additions add up: 15
times the median, and the 99th percentile of a sum lies below 15 times that of
one call.

**Keyed requests.** With three rows each and {keyed_per_s} keyed requests a
second the table's writes (500 a second assumed) are used up; that is
{keyed_share} of the calls. Beyond it the claims need another storage scheme:
a lease row for each key owner in place of a row for each request, at the
price that keys of a key owner that died wait for the window. Today's
deployments send a few dozen keyed requests a second.

**Connections.** A daemon keeps 64 links to others at most while they are
idle, and {per_service} members offer a service on average.

## A bad day

| event | what it costs | mechanism |
|---|---|---|
| 9 hosts fail, 260 restart | in the {news_bytes} B/s of gossip above, and {list_daily_bytes} B/s at each entry point | gossip, entry points |
| a third returns at once ({herd} daemons) | head reads spread over {herd_s} s, 100 a second; {herd_entry_mb} MiB of lists at each entry point | the delay before the first read grows with the number of dead members in the list (`peers/distribution.py`) |
| a rack or a zone is lost | up to 367 members | a bridge that has lost three members of a zone in a row suspects the whole zone (`peers/gossip.py`); calls fail over at once by their outcomes |
| a region is cut for an hour | both sides serve; keyed requests on the side without the store are answered "may have run" | note 004 |
| the store is unavailable | what was accepted spreads; no acceptance; keyed requests at key owners that are older than the window | notes 002 and 004 |

**Misses.** New daemons that have no `entry_points` in their settings read the
rows of the table at once, so a herd's return costs one read for each of them
within the spread of their start. At this size set `entry_points`.

## Not measured

More than {sizes} daemons at once; loss of packets; real regional links; the
store's own latency; hosts with other work beside the daemon.
"""
