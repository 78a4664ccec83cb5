"""Figures that show a day's faults from the sockets: proof that the day causes what it is meant to cause."""

from __future__ import annotations

from collections import Counter, defaultdict

from banklift.judge.trace import Entry, Head

WINDOW_SECONDS = 1.0  # length of the windows in which members are compared


def symptoms(head: Head, entries: list[Entry]) -> dict[str, float]:
    """Figures by name, of a trace whose entries are in order of time. A count of zero may be absent.

    - `swallowed`: commands that a member took and that their router gave up;
    - `member closed`: connections that members closed; `member full`: connections that members turned away;
    - `slowest`: the highest ratio, in any second, of a member's median reply time to the median of all members over
      the whole day;
    - `tail`: the 99th percentile of reply times over their median;
    - `one-sided`: the highest ratio, in any second and at one member, of the slowest router's median reply time to the
      fastest router's;
    - `primary reads`: share of reads that went to primaries, per cent;
    - `turned away`: commands that members turned away;
    - `fail-overs`, `told`, `cold`, `killed`: number of these events;
    - `left`: clients that left;
    - `silent router`: the longest time, in seconds, during which a router sent nothing.
    """
    counts: Counter[str] = Counter()
    figures: dict[str, float] = {}
    open_commands: dict[tuple[str, int], Entry] = {}  # commands without a reply, by member and connection
    # by member: time of the reply, router, seconds that the reply took
    reply_times: dict[str, list[tuple[float, int, float]]] = defaultdict(list)
    primaries: dict[str, str] = {}  # by group
    reads = primary_reads = 0
    last_sent: dict[int, float] = {}  # by router
    longest_silence = 0.0
    class_names = {entry.rid: entry.kind for entry in entries if entry.k == "ask"}
    for entry in entries:
        connection = entry.member, entry.conn
        if entry.k == "command" and entry.rid:
            open_commands[connection] = entry
            if head.classes.get(class_names.get(entry.rid, ""), {}).get("need") != "write":
                reads += 1
                primary_reads += primaries.get(head.groups[entry.member]) == entry.member
            previous_sent = last_sent.get(entry.router)
            if previous_sent is not None:
                longest_silence = max(longest_silence, entry.t - previous_sent)
            last_sent[entry.router] = entry.t
        elif entry.k == "reply":
            command = open_commands.pop(connection, None)
            counts["turned away"] += entry.verdict == "turned away"
            if command is not None:
                reply_times[entry.member].append((entry.t, entry.router, entry.t - command.t))
        elif entry.k == "cut":
            command = open_commands.pop(connection, None)
            counts["swallowed"] += command is not None and entry.verdict == "other end"
            counts["member closed"] += entry.verdict == "member"
            counts["member full"] += entry.verdict == "full"
        elif entry.k == "role":
            counts["fail-overs"] += head.groups[entry.member] in primaries
            primaries[head.groups[entry.member]] = entry.member
        elif entry.k in ("told", "cold", "killed", "left"):
            counts[entry.k] += 1
    all_durations = sorted(duration for replies in reply_times.values() for _, _, duration in replies)
    overall_median = all_durations[len(all_durations) // 2] if all_durations else 1.0
    figures["tail"] = all_durations[int(0.99 * len(all_durations))] / overall_median if all_durations else 0.0
    figures["slowest"] = max(
        (slowest_window_ratio(replies, overall_median) for replies in reply_times.values()), default=0.0
    )
    figures["one-sided"] = max((router_imbalance(replies) for replies in reply_times.values()), default=0.0)
    figures["primary reads"] = 100 * primary_reads / max(reads, 1)
    figures["silent router"] = longest_silence
    return {**figures, **counts}


def median(values: list[float]) -> float:
    """The upper median; 0 if there are no values."""
    return sorted(values)[len(values) // 2] if values else 0.0


def slowest_window_ratio(replies: list[tuple[float, int, float]], overall_median: float) -> float:
    """The highest ratio of a member's median reply time in one window to `overall_median` (seconds).

    `replies`: time, router and duration. Windows with fewer than three replies are left out.
    """
    windows: dict[int, list[float]] = defaultdict(list)
    for at, _, duration in replies:
        windows[int(at / WINDOW_SECONDS)].append(duration)
    return max(
        (median(window) / overall_median for window in windows.values() if len(window) >= 3), default=0.0
    )


def router_imbalance(replies: list[tuple[float, int, float]]) -> float:
    """The highest ratio, in one window, of the slowest router's median reply time to the fastest router's.

    `replies`: time, router and duration, all of one member. A router with fewer than three replies in a window is left
    out of it.
    """
    windows: dict[tuple[int, int], list[float]] = defaultdict(list)
    for at, router, duration in replies:
        windows[int(at / WINDOW_SECONDS), router].append(duration)
    highest_ratio = 0.0
    indices = {index for index, _ in windows}
    for index in sorted(indices):
        medians = [median(window) for (at, _), window in windows.items() if at == index and len(window) >= 3]
        if len(medians) > 1:
            highest_ratio = max(highest_ratio, max(medians) / min(medians))
    return highest_ratio
