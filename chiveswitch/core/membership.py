"""Decides on the next change of the control members: a removal, or the promotion of a learner.

The leader asks while no other change is open. The decision depends on its arguments only.
"""

import enum


class Kind(enum.Enum):
    """Kind of a change."""

    REMOVE = "remove"
    PROMOTE = "promote"


class Member:
    """What the leader knows of a member.

    Attributes:
        member_id: Id of the member.
        is_voter: Whether it is a voter; otherwise it is a learner.
        silence: Seconds since its last response, or since the leader began to wait for one.
        age: Seconds for which this leader has tracked the member.
        is_caught_up: Whether it has stored the latest configuration, so that it was alive after a
            learner had come, has a nearly complete log and has responded lately.
        missing_entries: Number of committed entries that it is not known to have.
        is_stopping: Whether its process has announced that it stops.
    """

    __slots__ = (
        "member_id",
        "is_voter",
        "silence",
        "age",
        "is_caught_up",
        "missing_entries",
        "is_stopping",
    )

    def __init__(
        self,
        member_id: str,
        is_voter: bool,
        silence: float,
        age: float,
        is_caught_up: bool,
        missing_entries: int = 0,
        is_stopping: bool = False,
    ):
        self.member_id = member_id
        self.is_voter = is_voter
        self.silence = silence
        self.age = age
        self.is_caught_up = is_caught_up
        self.missing_entries = missing_entries
        self.is_stopping = is_stopping

    def has_responded(self) -> bool:
        """Returns whether the member has responded to this leader."""
        return self.silence < self.age

    def __repr__(self):
        role = "voter" if self.is_voter else "learner"
        return (
            f"{self.member_id} ({role}, silent {self.silence:.2f} s, "
            f"{self.missing_entries} entries behind)"
        )


class Change:
    """A change of the members.

    Attributes:
        kind: Kind of the change.
        member_id: Id of the member.
        reason: Why, for the log.
    """

    __slots__ = ("kind", "member_id", "reason")

    def __init__(self, kind: Kind, member_id: str, reason: str):
        self.kind = kind
        self.member_id = member_id
        self.reason = reason


def _spare_voters(voter_count: int, silent_count: int) -> int:
    """Returns how many more of the voters that are not silent may be lost."""
    return voter_count - silent_count - (voter_count // 2 + 1)


def choose_change(members: list[Member], join_waits: bool, settings) -> Change | None:
    """Returns the next change of the members, or None.

    A learner is the evidence that a silent voter is gone for good: the voter gives way to it after
    a short silence. Voters that are gone are removed before the learner becomes a voter, so that
    they do not add up. Neither kind of change reduces the number of voters that may still be lost.

    Args:
        members: All members, with the leader, whose silence is 0.
        join_waits: Whether another process asked to join and was refused because of a learner.
        settings: The `consensus.Settings`.
    """
    voters = [member for member in members if member.is_voter]
    learners = [member for member in members if not member.is_voter]
    min_voters = settings.min_voters()
    longest_silent = max(voters, key=lambda voter: voter.silence)
    silent_count = sum(voter.silence > settings.replacement_timeout for voter in voters)
    is_silent = silent_count > 0
    for learner in learners:
        if join_waits and learner.silence > settings.replacement_timeout:
            return Change(Kind.REMOVE, learner.member_id, "stopped catching up")
        if learner.silence > settings.member_timeout:
            return Change(Kind.REMOVE, learner.member_id, "unresponsive")
    if len(voters) > min_voters and is_silent:
        if any(learner.has_responded() for learner in learners):
            return Change(Kind.REMOVE, longest_silent.member_id, "replaced by a learner")
        if silent_count > settings.tolerated_losses:
            return Change(Kind.REMOVE, longest_silent.member_id, "more silent than may be lost")
        if longest_silent.silence > settings.member_timeout:
            return Change(Kind.REMOVE, longest_silent.member_id, "unresponsive")
        # The successor of a voter that has stopped may have become a voter before that.
        spare = _spare_voters(len(voters), silent_count)
        adds_margin = _spare_voters(len(voters) - 1, silent_count - 1) > spare
        if adds_margin and spare < settings.tolerated_losses:
            for voter in voters:
                if voter.is_stopping and voter.silence > settings.stopped_timeout:
                    return Change(Kind.REMOVE, voter.member_id, "stopped")
    for learner in learners:
        if not learner.is_caught_up:
            continue
        # Below the minimum, voters are removed only if a learner can take their place at once.
        if len(voters) == min_voters and is_silent:
            return Change(Kind.REMOVE, longest_silent.member_id, "replaced by a caught-up learner")
        is_clear = all(voter.is_caught_up for voter in voters)
        if is_clear or len(voters) < min_voters:
            return Change(Kind.PROMOTE, learner.member_id, "caught up")
    return None
