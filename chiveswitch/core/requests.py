"""One open generation at its owner: joins the generation machine to the journal's owner."""

import collections

from chiveswitch.core import gateway_messages as outward
from chiveswitch.core import generation_messages as inner
from chiveswitch.core import journal, replication


class OpenRequest:
    """A generation that this gateway owns.

    Attributes:
        key: Tuple (account, request id).
        pinned: `headers.Pinned`.
        owner: `replication.Owner` of the journal.
        machine: `generation.Generation`.
        timer: Time of the machine's next tick, in seconds, or None.
        entry_by_attempt: Directory entry of the target of each attempt in progress.
    """

    __slots__ = (
        "key",
        "pinned",
        "owner",
        "machine",
        "timer",
        "entry_by_attempt",
        "_store",
        "_core",
        "_own",
        "_note",
        "_note_number",
        "_note_by_number",
        "_committed_note",
        "_generation_by_reader",
    )

    def __init__(self, key, pinned, owner, machine, core):
        self.key = key
        self.pinned = pinned
        self.owner = owner
        self.machine = machine
        self.timer = None
        self.entry_by_attempt = {}
        self._core = core
        self._store = core.store
        self._own = core.epochs.holder
        attempt = owner.attempt
        self._note = "" if attempt is None else attempt.engine
        self._note_number = 0 if attempt is None else attempt.number
        self._note_by_number = {}
        self._committed_note = self._note
        self._generation_by_reader = {}

    def handle(self, event, now: float, actions: list):
        """Handles an event of the generation machine.

        Args:
            event: An event of `generation_messages`.
            now: Seconds on the gateway's clock.
            actions: List that the resulting `gateway_messages` actions are appended to.
        """
        kind = type(event)
        if kind is inner.ReaderLeft:
            self._generation_by_reader.pop(event.reader, None)
        elif kind in (inner.Ended, inner.Failed):
            self._core.attempt_finished(self, event.attempt, now)
        self._run(self.machine.handle(event, now), now, actions)

    def owner_event(self, event, now: float, actions: list):
        """Handles an event of the journal's owner, such as `replication.Received`."""
        self._run(self._owner_actions(self.owner.handle(event, now), now, actions), now, actions)

    def owner_actions(self, results, now: float, actions: list):
        """Executes actions that the owner returned elsewhere, such as at a takeover."""
        self._run(self._owner_actions(results, now, actions), now, actions)

    def release_journal(self, now: float, actions: list):
        """Drops the journal at all its holders."""
        version = self.owner.config.version
        for holder in self.owner.config.members():
            message = journal.Release(self.key, self.owner.epoch, version, finished=True)
            if holder == self._own:
                self._store.handle(message, now)
                continue
            actions.append(outward.SendJournal(holder, message))

    def answer_name(self, generation: int) -> str:
        """Returns the first part of event ids of a generation."""
        return f"{generation}.{self.pinned.answer}"

    def attempt_id(self, number: int) -> str:
        """Returns the id of an attempt at engines, which is unique over all requests."""
        return f"{self.pinned.answer}-{number}"

    def _run(self, results, now, actions):
        pending = collections.deque(results)
        while pending:
            action = pending.popleft()
            kind = type(action)
            if kind is inner.AppendJournal:
                pending.extend(self._append(action, now, actions))
            elif kind is inner.Deliver:
                self._announce(action.reader, action.generation, actions)
                actions.append(
                    outward.ReaderTokens(
                        self.key,
                        action.reader,
                        self.answer_name(action.generation),
                        action.generation,
                        action.offset,
                        action.tokens,
                    )
                )
            else:
                pending.extend(HANDLER_BY_ACTION[kind](self, action, now, actions) or ())

    def _append(self, action, now, actions):
        note = None
        if action.note != self._note:
            self._note = action.note
            self._note_number += 1
            self._note_by_number[self._note_number] = action.note
            note = journal.Attempt(action.note, self._note_number)
        owner = self.owner
        if action.generation != owner.generation:
            event = replication.GenerationStarted(action.generation, note)
            return self._owner_actions(owner.handle(event, now), now, actions)
        end = action.offset + len(action.tokens) if action.end else None
        return self._owner_actions(owner.append(action.tokens, end, note, now), now, actions)

    def _owner_actions(self, results, now, actions):
        """Executes the owner's actions and returns those of the generation machine."""
        returned = []
        pending = collections.deque(results)
        while pending:
            action = pending.popleft()
            kind = type(action)
            if kind is replication.Send:
                if action.to != self._own:
                    actions.append(outward.SendJournal(action.to, action.message))
                    continue
                for reply in self._store.handle(action.message, now):
                    if type(reply) is journal.Accepted:
                        pending.extend(self.owner.acknowledge(self._own, reply, now))
                    else:
                        pending.extend(
                            self.owner.handle(replication.Received(self._own, reply), now)
                        )
            elif kind is replication.Committed:
                returned.extend(
                    self.machine.handle(
                        inner.JournalCommitted(
                            action.generation,
                            action.length,
                            action.end is not None,
                            self.note_committed(),
                        ),
                        now,
                    )
                )
            elif kind is replication.SteppedDown:
                returned.extend(self.machine.handle(inner.OwnershipLost(), now))
            elif kind is replication.ConfigInForce:
                actions.append(outward.Count({"journal_holder_changes": 1}))
        return returned

    def note_committed(self) -> str:
        """Returns the latest attempt note that a majority of the holders has."""
        number = self.owner.committed_attempt
        if self._note_by_number and number in self._note_by_number:
            self._committed_note = self._note_by_number[number]
            for old in [old for old in self._note_by_number if old <= number]:
                del self._note_by_number[old]
        return self._committed_note

    def _announce(self, reader, generation, actions):
        if self._generation_by_reader.get(reader) == generation:
            return
        self._generation_by_reader[reader] = generation
        actions.append(
            outward.ReaderGeneration(
                self.key,
                reader,
                self.answer_name(generation),
                generation,
                self._core.sampling_seed(self, generation),
            )
        )

    def _choose(self, action, now, actions):
        entry = self._core.choose_target(self, action, now)
        if entry is None:
            return self.machine.handle(inner.NoTarget(action.choice), now)
        return self.machine.handle(inner.TargetChosen(action.choice, entry.description.id), now)

    def _start_attempt(self, action, now, actions):
        if not self._core.directory.is_usable(action.target, now):
            # The target was chosen some time ago: the attempt's number had to be committed first.
            failed = inner.Failed(action.attempt, 0, inner.Kind.NOT_RUN, 0)
            return self.machine.handle(failed, now)
        address = self._core.attempt_started(self, action.attempt, action.target, now)
        header = self.pinned.header
        actions.append(
            outward.OpenStream(
                self.key,
                action.attempt,
                address,
                {
                    "attempt_id": self.attempt_id(action.attempt),
                    "model": header.model,
                    "adapter": header.adapter,
                    "version": header.version,
                    "prompt": header.prompt,
                    "seed": action.seed,
                    "max_tokens": header.max_tokens,
                    "priority": self._core.engine_priority(self.pinned, action.resumed),
                    "prefix": action.prefix,
                },
            )
        )
        return ()

    def _reattach(self, action, now, actions):
        address = self._core.target_address(action.target)
        actions.append(
            outward.ReattachStream(
                self.key,
                action.attempt,
                action.link,
                address,
                self.attempt_id(action.attempt),
                action.offset,
            )
        )

    def _cancel(self, action, now, actions):
        self._core.attempt_finished(self, action.attempt, now)
        address = self._core.target_address(action.target)
        actions.append(
            outward.CancelStream(self.key, action.attempt, address, self.attempt_id(action.attempt))
        )

    def _deliver_generation(self, action, now, actions):
        self._announce(action.reader, action.generation, actions)

    def _deliver_end(self, action, now, actions):
        self._announce(action.reader, action.generation, actions)
        self._generation_by_reader.pop(action.reader, None)
        name = self.answer_name(action.generation)
        actions.append(outward.ReaderEnd(self.key, action.reader, name, action.final_offset))

    def _fail(self, action, now, actions):
        self._generation_by_reader.pop(action.reader, None)
        actions.append(outward.ReaderFail(action.reader, action.code, action.message))

    def _set_timer(self, action, now, actions):
        self.timer = action.at

    def _count(self, action, now, actions):
        actions.append(outward.Count(action.amount_by_name))

    def _finished(self, action, now, actions):
        self._core.request_finished(self, action.code, now, actions)

    def _release(self, action, now, actions):
        self._core.request_released(self, now, actions)


HANDLER_BY_ACTION = {
    inner.ChooseTarget: OpenRequest._choose,
    inner.StartAttempt: OpenRequest._start_attempt,
    inner.Reattach: OpenRequest._reattach,
    inner.CancelAttempt: OpenRequest._cancel,
    inner.DeliverGeneration: OpenRequest._deliver_generation,
    inner.DeliverEnd: OpenRequest._deliver_end,
    inner.Fail: OpenRequest._fail,
    inner.SetTimer: OpenRequest._set_timer,
    inner.Count: OpenRequest._count,
    inner.Finished: OpenRequest._finished,
    inner.Release: OpenRequest._release,
}
