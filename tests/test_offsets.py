"""Replication offsets and positions: no position is proven that the log does not support, in any order of answers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.decide.offsets import (
    MAX_KNOWN_HISTORIES,
    MAX_MARK_HISTORIES,
    PRIMARY_SILENCE_TIMEOUT,
    ProvenFacts,
    ReplicationHistory,
    ReplicationStatus,
    SessionMark,
)

A, B, C = "a" * 40, "b" * 40, "c" * 40


def primary(
    offset: int, replid: str | None = A, replid2: str | None = None, second: int = -1
) -> ReplicationStatus:
    """Answer of a primary to `INFO replication`; without `replid` to `ROLE`."""
    return ReplicationStatus(True, offset, "", True, replid, replid2, second)


def replica(offset: int, replid: str | None = A, source: str = "p:1") -> ReplicationStatus:
    """Answer of a replica to `INFO replication`; without `replid` to `ROLE`."""
    return ReplicationStatus(False, offset, source, True, replid)


@given(
    st.lists(st.tuples(st.floats(0, 10), st.floats(0, 1), st.floats(0, 1)), min_size=1, max_size=30),
    st.lists(st.integers(1, 50), min_size=1, max_size=40),
    st.integers(0, 400),
)
@settings(max_examples=300)
def test_a_position_is_supported_by_the_log(
    samples: list[tuple[float, float, float]], writes: list[int], applied: int
) -> None:
    """The primary reads its offset some time after it was asked, and answers arrive in any order."""
    commits = []
    offset = 0
    for index, size in enumerate(writes):
        offset += size
        commits.append((index * 10 / len(writes), offset))

    def log_end(at: float) -> int:
        """Offset of the log at a time."""
        return max((end for when, end in commits if when <= at), default=0)

    history = ReplicationHistory()
    history.record_answer("p", primary(0), 0.0, 0.0)
    for asked_at, way_there, way_back in sorted(
        samples, key=lambda sample: sample[0] + sample[1] + sample[2]
    ):
        history.record_answer(
            "p", primary(log_end(asked_at + way_there)), asked_at, asked_at + way_there + way_back
        )
    position = history.position(A, applied)
    if position is not None:
        assert applied >= log_end(position - 1e-9)  # all commits before that time
    assert history.sample_times == sorted(set(history.sample_times)) and history.sample_offsets == sorted(
        set(history.sample_offsets)
    )


def test_an_idle_primary_keeps_replicas_current() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    history.record_answer("p", primary(100), 9.0, 9.0)
    assert history.record_answer("r", replica(100), 9.0, 9.0).position == 9.0


def test_a_hung_primary_is_distinguished_from_an_idle_one() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    assert history.record_answer("p", primary(100), 5.0, 5.0).position == 5.0
    # a write was sent and the offset did not advance
    assert history.record_answer("p", primary(100), 6.0, 6.0, unanswered_since=5.1).position == 5.1
    assert (
        history.record_answer("p", primary(120), 7.0, 7.0, unanswered_since=5.1).position == 7.0
    )  # the offset advances: busy, not hung


def test_a_promotion_cuts_the_old_history_at_the_fork() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    history.record_answer("p", primary(200), 2.0, 2.0)
    history.record_answer("r", replica(150), 2.0, 2.0)
    fact = history.record_answer("r", primary(160, B, A, 151), 3.0, 3.0)
    assert fact.primary and fact.position == 3.0 and not fact.data_replaced
    stray = history.record_answer("q", replica(190), 3.1, 3.1)  # follows the old primary, beyond the fork
    assert stray.offset == 150 and stray.position == 2.0
    late = history.record_answer("p", primary(250), 3.2, 3.2)  # the old primary does not know yet
    assert late.primary is False and late.offset == 150
    assert history.record_answer("q", replica(160, B, "r:1"), 4.0, 4.0).position == 3.0


def test_a_diverged_history_proves_nothing() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    assert history.record_answer("x", replica(1000, C), 1.0, 1.0).position is None
    second = history.record_answer("y", primary(1000, C), 1.1, 1.1)
    assert second.primary is False  # two lineages at once: the first stays while its primary answers
    after = 1.1 + PRIMARY_SILENCE_TIMEOUT + 1
    assert history.record_answer("y", primary(1000, C), after, after).primary is True
    assert history.record_answer("p", primary(100), after, after).primary is False


def test_a_falling_offset_means_other_data() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    history.record_answer("r", replica(100), 1.0, 1.1)
    assert history.record_answer("r", replica(100), 1.2, 1.3).data_replaced is False
    # asked earlier: an answer out of order
    assert history.record_answer("r", replica(90), 1.05, 1.4).data_replaced is False
    assert history.record_answer("r", replica(50), 2.0, 2.1).data_replaced is True


def test_role_is_read_in_the_history_of_the_last_info() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    assert history.record_answer("r", replica(100, None), 1.0, 1.0).history_unknown
    history.record_answer("r", replica(80), 1.1, 1.1)
    assert history.record_answer("r", replica(100, None), 1.2, 1.2).position == 1.0
    assert history.record_answer("r", replica(100, None, "other:1"), 1.3, 1.3).history_unknown
    assert history.record_answer("r", replica(20, None), 1.4, 1.4).history_unknown
    assert history.record_answer("r", primary(100, None), 1.5, 1.5).history_unknown


def test_marks_of_sessions() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(100), 1.0, 1.0)
    fact = history.record_answer("p", primary(140), 2.0, 2.2)
    seen = history.make_mark("p", fact.offset, 2.2)
    assert seen == SessionMark(2.2, A, 140) and history.required_position(seen, 5.0) == 2.0
    assert history.covers(history.record_answer("r", replica(140), 3.0, 3.0), seen)
    assert not history.covers(history.record_answer("r2", replica(139), 3.0, 3.0), seen)
    unknown = SessionMark(4.0, C, 7)
    assert history.required_position(unknown, 4.5) == 4.0 and not history.covers(
        history.record_answer("r", replica(140), 4.1, 4.1), unknown
    )
    history.record_answer("p", primary(140), 4.2, 4.2)
    # all commits before 4.2
    assert history.covers(history.record_answer("r", replica(140), 4.3, 4.3), unknown)


def test_a_write_lost_in_a_failover_is_covered_by_time_alone() -> None:
    history = ReplicationHistory()
    history.record_answer("p", primary(200), 1.0, 1.0)
    seen = history.make_mark("p", 200, 1.1)
    history.record_answer("r", primary(300, B, A, 151), 2.0, 2.0)
    behind = history.record_answer("q", replica(200, B, "r:1"), 2.1, 2.1)
    assert not history.covers(behind, seen)  # offset 200 means other data there
    assert history.covers(history.record_answer("q", replica(300, B, "r:1"), 2.2, 2.2), seen)


def test_samples_of_an_old_primary_after_the_fork_do_not_count_for_the_new_history() -> None:
    """In a split both take writes, neither knowing of the other. Samples of the old primary after the fork would date
    writes of the new history too late."""
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    history.record_answer("r", ReplicationStatus(False, 100, "p:1", replid=A), 1.1, 1.11)
    history.record_answer(
        "p", ReplicationStatus(True, 130, replid=A), 5.0, 5.01
    )  # r is primary of its own history since 2.0, from offset 100
    history.record_answer(
        "r", ReplicationStatus(True, 160, replid=B, replid2=A, second_offset=101), 6.0, 6.01
    )
    assert history.position(A, 100) == 1.0  # and not 5.0: r may have taken writes from 1.1 on
    assert history.position(B, 160) == 6.0
    assert history.position(A, 130) == 1.0


def test_the_old_lineage_does_not_cover_a_mark_of_an_unreported_history() -> None:
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    assert not history.note_history(A, 1.5)
    assert history.note_history(B, 2.0)  # the router of its writer has met a new primary
    mark = SessionMark(2.0, B, 120)
    old = history.record_answer("p", ReplicationStatus(True, 100, replid=A), 2.5, 2.51)
    assert old.position == 2.5 and not history.covers(old, mark)
    history.record_answer(
        "r", ReplicationStatus(True, 130, replid=B, replid2=A, second_offset=101), 3.0, 3.01
    )
    assert not history.note_history(B, 3.1)
    assert history.covers(ProvenFacts(True, 3.0, offset=130), mark) and not history.covers(
        ProvenFacts(False, 1.0, offset=100), mark
    )
    lost_track = ReplicationHistory()
    lost_track.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    assert lost_track.note_history(B, 2.0) and not lost_track.note_history(
        B, 2.0 + PRIMARY_SILENCE_TIMEOUT
    )  # no member reported it: it is lost
    late = lost_track.record_answer("p", ReplicationStatus(True, 100, replid=A), 9.0, 9.01)
    assert lost_track.covers(late, mark)


def test_the_number_of_unknown_histories_is_bounded() -> None:
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    for number in range(1000):
        history.note_history(f"{number:040x}", 2.0)
    assert len(history.unknown_histories) <= MAX_KNOWN_HISTORIES


def test_a_mark_of_two_histories_is_covered_by_a_member_that_has_both() -> None:
    """A session wrote before and after a promotion that this router has not heard of."""
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    history.note_history(B, 2.0)
    mark = history.merge_marks(SessionMark(1.5, A, 90), SessionMark(2.0, B, 120), 2.0)
    assert not history.covers(
        history.record_answer("p", ReplicationStatus(True, 100, replid=A), 2.5, 2.51), mark
    )
    assert history.required_position(mark, 3.0) == 2.0
    history.record_answer(
        "r", ReplicationStatus(True, 130, replid=B, replid2=A, second_offset=101), 3.0, 3.01
    )
    assert history.covers(ProvenFacts(True, 3.0, offset=130), mark) and not history.covers(
        ProvenFacts(False, 1.0, offset=110), mark
    )
    # which continues the other history
    assert history.merge_marks(mark, SessionMark(3.0, B, 130), 3.0) == SessionMark(3.0, B, 130)
    assert history.merge_marks(SessionMark(1.0, A, 5), SessionMark(1.0, A, 9), 3.0) == SessionMark(1.0, A, 9)


def test_a_mark_of_too_many_histories_becomes_one_of_the_present() -> None:
    history, mark = ReplicationHistory(), SessionMark(1.0, A, 1)
    for number in range(MAX_MARK_HISTORIES):
        mark = history.merge_marks(mark, SessionMark(1.0, f"{number:040x}", 1), 7.0)
    assert mark == SessionMark(7.0)


def test_a_member_whose_history_leaves_the_lineage_has_other_data() -> None:
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    history.record_answer("r", ReplicationStatus(False, 100, "p:1", replid=A), 1.1, 1.11)
    continued = history.record_answer(
        "r", ReplicationStatus(False, 100, "p:1", replid=B, replid2=A), 1.2, 1.21
    )
    assert continued.data_replaced is False
    history.record_answer("s", ReplicationStatus(False, 100, "p:1", replid=A), 1.1, 1.11)
    assert (
        history.record_answer(
            "s", ReplicationStatus(False, 100, "p:1", replid=C, replid2="0" * 40), 1.2, 1.21
        ).data_replaced
        is True
    )


def test_an_answer_to_an_earlier_question_does_not_set_a_member_back() -> None:
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    history.record_answer("r", ReplicationStatus(False, 100, "p:1", replid=A), 1.1, 1.2)
    # by ROLE, on another link
    late = history.record_answer("r", ReplicationStatus(False, 90, "p:1"), 1.15, 1.21)
    assert not late.history_unknown and not late.data_replaced and history.proven_position("r") == (1.0, 100)


def test_a_forgotten_member_proves_nothing_and_is_no_primary() -> None:
    history = ReplicationHistory()
    history.record_answer("p", ReplicationStatus(True, 100, replid=A), 1.0, 1.01)
    history.record_answer("r", ReplicationStatus(False, 100, "p:1", replid=A), 1.1, 1.11)
    history.forget("r")
    assert history.proven_position("r") == (None, None) and history.primary_member == "p"
    history.forget("p")
    assert (
        history.primary_member is None
        and history.record_answer("p", ReplicationStatus(True, 100), 1.2, 1.21).history_unknown
    )
