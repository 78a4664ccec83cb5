"""Hosts balancers on the bench's wire: lines of JSON in on standard input, lines out on standard output.

Nothing is decided here. Run it as `python -m banklift.adapter`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO, TypeVar

from banklift.balance import Balancer
from banklift.interface import (
    Abandoned,
    Cancel,
    Effect,
    Entry,
    Event,
    Fail,
    Fetch,
    Listing,
    ListKind,
    Log,
    Need,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Report,
    Request,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Tenant,
    Timer,
    Watch,
)

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
NEEDS = {
    "update": Need.WRITE,
    "latest": Need.FRESH,
    "own_writes": Need.SESSION,
    "recent": Need.BOUNDED,
    "loose": Need.ANY,
}
STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
LIST_KINDS = {
    "diff": ListKind.CHANGES,
    "snapshot": ListKind.FULL,
    "disk": ListKind.CACHED,
    "error": ListKind.FAILED,
}
STATUSES = {
    0: Status.OK,
    1: Status.MISS,
    249: Status.MOOT,
    250: Status.CANCELLED,
    251: Status.RESET,
    252: Status.CONNECT_FAILED,
    253: Status.TIMEOUT,
    254: Status.FULL,
    255: Status.ERROR,
}
WIDTHS = {
    "begin": 4,
    "backends_changed": 5,
    "submit": 11,
    "opened": 6,
    "result": 10,
    "lapsed": 3,
    "reminder": 3,
    "check_result": 6,
    "peer_data": 4,
    "shutdown": 2,
    "manifest": 3,
}


T = TypeVar("T")


class WireError(Exception):
    """A line that breaks the wire's rules; the text names the fault."""


def number(value: Any, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < 1e300:
        raise WireError(f"{what}: a number is needed, not {value!r}")
    return float(value)


def integer(value: Any, what: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise WireError(f"{what}: a whole number from 0 is needed, not {value!r}")
    return int(value)


def text(value: Any, what: str) -> str:
    if not isinstance(value, str):
        raise WireError(f"{what}: a text is needed, not {value!r}")
    return value


def pick(table: dict[Any, T], value: Any, what: str) -> T:
    if isinstance(value, bool) or not isinstance(value, (int, str)) or value not in table:
        raise WireError(f"{what}: unknown value {value!r}")
    return table[value]


def section(info: dict[str, Any], name: str) -> dict[str, Any]:
    value = info.get(name) or {}
    if not isinstance(value, dict):
        raise WireError(f"boot_info.{name}: an object is needed, not {value!r}")
    return value


def parse_settings(info: Any) -> Settings:
    if not isinstance(info, dict):
        raise WireError(f"boot_info: an object is needed, not {info!r}")
    allowed, rules, family = (section(info, name) for name in ("allowed", "rules", "family_info"))

    def figure(table: dict[str, Any], name: str, default: float, place: str = "") -> float:
        """A setting that is absent or null has its default."""
        value = table.get(name)
        return default if value is None else number(value, place + name)

    def count(table: dict[str, Any], name: str, default: int, place: str = "") -> int:
        value = table.get(name)
        return default if value is None else integer(value, place + name)

    services = info.get("services") or []
    needs, bounds = family.get("class_read") or [], family.get("staleness_bound_s") or []
    if not (len(services) == len(needs) == len(bounds)):
        raise WireError("boot_info: services, class_read and staleness_bound_s differ in length")
    classes = tuple(
        RequestClass(
            name=text(service["name"], "services.name"),
            effect=pick(EFFECTS, service["semantics"], "services.semantics"),
            need=pick(NEEDS, need, "family_info.class_read"),
            aim=number(service["aim_s"], "services.aim_s"),
            deadline=number(service["deadline_s"], "services.deadline_s"),
            worth=figure(service, "points", 1.0, "services."),
            late_worth=figure(service, "late_worth", 0.0, "services."),
            bound=number(0.0 if bound is None else bound, "family_info.staleness_bound_s"),
            aim_stretch=figure(service, "aim_stretch", 0.0, "services."),
            window=figure(service, "window_s", 0.0, "services."),
            group_only=(service.get("group") or "all") != "all",
            streamed=bool(service.get("streamed", False)),
        )
        for service, need, bound in zip(services, needs, bounds, strict=True)
    )
    tenants = tuple(
        Tenant(
            name=text(tenant["name"], "tenants.name"),
            quota=figure(tenant, "quota_per_s", 0.0, "tenants."),
            share=figure(tenant, "share", 0.0, "tenants."),
        )
        for tenant in info.get("tenants") or []
    )

    return Settings(
        classes=classes,
        tenants=tenants,
        balancers=max(1, count(info, "balancers", 1)),
        over_share_worth=figure(info, "over_share_worth", 1.0),
        max_attempts=count(allowed, "max_attempts", 1, "allowed."),
        parallel_tries=bool(allowed.get("parallel_tries", False)),
        may_cancel=bool(allowed.get("may_cancel", False)),
        may_probe=bool(allowed.get("probing", False)),
        max_retry_after=figure(allowed, "max_retry_after_s", 0.0) if allowed.get("retry_after") else 0.0,
        must_ask=info.get("membership_mode") == "subscribe",
        ask_within=figure(rules, "ask_within_s", 0.0),
        lists_roles=(family.get("role_in_list") or "off") != "off",
        members_check=(family.get("behind") or "off") != "off",
        check_wait=figure(family, "wait_s", 0.0),
        reports_load=reports_load(info),
        answers_carry_position=bool(family.get("stamps", False)),
        client_tokens=family.get("token_mode") == "client",
        drain_grace=figure(rules, "drain_grace_s", 0.0),
        only_draining_binds=bool(rules.get("dropped_stay_open", False)),
        cold_share=figure(rules, "cold_share", 1.0),
        cold_time=figure(rules, "cold_s", 0.0),
        fall_multiple=figure(rules, "fall_multiple", 1.0),
        fall_time=figure(rules, "fall_s", 0.0),
        answer_slack=figure(rules, "grace_to_answer_s", 0.0),
    )


def reports_load(info: dict[str, Any]) -> bool:
    """Whether the load reports of the settings hold a load; so it is taken where they say nothing on reports."""
    feedback = section(info, "feedback")
    fields = feedback.get("fields")
    if not feedback:
        return True
    if feedback.get("how") == "off" or not isinstance(fields, list):
        return False
    return "outstanding" in fields or "backlog" in fields


def parse_entry(value: Any) -> Entry:
    if not isinstance(value, list) or len(value) < 8:
        raise WireError(f"manifest: an entry of 8 values is needed, not {value!r}")
    _weight, node, started, group, state, _kind, head, _zone = value[:8]
    return Entry(
        member=text(node, "manifest node"),
        group=integer(group, "manifest cluster"),
        state=pick(STATES, state, "manifest state"),
        started=number(started, "manifest came_up_s") if started else None,
        primary=bool(head),
    )


class Host:
    """The balancers of one process, one for each instance number."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.base_times: dict[int, float] = {}
        self.lists: dict[int, tuple[Entry, ...]] = {}

    def answer(self, line: str) -> str:
        """The reply to one batch."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("input"), list):
            raise WireError("a batch is an object with at_time_s and the array input")
        now = number(batch.get("at_time_s"), "at_time_s")
        decisions: list[list[Any]] = []
        for event in batch["input"]:
            self.take(now, event, decisions)
        return json.dumps({"decisions": decisions}, separators=(",", ":"))

    def take(self, now: float, event: Any, decisions: list[list[Any]]) -> None:
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise WireError(f"an event is an array that starts with its name, not {event!r}")
        name = event[0]
        if name not in WIDTHS:
            raise WireError(f"unknown event {name!r}")
        if len(event) < WIDTHS[name]:
            raise WireError(f"{name}: {WIDTHS[name] - 1} values are needed, not {len(event) - 1}")
        if name == "manifest":
            if not isinstance(event[2], list):
                raise WireError("manifest: elements must be an array")
            self.lists[integer(event[1], "manifest bank")] = tuple(map(parse_entry, event[2]))
            return
        instance = integer(event[1], f"{name} i")
        if name == "shutdown":
            self.balancers.pop(instance, None)
            return
        if name == "begin":
            try:
                settings = parse_settings(event[3])
            except (KeyError, TypeError, ValueError) as error:
                raise WireError(f"boot_info: {error}") from None
            family = section(event[3], "family_info")
            self.base_times[instance] = number(family.get("base_time_s") or 0.0, "base_time_s")
            self.balancers[instance] = Balancer(settings, integer(event[2], "begin seed"))
            return
        if instance not in self.balancers:
            raise WireError(f"{name}: instance {instance} has not begun")
        if name == "peer_data":
            return  # balancers share nothing
        parsed: Event = getattr(self, f"parse_{name}")(event, self.base_times[instance], now)
        try:
            actions = self.balancers[instance].handle(now, parsed)
        except Exception as error:  # the wire has a word for broken decision code
            decisions.append(["exception", instance, f"{type(error).__name__}: {error}"])
            return
        for action in actions:
            decisions.append(ENCODERS[type(action)](instance, action))

    def parse_backends_changed(self, event: list[Any], base: float, now: float) -> Listing:
        kind = pick(LIST_KINDS, event[3], "backends_changed mode")
        if kind is ListKind.FAILED:
            return Listing(kind)
        bank = integer(event[2], "backends_changed bank")
        if bank not in self.lists:
            raise WireError(f"backends_changed: list {bank} was never sent")
        return Listing(kind, self.lists[bank])

    def parse_submit(self, event: list[Any], base: float, now: float) -> Request:
        _, _, op_id, kind, tenant, key, drop_dead, hint, group, token, bitmap = event[:11]
        bits = integer(bitmap or 0, "submit bitmap")
        return Request(
            id=integer(op_id, "submit op_id"),
            kind=text(kind, "submit kind"),
            group=integer(group, "submit db_no"),
            deadline=number(drop_dead, "submit drop_dead_s"),
            tenant=text(tenant, "submit user_group") if tenant else None,
            session=None if key is None else integer(key, "submit conn_key"),
            since_write=number(token, "submit token_ms") / 1000 if token else None,
            cost=number(hint, "submit weight_hint_s") if hint is not None and bits & 1 else None,
        )

    def parse_opened(self, event: list[Any], base: float, now: float) -> StreamStarted:
        return StreamStarted(
            integer(event[2], "opened op_id"),
            integer(event[4], "opened attempt"),
            text(event[3], "opened node"),
        )

    def parse_result(self, event: list[Any], base: float, now: float) -> Outcome:
        _, _, op_id, status, settled, node, latency, attempt, note, usage = event[:10]
        position, role = divmod(integer(note or 0, "result pos_role"), 4)
        return Outcome(
            request=integer(op_id, "result op_id"),
            attempt=integer(attempt, "result attempt"),
            member=text(node, "result node"),
            status=pick(STATUSES, status, "result status"),
            finished=bool(settled),
            latency=number(latency, "result latency_s"),
            primary={1: True, 2: False}.get(role),
            position=base + position / 1000 if position else None,
            report=parse_report(usage, base),
        )

    def parse_lapsed(self, event: list[Any], base: float, now: float) -> Abandoned:
        return Abandoned(integer(event[2], "lapsed op_id"))

    def parse_reminder(self, event: list[Any], base: float, now: float) -> Timer:
        return Timer(integer(event[2], "reminder ctx"))

    def parse_check_result(self, event: list[Any], base: float, now: float) -> Probed:
        return Probed(
            member=text(event[3], "check_result node"),
            ok=pick(STATUSES, event[2], "check_result status") is Status.OK,
            latency=number(event[4], "check_result latency_s"),
            report=parse_report(event[5], base),
        )


def parse_report(usage: Any, base: float) -> Report | None:
    if usage is None:
        return None
    if not isinstance(usage, dict):
        raise WireError(f"usage: an object is needed, not {usage!r}")
    values = {
        name: number(usage[name], f"usage {name}")
        for name in ("x0", "x1", "outstanding", "backlog")
        if usage.get(name) is not None
    }
    return Report(
        position=base + values["x0"] if "x0" in values else None,
        primary=bool(values["x1"]) if "x1" in values else None,
        in_flight=values.get("outstanding"),
        queued=values.get("backlog"),
    )


ENCODERS: dict[type, Callable[[int, Any], list[Any]]] = {
    Send: lambda i, a: ["assign", i, a.request, a.member, a.timeout],
    Refuse: lambda i, a: ["busy", i, a.request, a.retry_after],
    Fail: lambda i, a: ["abort", i, a.request],
    Cancel: lambda i, a: ["stop_attempt", i, a.request, a.attempt],
    Probe: lambda i, a: ["sound_out", i, a.member],
    SetTimer: lambda i, a: ["wake_at", i, a.delay, a.token],
    Watch: lambda i, a: ["track", i, True],
    Fetch: lambda i, a: ["query_all", i],
    Log: lambda i, a: ["remark", i, a.text],
}


def main(source: TextIO, sink: TextIO) -> int:
    host = Host()
    for line in source:
        try:
            reply = host.answer(line)
        except WireError as error:
            print(f"banklift: malformed input: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(main(sys.stdin, sys.stdout))
