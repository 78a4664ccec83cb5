"""What a day's trouble looks like from the sockets, as figures: proof that the day causes what it is meant to cause."""

from __future__ import annotations

from collections import Counter, defaultdict

from banklift.judge.trace import Entry, Head

SPAN = 1.0  # seconds of the windows in which members are compared


def symptoms(head: Head, entries: list[Entry]) -> dict[str, float]:
    """Figures by name:

    `swallowed`: commands that a member took and that their router gave up; `member closed`: connections that members
    closed, `member full`: those they turned away; `slowest`: the highest ratio in any second of a member's median
    answer time to that of all in the whole day, `tail`: the 99th percentile over the median; `one-sided`: the same
    ratio of one router at a member to the others there; `primary reads`: reads at primaries, per cent; `turned away`:
    commands; `fail-overs`, `told`, `cold`, `killed`: events; `left`: clients that left; `silent router`: the longest
    time, in seconds, during which a router sent nothing.
    """
    found: Counter[str] = Counter()
    values: dict[str, float] = {}
    open_: dict[tuple[str, int], Entry] = {}
    times: dict[str, list[tuple[float, int, float]]] = defaultdict(list)
    roles: dict[str, str] = {}
    reads = primary_reads = 0
    last_sent: dict[int, float] = {}
    silent = 0.0
    kinds = {entry.rid: entry.kind for entry in entries if entry.k == "ask"}
    for entry in entries:
        place = entry.member, entry.conn
        if entry.k == "command" and entry.rid:
            open_[place] = entry
            if head.classes.get(kinds.get(entry.rid, ""), {}).get("need") != "write":
                reads += 1
                primary_reads += roles.get(head.groups[entry.member]) == entry.member
            before = last_sent.get(entry.router)
            if before is not None:
                silent = max(silent, entry.t - before)
            last_sent[entry.router] = entry.t
        elif entry.k == "reply":
            command = open_.pop(place, None)
            found["turned away"] += entry.verdict == "turned away"
            if command is not None:
                times[entry.member].append((entry.t, entry.router, entry.t - command.t))
        elif entry.k == "cut":
            command = open_.pop(place, None)
            found["swallowed"] += command is not None and entry.verdict == "other end"
            found["member closed"] += entry.verdict == "member"
            found["member full"] += entry.verdict == "full"
        elif entry.k == "role":
            found["fail-overs"] += head.groups[entry.member] in roles
            roles[head.groups[entry.member]] = entry.member
        elif entry.k in ("told", "cold", "killed", "left"):
            found[entry.k] += 1
    everything = sorted(took for taken in times.values() for _, _, took in taken)
    usual = everything[len(everything) // 2] if everything else 1.0
    values["tail"] = everything[int(0.99 * len(everything))] / usual if everything else 0.0
    values["slowest"] = max((ratio(taken, usual) for taken in times.values()), default=0.0)
    values["one-sided"] = max((one_sided(taken) for taken in times.values()), default=0.0)
    values["primary reads"] = 100 * primary_reads / max(reads, 1)
    values["silent router"] = silent
    return {**values, **found}


def median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


def ratio(taken: list[tuple[float, int, float]], usual: float) -> float:
    """The slowest second of a member against the usual."""
    spans: dict[int, list[float]] = defaultdict(list)
    for at, _, took in taken:
        spans[int(at / SPAN)].append(took)
    return max((median(span) / usual for span in spans.values() if len(span) >= 3), default=0.0)


def one_sided(taken: list[tuple[float, int, float]]) -> float:
    """In any second, the slowest router's median at a member against the fastest's."""
    spans: dict[tuple[int, int], list[float]] = defaultdict(list)
    for at, router, took in taken:
        spans[int(at / SPAN), router].append(took)
    most = 0.0
    seconds = {second for second, _ in spans}
    for second in sorted(seconds):
        medians = [median(span) for (at, _), span in spans.items() if at == second and len(span) >= 3]
        if len(medians) > 1:
            most = max(most, max(medians) / min(medians))
    return most
