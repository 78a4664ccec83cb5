"""Hosts balancers for the simulator: batches of events as lines of JSON on standard input, actions on standard output.

It translates between the simulator's wire and `banklift.interface` and decides nothing. Run it as
`python -m banklift.adapter`. It exits with code 2 at the first malformed line, which it names on standard error.
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

# The wire's words for the values of `banklift.interface`.
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
# Least number of elements of each event, its name included.
EVENT_WIDTHS = {
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
    """A line that breaks the rules of the wire; the text names the fault."""


def number(value: Any, what: str) -> float:
    """Return a number below 1e300; raise `WireError` naming `what` for anything else."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < 1e300:
        raise WireError(f"{what}: a number is needed, not {value!r}")
    return float(value)


def integer(value: Any, what: str) -> int:
    """Return a whole number from 0; raise `WireError` naming `what` for anything else."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise WireError(f"{what}: a whole number from 0 is needed, not {value!r}")
    return int(value)


def text(value: Any, what: str) -> str:
    """Return a string; raise `WireError` naming `what` for anything else."""
    if not isinstance(value, str):
        raise WireError(f"{what}: a text is needed, not {value!r}")
    return value


def look_up(table: dict[Any, T], value: Any, what: str) -> T:
    """Return what a word or code of the wire stands for; raise `WireError` naming `what` for an unknown one."""
    if isinstance(value, bool) or not isinstance(value, (int, str)) or value not in table:
        raise WireError(f"{what}: unknown value {value!r}")
    return table[value]


def section(info: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object inside the settings, empty if it is absent; raise `WireError` if it is something else."""
    value = info.get(name) or {}
    if not isinstance(value, dict):
        raise WireError(f"boot_info.{name}: an object is needed, not {value!r}")
    return value


def parse_settings(info: Any) -> Settings:
    """Read the settings of one balancer, as the event `begin` carries them.

    Raises `WireError` for values of the wrong type, `KeyError` for a missing key and `ValueError` for settings that
    `Settings` refuses.
    """
    if not isinstance(info, dict):
        raise WireError(f"boot_info: an object is needed, not {info!r}")
    allowed, rules, family = (section(info, name) for name in ("allowed", "rules", "family_info"))

    def optional_number(table: dict[str, Any], name: str, default: float, prefix: str = "") -> float:
        """Return a setting, or its default if it is absent or null."""
        value = table.get(name)
        return default if value is None else number(value, prefix + name)

    def optional_integer(table: dict[str, Any], name: str, default: int, prefix: str = "") -> int:
        """Return a whole number from 0, or its default if it is absent or null."""
        value = table.get(name)
        return default if value is None else integer(value, prefix + name)

    services = info.get("services") or []
    needs, bounds = family.get("class_read") or [], family.get("staleness_bound_s") or []
    if not (len(services) == len(needs) == len(bounds)):
        raise WireError("boot_info: services, class_read and staleness_bound_s differ in length")
    classes = tuple(
        RequestClass(
            name=text(service["name"], "services.name"),
            effect=look_up(EFFECTS, service["semantics"], "services.semantics"),
            need=look_up(NEEDS, need, "family_info.class_read"),
            aim=number(service["aim_s"], "services.aim_s"),
            deadline=number(service["deadline_s"], "services.deadline_s"),
            worth=optional_number(service, "points", 1.0, "services."),
            late_worth=optional_number(service, "late_worth", 0.0, "services."),
            bound=number(0.0 if bound is None else bound, "family_info.staleness_bound_s"),
            aim_stretch=optional_number(service, "aim_stretch", 0.0, "services."),
            window=optional_number(service, "window_s", 0.0, "services."),
            group_only=(service.get("group") or "all") != "all",
            streamed=bool(service.get("streamed", False)),
        )
        for service, need, bound in zip(services, needs, bounds, strict=True)
    )
    tenants = tuple(
        Tenant(
            name=text(tenant["name"], "tenants.name"),
            quota=optional_number(tenant, "quota_per_s", 0.0, "tenants."),
            share=optional_number(tenant, "share", 0.0, "tenants."),
        )
        for tenant in info.get("tenants") or []
    )

    return Settings(
        classes=classes,
        tenants=tenants,
        balancers=max(1, optional_integer(info, "balancers", 1)),
        over_share_worth=optional_number(info, "over_share_worth", 1.0),
        max_attempts=optional_integer(allowed, "max_attempts", 1, "allowed."),
        parallel_tries=bool(allowed.get("parallel_tries", False)),
        may_cancel=bool(allowed.get("may_cancel", False)),
        may_probe=bool(allowed.get("probing", False)),
        max_retry_after=optional_number(allowed, "max_retry_after_s", 0.0)
        if allowed.get("retry_after")
        else 0.0,
        must_ask=info.get("membership_mode") == "subscribe",
        ask_within=optional_number(rules, "ask_within_s", 0.0),
        lists_roles=(family.get("role_in_list") or "off") != "off",
        members_check=(family.get("behind") or "off") != "off",
        check_wait=optional_number(family, "wait_s", 0.0),
        reports_load=reports_load(info),
        answers_carry_position=bool(family.get("stamps", False)),
        client_tokens=family.get("token_mode") == "client",
        drain_grace=optional_number(rules, "drain_grace_s", 0.0),
        only_draining_binds=bool(rules.get("dropped_stay_open", False)),
        cold_share=optional_number(rules, "cold_share", 1.0),
        cold_time=optional_number(rules, "cold_s", 0.0),
        fall_multiple=optional_number(rules, "fall_multiple", 1.0),
        fall_time=optional_number(rules, "fall_s", 0.0),
        answer_slack=optional_number(rules, "grace_to_answer_s", 0.0),
    )


def reports_load(info: dict[str, Any]) -> bool:
    """Whether reports of members contain their load; taken as so where the settings do not describe reports."""
    feedback = section(info, "feedback")
    fields = feedback.get("fields")
    if not feedback:
        return True
    if feedback.get("how") == "off" or not isinstance(fields, list):
        return False
    return "outstanding" in fields or "backlog" in fields


def parse_entry(value: Any) -> Entry:
    """Read one member of a list."""
    if not isinstance(value, list) or len(value) < 8:
        raise WireError(f"manifest: an entry of 8 values is needed, not {value!r}")
    _weight, member, started, group, state, _kind, primary, _zone = value[:8]
    return Entry(
        member=text(member, "manifest node"),
        group=integer(group, "manifest cluster"),
        state=look_up(STATES, state, "manifest state"),
        started=number(started, "manifest came_up_s") if started else None,
        primary=bool(primary),
    )


class Host:
    """The balancers of one process, one for each instance number."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.base_times: dict[int, float] = {}  # seconds that are added to positions, by instance
        self.lists: dict[int, tuple[Entry, ...]] = {}  # lists of members by their number on the wire

    def answer(self, line: str) -> str:
        """Process a batch of events and return the reply; raises `WireError` for a malformed line."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("input"), list):
            raise WireError("a batch is an object with at_time_s and the array input")
        now = number(batch.get("at_time_s"), "at_time_s")
        decisions: list[list[Any]] = []
        for event in batch["input"]:
            self.process(now, event, decisions)
        return json.dumps({"decisions": decisions}, separators=(",", ":"))

    def process(self, now: float, event: Any, decisions: list[list[Any]]) -> None:
        """Process one event and append the resulting actions to `decisions`."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise WireError(f"an event is an array that starts with its name, not {event!r}")
        name = event[0]
        if name not in EVENT_WIDTHS:
            raise WireError(f"unknown event {name!r}")
        if len(event) < EVENT_WIDTHS[name]:
            raise WireError(f"{name}: {EVENT_WIDTHS[name] - 1} values are needed, not {len(event) - 1}")
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
            return  # balancers exchange no data
        parsed: Event = getattr(self, f"parse_{name}")(event, self.base_times[instance], now)
        try:
            actions = self.balancers[instance].handle(now, parsed)
        except Exception as error:  # the wire reports a failure of a balancer as an action of its own
            decisions.append(["exception", instance, f"{type(error).__name__}: {error}"])
            return
        for action in actions:
            decisions.append(ENCODERS[type(action)](instance, action))

    def parse_backends_changed(self, event: list[Any], base_time: float, now: float) -> Listing:
        """Read the list of members."""
        list_kind = look_up(LIST_KINDS, event[3], "backends_changed mode")
        if list_kind is ListKind.FAILED:
            return Listing(list_kind)
        bank = integer(event[2], "backends_changed bank")
        if bank not in self.lists:
            raise WireError(f"backends_changed: list {bank} was never sent")
        return Listing(list_kind, self.lists[bank])

    def parse_submit(self, event: list[Any], base_time: float, now: float) -> Request:
        """Read a new request."""
        _, _, op_id, class_name, tenant, session, deadline, cost, group, token, bitmap = event[:11]
        bits = integer(bitmap or 0, "submit bitmap")  # bit 0: the cost is known
        return Request(
            id=integer(op_id, "submit op_id"),
            kind=text(class_name, "submit kind"),
            group=integer(group, "submit db_no"),
            deadline=number(deadline, "submit drop_dead_s"),
            tenant=text(tenant, "submit user_group") if tenant else None,
            session=None if session is None else integer(session, "submit conn_key"),
            since_write=number(token, "submit token_ms") / 1000 if token else None,
            cost=number(cost, "submit weight_hint_s") if cost is not None and bits & 1 else None,
        )

    def parse_opened(self, event: list[Any], base_time: float, now: float) -> StreamStarted:
        """Read the start of a stream."""
        return StreamStarted(
            integer(event[2], "opened op_id"),
            integer(event[4], "opened attempt"),
            text(event[3], "opened node"),
        )

    def parse_result(self, event: list[Any], base_time: float, now: float) -> Outcome:
        """Read the end of an attempt."""
        _, _, op_id, status, finished, member, latency, attempt, position_and_role, usage = event[:10]
        # position in milliseconds since the base time, times 4, plus the role: 1 primary, 2 replica, 0 unknown
        position, role = divmod(integer(position_and_role or 0, "result pos_role"), 4)
        return Outcome(
            request=integer(op_id, "result op_id"),
            attempt=integer(attempt, "result attempt"),
            member=text(member, "result node"),
            status=look_up(STATUSES, status, "result status"),
            finished=bool(finished),
            latency=number(latency, "result latency_s"),
            primary={1: True, 2: False}.get(role),
            position=base_time + position / 1000 if position else None,
            report=parse_report(usage, base_time),
        )

    def parse_lapsed(self, event: list[Any], base_time: float, now: float) -> Abandoned:
        """Read a client that left."""
        return Abandoned(integer(event[2], "lapsed op_id"))

    def parse_reminder(self, event: list[Any], base_time: float, now: float) -> Timer:
        """Read a timer that is due."""
        return Timer(integer(event[2], "reminder ctx"))

    def parse_check_result(self, event: list[Any], base_time: float, now: float) -> Probed:
        """Read the end of a probe."""
        return Probed(
            member=text(event[3], "check_result node"),
            ok=look_up(STATUSES, event[2], "check_result status") is Status.OK,
            latency=number(event[4], "check_result latency_s"),
            report=parse_report(event[5], base_time),
        )


def parse_report(usage: Any, base_time: float) -> Report | None:
    """Read a member's report; `base_time` is added to its position. Unknown keys are ignored."""
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
        position=base_time + values["x0"] if "x0" in values else None,
        primary=bool(values["x1"]) if "x1" in values else None,
        in_flight=values.get("outstanding"),
        queued=values.get("backlog"),
    )


# The wire's form of each action, for the instance number and the action.
ENCODERS: dict[type, Callable[[int, Any], list[Any]]] = {
    Send: lambda instance, action: ["assign", instance, action.request, action.member, action.timeout],
    Refuse: lambda instance, action: ["busy", instance, action.request, action.retry_after],
    Fail: lambda instance, action: ["abort", instance, action.request],
    Cancel: lambda instance, action: ["stop_attempt", instance, action.request, action.attempt],
    Probe: lambda instance, action: ["sound_out", instance, action.member],
    SetTimer: lambda instance, action: ["wake_at", instance, action.delay, action.token],
    Watch: lambda instance, action: ["track", instance, True],
    Fetch: lambda instance, action: ["query_all", instance],
    Log: lambda instance, action: ["remark", instance, action.text],
}


def main(source: TextIO, sink: TextIO) -> int:
    """Answer each line of `source` with a line on `sink`; return the exit code, 0 at the end, 2 on malformed input."""
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
