"""The hub of a process: publishes to all nodes what was reported to it.

Every control member is a hub. Each node watches every hub, so that a report reaches all nodes
without passing between hubs, also while the members are cut from each other. The work of an
ordinary node grows with the number of hubs and targets, not with the number of nodes.
"""

import asyncio
import secrets

import expression

from chiveswitch.core import clock, target_table
from chiveswitch.peers import strict

hub_thrift = strict.load("hub.thrift")

NODE_READY, NODE_DRAINING, NODE_GONE = range(3)
RUN_ACTIVE, RUN_ENDED = range(2)

# Longest time in seconds that a watch waits for news; it also shows that both ends live.
HOLD_SECONDS = 0.5
# Seconds without a watch after which a node counts as gone: two missed ones and a slow link.
NODE_SILENCE_SECONDS = 1.6
# Missed announcements after which a target counts as overdue.
OVERDUE_BEATS = 2.5
# Seconds after its last report for which an entry is published. Who learns of a loss later would
# avoid a healthy target.
KEPT_SECONDS_BY_KIND = {"targets": 60.0, "nodes": 30.0, "runs": 30.0, "losses": 0.6}
# Shortest time in seconds between two answers to one node, by number of nodes: reports of one
# interval share an answer, so that a hub's work for each report falls with the number of nodes.
BATCH_SECONDS_PER_NODE = 0.002
BATCH_MIN_SECONDS = 0.02
BATCH_MAX_SECONDS = 0.2
# Seconds between two looks for silent nodes and targets.
SWEEP_SECONDS = 0.5


class Entry:
    """One published report.

    Attributes:
        position: Rises with each change at this hub.
        kind: Name of the list of the answer that holds it.
        report: The thrift struct.
        heard_at: Time at which it was last heard of.
    """

    __slots__ = ("position", "kind", "report", "heard_at")

    def __init__(self, position, kind, report, heard_at):
        self.position = position
        self.kind = kind
        self.report = report
        self.heard_at = heard_at


class Members:
    """The hubs that a process knows.

    Attributes:
        index: Log index of the membership; the highest one is the latest.
        addresses: Peer addresses of the hubs.
    """

    __slots__ = ("index", "addresses")

    def __init__(self, index: int, addresses: list):
        self.index = index
        self.addresses = addresses


class PublishedBundle:
    """The route bundle in force as far as a process knows.

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
    """Entries that this process has heard of, and the watches that wait for changes.

    Attributes:
        incarnation: Drawn at the start; positions of different incarnations do not compare.
        position: Position of the latest change.
        members: Function that returns the `Members`.
        published: Function that returns the `PublishedBundle`.
        is_member: Function that says whether this process is a hub.
        on_change: Called with a changed entry, for the process's own view.
    """

    __slots__ = (
        "incarnation",
        "position",
        "members",
        "published",
        "is_member",
        "on_change",
        "_heartbeat_s",
        "_entry_by_key",
        "_waiting",
        "_now",
        "_wake_timer",
    )

    def __init__(self, heartbeat_s: float, members, published, is_member, on_change, now=clock.now):
        self.incarnation = secrets.randbits(62)
        self.position = 0
        self.members = members
        self.published = published
        self.is_member = is_member
        self.on_change = on_change
        self._heartbeat_s = heartbeat_s
        self._entry_by_key = {}
        self._waiting = set()
        self._now = now
        self._wake_timer = None

    # Reports.

    def record_target_report(self, report):
        """Takes a target's announcement; old ones change nothing.

        Args:
            report: A TargetReport of `hub_thrift`.
        """
        key = ("targets", report.target_id)
        known = self._entry_by_key.get(key)
        if known is not None:
            old, new = to_table_report(known.report), to_table_report(report)
            if old.supersedes(new):
                return
            known.heard_at = self._now()
            same = (old.state, old.address, old.service, old.born_ms) == (
                new.state,
                new.address,
                new.service,
                new.born_ms,
            )
            if same and not old.overdue:
                known.report.sequence = report.sequence
                return
        self._put(key, "targets", report)

    def record_node_report(self, report):
        """Takes what a node says of itself with each watch."""
        key = ("nodes", report.name)
        known = self._entry_by_key.get(key)
        if known is not None:
            # A process that starts after its machine's time of day was set back has a lower number
            # than the one before, which is gone then.
            is_older = known.report.incarnation > report.incarnation
            if is_older and known.report.state != NODE_GONE:
                return
            if known.report == report:
                known.heard_at = self._now()
                return
        self._put(key, "nodes", report)

    def record_run_report(self, report):
        """Takes the place of a run; older reports of the run change nothing."""
        key = ("runs", report.run_id)
        known = self._entry_by_key.get(key)
        if known is not None and known.report.node == report.node:
            if known.report.sequence >= report.sequence:
                return
        self._put(key, "runs", report)

    def record_loss_report(self, report):
        """Takes that a gateway has lost a target; reports of one moment count once."""
        key = ("losses", report.target_id)
        known = self._entry_by_key.get(key)
        if known is None or self._now() - known.heard_at > KEPT_SECONDS_BY_KIND["losses"] / 2:
            self._put(key, "losses", report)

    def _put(self, key, kind, report):
        self.position += 1
        # Entries stay in the order of their positions.
        self._entry_by_key.pop(key, None)
        entry = Entry(self.position, kind, report, self._now())
        self._entry_by_key[key] = entry
        self.on_change(entry)
        self.schedule_watch_answers()

    def schedule_watch_answers(self):
        """Answers the waiting watches soon, together with what follows at once."""
        if self._wake_timer is None and self._waiting:
            nodes = len(self._waiting)
            pause = min(BATCH_MAX_SECONDS, max(BATCH_MIN_SECONDS, nodes * BATCH_SECONDS_PER_NODE))
            self._wake_timer = asyncio.get_running_loop().call_later(pause, self._wake_now)

    def _wake_now(self):
        self._wake_timer = None
        for future in self._waiting:
            if not future.done():
                future.set_result(None)
        self._waiting.clear()

    def sweep(self):
        """Publishes that nodes and targets are silent, and drops old entries."""
        now = self._now()
        for key, entry in list(self._entry_by_key.items()):
            silence = now - entry.heard_at
            if silence > KEPT_SECONDS_BY_KIND[entry.kind]:
                del self._entry_by_key[key]
                continue
            changed = self._after_silence(entry, silence)
            if changed is None:
                continue
            self._put(key, entry.kind, changed)
            self._entry_by_key[key].heard_at = entry.heard_at

    def _after_silence(self, entry, silence):
        """Returns the changed report of a target or node that has fallen silent, or None."""
        report = entry.report
        if entry.kind == "targets":
            late = silence > OVERDUE_BEATS * self._heartbeat_s
            if late and not report.overdue and report.state != target_table.GONE:
                return hub_thrift.TargetReport(**{**vars(report), "overdue": True})
        elif entry.kind == "nodes":
            if silence > NODE_SILENCE_SECONDS and report.state != NODE_GONE:
                return hub_thrift.NodeReport(**{**vars(report), "state": NODE_GONE})
        return None

    async def run_sweeps(self):
        """Sweeps until it is cancelled."""
        swept_at = self._now()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            late = self._now() - swept_at - SWEEP_SECONDS
            swept_at = self._now()
            if late > SWEEP_SECONDS:
                # The process itself was suspended: others did not fall silent in that time.
                for entry in self._entry_by_key.values():
                    entry.heard_at += late
                continue
            self.sweep()

    # Watches.

    def record_watch_reports(self, watch):
        """Takes the runs and losses that a node reports."""
        for report in watch.runs:
            self.record_run_report(report)
        for report in watch.losses:
            self.record_loss_report(report)

    async def serve_watch(self, payload: bytes, _trace: str) -> expression.Result:
        """Answers a watch as soon as there is news for the node, or after `HOLD_SECONDS`."""
        decoded = strict.decode(hub_thrift.Watch, payload)
        if decoded.is_error():
            return decoded
        watch = decoded.ok
        members = self.members()
        if not self.is_member():
            return expression.Ok(strict.encode(self._answer(watch, members, False)))
        self.record_node_report(watch.node)
        self.record_watch_reports(watch)
        if not self._has_news(watch):
            future = asyncio.get_running_loop().create_future()
            self._waiting.add(future)
            try:
                async with asyncio.timeout(HOLD_SECONDS):
                    await future
            except TimeoutError:
                pass
            finally:
                self._waiting.discard(future)
        return expression.Ok(strict.encode(self._answer(watch, self.members(), True)))

    def _has_news(self, watch):
        known = watch.hub_incarnation == self.incarnation
        if not known or watch.position < self.position:
            return True
        return self.published().version > watch.known_version

    def _answer(self, watch, members, is_hub):
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
        )
        if watch.wants_bundle and published.version > watch.known_version:
            answer.content = published.content
            answer.signature = published.signature
        if not is_hub:
            return answer
        position = watch.position if watch.hub_incarnation == self.incarnation else -1
        for entry in reversed(self._entry_by_key.values()):
            if entry.position <= position:
                break
            getattr(answer, entry.kind).append(entry.report)
        return answer


def to_table_report(record) -> target_table.Report:
    """Returns the table's record of a TargetReport."""
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
    )
