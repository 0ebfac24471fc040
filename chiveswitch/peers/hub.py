"""The hub of a process: collects reports about targets, nodes and runs and publishes them to nodes.

Every control member is a hub. Each node watches every hub by long polling, so that a report reaches
all nodes without passing between hubs, also while a network partition separates the members. The
work of an ordinary node grows with the number of hubs and targets, not with the number of nodes.
"""

import asyncio
import collections
import logging
import math
import secrets

import expression

from chiveswitch.core import clock, prompt_quarantine, rate_limits, target_table
from chiveswitch.peers import strict

log = logging.getLogger("chiveswitch.peers")

hub_thrift = strict.load("hub.thrift")

MS_PER_SECOND = 1000.0

NODE_READY, NODE_DRAINING, NODE_GONE = range(3)
RUN_ACTIVE, RUN_ENDED, RUN_INTERRUPTED = range(3)

# Longest time that a hub holds a watch without changes before it answers. The answer also serves as
# a heartbeat between node and hub.
LONG_POLL_SECONDS = 0.5
# Longest time for which a watch is held if the node lacks a bundle whose version it has been told.
# It then asks this hub for the bundle unless another one has sent it.
PENDING_POLL_SECONDS = 0.3
# A node that sent no watch for this long counts as gone: long enough for two missed watches and the
# delay of a slow link.
NODE_TIMEOUT_SECONDS = 1.6
# Rate of the slowest links for which that timeout is extended while a bundle is transferred.
SLOW_LINK_BYTES_PER_SECOND = 250_000.0
# Heartbeat intervals without an announcement after which a target counts as overdue.
OVERDUE_INTERVALS = 2.5
# Time for which an entry stays published after its last report. A loss is kept briefly, since a
# node that reads it later would avoid a target that is healthy again.
RETENTION_SECONDS_BY_KIND = {
    "targets": 60.0,
    "nodes": 30.0,
    "runs": 30.0,
    "losses": 0.6,
    "prompts": prompt_quarantine.EVIDENCE_SECONDS,
    "limits": rate_limits.EXPIRY_SECONDS,
}
# Kinds whose reports state the age of what they report, and the fields with ages in milliseconds.
AGED_KINDS = frozenset(("prompts", "limits"))
AGE_FIELDS = ("age_ms", "since_ms")
# Reports of prompts beyond this number replace the oldest ones.
MAX_PROMPT_REPORTS = 1000
OUTCOMES = frozenset(int(outcome) for outcome in prompt_quarantine.Outcome)
# Shortest time between two published reports that confirm a target's limit.
LIMIT_INTERVAL_SECONDS = rate_limits.CONFIRM_SECONDS / 2
# Shortest time between two published reports that responses with a part of a prompt begin.
BEGINNING_INTERVAL_SECONDS = 0.5
# Delay between a change and the answers to the waiting watches: BATCH_SECONDS_PER_NODE for each of
# them, but at least BATCH_MIN_SECONDS and at most BATCH_MAX_SECONDS. Reports that arrive during the
# delay share an answer, so that a hub's work for each report falls as the number of nodes grows.
BATCH_SECONDS_PER_NODE = 0.002
BATCH_MIN_SECONDS = 0.02
BATCH_MAX_SECONDS = 0.2
MAX_LOGGED_LENGTH = 200
# Interval between checks for nodes and targets that no longer report.
SWEEP_INTERVAL_SECONDS = 0.5


class Entry:
    """One published report.

    Attributes:
        position: Number of the change that stored the entry; each change at this hub raises it.
        kind: Name of the field of WatchAnswer that lists reports of this kind.
        report: The thrift struct.
        last_report_at: Time of the last report about the subject, in seconds of the hub's clock.
        confirmed_state: State of a leaving target that enough other hubs have stored, or None.
    """

    __slots__ = ("position", "kind", "report", "last_report_at", "confirmed_state")

    def __init__(self, position, kind, report, last_report_at):
        self.position = position
        self.kind = kind
        self.report = report
        self.last_report_at = last_report_at
        self.confirmed_state = None


class Members:
    """The hubs according to the latest membership that a process has seen.

    Attributes:
        index: Log index of the membership; a higher index is later.
        addresses: Peer addresses of the hubs.
    """

    __slots__ = ("index", "addresses")

    def __init__(self, index: int, addresses: list):
        self.index = index
        self.addresses = addresses


class PublishedBundle:
    """The latest route bundle in force that a process has seen.

    Attributes:
        version: Its version, 0 for none.
        content: Its encoded content.
        signature: Signature over the content.
    """

    __slots__ = ("version", "content", "signature")

    def __init__(self, version: int = 0, content: bytes = b"", signature: bytes = b""):
        self.version = version
        self.content = content
        self.signature = signature


class Hub:
    """The reports that this process has received, and the watches that wait for changes.

    Attributes:
        incarnation: Random number drawn at the start; positions of different incarnations are not
            comparable.
        position: Position of the latest change.
        leave_position: Position of the latest change that a target drains or has gone.
        now: Clock in seconds.
        members: Function that returns the `Members`.
        published: Function that returns the `PublishedBundle`.
        is_member: Function that returns whether this process is a control member and thus a hub.
        on_change: Called with each new or changed `Entry`, to update the process's own view.
        rollouts: Function that returns the RolloutStates of `hub_thrift` to publish, or None if
            there are none or the process does not know the present ones.
    """

    __slots__ = (
        "incarnation",
        "position",
        "leave_position",
        "now",
        "members",
        "published",
        "is_member",
        "on_change",
        "rollouts",
        "_heartbeat_s",
        "_entry_by_key",
        "_watch_futures",
        "_announced_version_by_node",
        "_prompt_keys",
        "_answer_timer",
    )

    def __init__(self, heartbeat_s: float, members, published, is_member, on_change, now=clock.now):
        """Creates a hub without reports; further arguments are the attributes of the same name.

        Args:
            heartbeat_s: Seconds between two announcements of a target.
        """
        self.incarnation = secrets.randbits(62)
        self.position = 0
        self.leave_position = 0
        self.now = now
        self.members = members
        self.published = published
        self.is_member = is_member
        self.on_change = on_change
        self.rollouts = lambda: None
        self._heartbeat_s = heartbeat_s
        self._entry_by_key = {}
        self._watch_futures = set()
        self._announced_version_by_node = {}
        # Keys of prompt reports, the oldest one first.
        self._prompt_keys = collections.deque()
        self._answer_timer = None

    # Recording of reports.

    def record_target_report(self, report, is_listed: bool = True):
        """Records a target's announcement, unless the stored one supersedes it.

        An announcement that repeats the stored state is not published if it is listed; it only
        updates the stored sequence number and time of the last report.

        Args:
            report: A TargetReport of `hub_thrift`.
            is_listed: Whether this process's own target table agrees with the report.
        """
        key = ("targets", report.target_id)
        stored = self._entry_by_key.get(key)
        if stored is not None:
            old, new = to_table_report(stored.report), to_table_report(report)
            if new.is_from_sender_of(old) and new.state == old.state:
                # A lower number is a sign of life, too: another sender may have used a higher one.
                report.sequence = max(report.sequence, old.sequence)
            elif not new.replaces(old, old.overdue):
                return
            stored.last_report_at = self.now()
            if new.is_from_sender_of(old):
                report.version = report.version or stored.report.version
            is_unchanged = (old.state, old.address, old.service, old.born_ms, old.version) == (
                new.state,
                new.address,
                new.service,
                new.born_ms,
                report.version or "",
            )
            if is_unchanged and not old.overdue and is_listed:
                stored.report.sequence = report.sequence
                return
        self._put(key, "targets", report)

    def confirm_leave(self, report):
        """Records that enough other hubs have stored the leave of a target."""
        entry = self._entry_by_key.get(("targets", report.target_id))
        if entry is not None and entry.report.born_ms == report.born_ms:
            entry.confirmed_state = report.state

    def is_leave_confirmed(self, report) -> bool:
        """Returns whether `confirm_leave` was called for the state that a report repeats."""
        entry = self._entry_by_key.get(("targets", report.target_id))
        if entry is None or entry.report.born_ms != report.born_ms:
            return False
        return entry.confirmed_state == report.state == entry.report.state

    def leave_entries(self) -> list[Entry]:
        """Returns the entries of targets that drain or have gone."""
        return [
            entry
            for entry in self._entry_by_key.values()
            if entry.kind == "targets" and entry.report.state != target_table.READY
        ]

    def record_node_report(self, report):
        """Records the NodeReport that a node sends with each watch."""
        key = ("nodes", report.name)
        stored = self._entry_by_key.get(key)
        if stored is not None:
            # Incarnations come from the time of day. A process that starts after its machine's time
            # of day was set back has a lower number than its predecessor, whose state is then GONE.
            is_older = stored.report.incarnation > report.incarnation
            if is_older and stored.report.state != NODE_GONE:
                return
            if stored.report == report:
                # The time may lie ahead; see `_expect_transfer`.
                stored.last_report_at = max(stored.last_report_at, self.now())
                return
        self._put(key, "nodes", report)

    def record_run_report(self, report):
        """Records a run's target and state unless the same node's stored report is not older."""
        key = ("runs", report.run_id)
        stored = self._entry_by_key.get(key)
        if stored is not None and stored.report.node == report.node:
            if stored.report.sequence >= report.sequence:
                return
        self._put(key, "runs", report)

    def record_loss_report(self, report):
        """Records that a gateway lost a target; reports in short succession are published once."""
        key = ("losses", report.target_id)
        stored = self._entry_by_key.get(key)
        if (
            stored is None
            or self.now() - stored.last_report_at > RETENTION_SECONDS_BY_KIND["losses"] / 2
        ):
            self._put(key, "losses", report)

    def record_prompt_report(self, report):
        """Records what happened to a prompt at an engine.

        A crash is published once for each engine and request, and the beginning of responses with
        the same part at intervals.

        Args:
            report: A PromptReport of `hub_thrift`, whose age is counted from now.
        """
        if not report.parts or report.outcome not in OUTCOMES:
            return
        happened_at = self.now() - report.age_ms / MS_PER_SECOND
        if report.outcome == prompt_quarantine.Outcome.BEGAN:
            key = ("prompts", *report.parts)
            interval_s = BEGINNING_INTERVAL_SECONDS
        else:
            key = ("prompts", report.target_id, report.parts[-1])
            interval_s = RETENTION_SECONDS_BY_KIND["prompts"]
        stored = self._entry_by_key.get(key)
        if stored is not None and happened_at - stored.last_report_at < interval_s:
            return
        if stored is None:
            self._prompt_keys.append(key)
        if len(self._prompt_keys) > MAX_PROMPT_REPORTS:
            self._entry_by_key.pop(self._prompt_keys.popleft(), None)
        self._put(key, "prompts", report)
        self._entry_by_key[key].last_report_at = happened_at

    def record_limit_report(self, report):
        """Records what a response of a target said about its limit, unless a later one is known.

        Reports that confirm an unchanged limit are published at intervals.

        Args:
            report: A LimitReport of `hub_thrift`, whose ages are counted from now.
        """
        if not 0 <= report.rate < math.inf:
            return
        key = ("limits", report.target_id)
        happened_at = self.now() - report.age_ms / MS_PER_SECOND
        stored = self._entry_by_key.get(key)
        if stored is not None:
            known = stored.report
            if (known.born_ms, stored.last_report_at) >= (report.born_ms, happened_at):
                return
            known_content = (known.born_ms, known.limited, known.rate)
            is_unchanged = known_content == (report.born_ms, report.limited, report.rate)
            if is_unchanged and happened_at - stored.last_report_at < LIMIT_INTERVAL_SECONDS:
                return
        self._put(key, "limits", report)
        self._entry_by_key[key].last_report_at = happened_at

    def _put(self, key, kind, report):
        self.position += 1
        if kind == "targets" and report.state != target_table.READY:
            self.leave_position = self.position
        # The dict keeps the order of insertion, so that entries stay sorted by position.
        self._entry_by_key.pop(key, None)
        entry = Entry(self.position, kind, report, self.now())
        self._entry_by_key[key] = entry
        self.on_change(entry)
        self.schedule_watch_answers()

    def publish_rollouts(self):
        """Answers all watches after a change of the orders, which each answer lists in full."""
        self.position += 1
        self.schedule_watch_answers()

    def schedule_watch_answers(self):
        """Answers all waiting watches after a delay, in which further changes are collected."""
        if self._answer_timer is None and self._watch_futures:
            node_count = len(self._watch_futures)
            delay = min(
                BATCH_MAX_SECONDS, max(BATCH_MIN_SECONDS, node_count * BATCH_SECONDS_PER_NODE)
            )
            self._answer_timer = asyncio.get_running_loop().call_later(delay, self._answer_watches)

    def _answer_watches(self):
        self._answer_timer = None
        for future in self._watch_futures:
            if not future.done():
                future.set_result(None)
        self._watch_futures.clear()

    def sweep(self):
        """Marks silent nodes as gone and silent targets as overdue, and drops expired entries."""
        now = self.now()
        for key, entry in list(self._entry_by_key.items()):
            silence = now - entry.last_report_at
            if silence > RETENTION_SECONDS_BY_KIND[entry.kind]:
                del self._entry_by_key[key]
                if entry.kind == "nodes":
                    self._announced_version_by_node.pop(entry.report.name, None)
                continue
            changed = self._report_after_silence(entry, silence)
            if changed is None:
                continue
            self._put(key, entry.kind, changed)
            self._entry_by_key[key].last_report_at = entry.last_report_at

    def _report_after_silence(self, entry, silence):
        """Returns the report that marks a newly silent target or node, or None otherwise."""
        report = entry.report
        if entry.kind == "targets":
            is_overdue = silence > OVERDUE_INTERVALS * self._heartbeat_s
            if is_overdue and not report.overdue and report.state != target_table.GONE:
                return hub_thrift.TargetReport(**{**vars(report), "overdue": True})
        elif entry.kind == "nodes":
            if silence > NODE_TIMEOUT_SECONDS and report.state != NODE_GONE:
                return hub_thrift.NodeReport(**{**vars(report), "state": NODE_GONE})
        return None

    async def run_sweeps(self):
        """Calls `sweep` at intervals until cancelled."""
        swept_at = self.now()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            overrun = self.now() - swept_at - SWEEP_INTERVAL_SECONDS
            swept_at = self.now()
            if overrun > SWEEP_INTERVAL_SECONDS:
                # The process itself was suspended and could not receive reports. That time does not
                # count as silence of the nodes and targets.
                for entry in self._entry_by_key.values():
                    entry.last_report_at += overrun
                continue
            self.sweep()

    # Serving of watches.

    def record_watch_reports(self, watch):
        """Records the run and loss reports in a node's Watch."""
        for report in watch.runs:
            self.record_run_report(report)
        for report in watch.losses:
            self.record_loss_report(report)

    async def serve_watch(self, payload: bytes, _trace: str) -> expression.Result:
        """Answers a watch once there is a change for the node, or after `LONG_POLL_SECONDS`.

        Args:
            payload: Encoded Watch.

        Returns:
            Ok with the encoded WatchAnswer, or FRAME_INVALID. A process that is no hub answers
            immediately and names the hubs.
        """
        decoded = strict.decode(hub_thrift.Watch, payload)
        if decoded.is_error():
            return decoded
        watch = decoded.ok
        members = self.members()
        if not self.is_member():
            return expression.Ok(strict.encode(self._build_answer(watch, members, False)))
        self.record_node_report(watch.node)
        self.record_watch_reports(watch)
        if not self._has_changes_for(watch):
            future = asyncio.get_running_loop().create_future()
            self._watch_futures.add(future)
            is_pending = self.published().version > watch.known_version
            try:
                async with asyncio.timeout(
                    PENDING_POLL_SECONDS if is_pending else LONG_POLL_SECONDS
                ):
                    await future
            except TimeoutError:
                pass
            finally:
                self._watch_futures.discard(future)
        self._announced_version_by_node[watch.node.name] = self.published().version
        answer = self._build_answer(watch, self.members(), True)
        self._expect_transfer(watch.node.name, len(answer.content))
        try:
            return expression.Ok(strict.encode(answer))
        # An entry that cannot be encoded must not keep the others from all nodes.
        except Exception:
            self._drop_unencodable()
        return expression.Ok(strict.encode(self._build_answer(watch, self.members(), True)))

    def _drop_unencodable(self):
        for key, entry in list(self._entry_by_key.items()):
            try:
                report = self._aged_report(entry) if entry.kind in AGED_KINDS else entry.report
                strict.encode(report)
            except Exception as error:
                del self._entry_by_key[key]
                log.warning(
                    "peers: dropped an entry that cannot be encoded: %r %r",
                    error,
                    repr(entry.report)[:MAX_LOGGED_LENGTH],
                )

    def _expect_transfer(self, node_name, size):
        """Extends the timeout of a node, whose next watch comes after it has received a bundle."""
        entry = self._entry_by_key.get(("nodes", node_name))
        if entry is not None and size:
            entry.last_report_at = self.now() + size / SLOW_LINK_BYTES_PER_SECOND

    def _has_changes_for(self, watch):
        is_same_incarnation = watch.hub_incarnation == self.incarnation
        if not is_same_incarnation or watch.position < self.position:
            return True
        known_version = watch.known_version
        if not watch.wants_bundle:
            announced_version = self._announced_version_by_node.get(watch.node.name, 0)
            known_version = max(known_version, announced_version)
        return self.published().version > known_version

    def _build_answer(self, watch, members, is_hub):
        published = self.published()
        answer = hub_thrift.WatchAnswer(
            is_hub=is_hub,
            hub_incarnation=self.incarnation,
            position=self.position,
            members_index=members.index,
            hubs=members.addresses,
            version=published.version,
            content=b"",
            signature=b"",
            targets=[],
            nodes=[],
            runs=[],
            losses=[],
            prompts=None,
            limits=None,
            rollouts=None,
        )
        if watch.wants_bundle and published.version > watch.known_version:
            answer.content = published.content
            answer.signature = published.signature
        if not is_hub:
            return answer
        answer.rollouts = self.rollouts()
        position = watch.position if watch.hub_incarnation == self.incarnation else -1
        for entry in reversed(self._entry_by_key.values()):
            if entry.position <= position:
                break
            if entry.kind not in AGED_KINDS:
                getattr(answer, entry.kind).append(entry.report)
                continue
            # These fields are missing if there are no such reports, as in earlier versions.
            if getattr(answer, entry.kind) is None:
                setattr(answer, entry.kind, [])
            getattr(answer, entry.kind).append(self._aged_report(entry))
        return answer

    def _aged_report(self, entry):
        age_ms = int((self.now() - entry.last_report_at) * MS_PER_SECOND)
        return add_age(entry.report, max(0, age_ms) - entry.report.age_ms)


def add_age(report, more_ms: int):
    """Returns a PromptReport or LimitReport of `hub_thrift` with higher ages, in milliseconds."""
    fields = dict(vars(report))
    for name in AGE_FIELDS:
        if name in fields:
            fields[name] += more_ms
    return type(report)(**fields)


def from_table_report(report: target_table.Report):
    """Returns the TargetReport of `hub_thrift` of a `target_table.Report`."""
    return hub_thrift.TargetReport(
        target_id=report.target_id,
        service_name=report.service,
        address=report.address,
        availability_zone=report.availability_zone,
        slots=report.slots,
        state=report.state,
        born_ms=report.born_ms,
        sequence=report.sequence,
        overdue=report.overdue,
        version=report.version or None,
    )


def to_table_report(record) -> target_table.Report:
    """Returns the `target_table.Report` of a TargetReport of `hub_thrift`."""
    return target_table.Report(
        target_id=record.target_id,
        service=record.service_name,
        address=record.address,
        availability_zone=record.availability_zone,
        slots=record.slots,
        state=record.state,
        born_ms=record.born_ms,
        sequence=record.sequence,
        overdue=record.overdue,
        version=record.version or "",
    )
