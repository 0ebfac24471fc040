"""Connects the state machine of an open generation to the owner of its journal.

An action of one that concerns the other is executed here. All other actions become
`gateway_messages` for the gateway.
"""

import collections

from chiveswitch.core import gateway_messages, generation_messages, journal, replication


class OpenRequest:
    """A generation that this gateway owns.

    Attributes:
        key: Tuple (account, request id).
        pinned: `headers.PinnedRequest`.
        owner: `replication.Owner` of the journal.
        machine: `generation.Generation`.
        timer: Time of the machine's next tick, in seconds on the gateway's clock, or None.
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
        "_own_gateway",
        "_attempt_note",
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
        self._own_gateway = core.epochs.holder
        attempt = owner.attempt
        self._attempt_note = "" if attempt is None else attempt.engine
        self._note_number = 0 if attempt is None else attempt.number
        self._note_by_number = {}
        self._committed_note = self._attempt_note
        self._generation_by_reader = {}

    def handle(self, event, now: float, actions: list):
        """Handles an event of the generation machine.

        Args:
            event: An event of `generation_messages`.
            now: Seconds on the gateway's clock.
            actions: List that the resulting `gateway_messages` actions are appended to.
        """
        kind = type(event)
        if kind is generation_messages.ReaderDisconnected:
            self._generation_by_reader.pop(event.reader, None)
        elif kind in (generation_messages.StreamEnded, generation_messages.StreamFailed):
            self._core.attempt_finished(self, event.attempt, now)
        self._execute_actions(self.machine.handle(event, now), now, actions)

    def handle_owner_event(self, event, now: float, actions: list):
        """Handles an event for the journal's owner, such as `replication.ReplyReceived`."""
        self._execute_actions(
            self._process_owner_actions(self.owner.handle(event, now), now, actions), now, actions
        )

    def execute_owner_actions(self, results, now: float, actions: list):
        """Executes actions that the owner returned outside this class, such as at a takeover."""
        self._execute_actions(self._process_owner_actions(results, now, actions), now, actions)

    def release_journal(self, now: float, actions: list):
        """Deletes the journal at all its holders."""
        version = self.owner.config.version
        for holder in self.owner.config.members():
            message = journal.Release(self.key, self.owner.epoch, version, finished=True)
            if holder == self._own_gateway:
                self._store.handle(message, now)
                continue
            actions.append(gateway_messages.SendJournal(holder, message))

    def event_id_prefix(self, generation: int) -> str:
        """Returns the part of a generation's event ids that precedes the offset."""
        return f"{generation}.{self.pinned.answer}"

    def attempt_id(self, number: int) -> str:
        """Returns the id under which engines run an attempt; it is unique over all requests."""
        return f"{self.pinned.answer}-{number}"

    def _execute_actions(self, results, now, actions):
        pending = collections.deque(results)
        while pending:
            action = pending.popleft()
            kind = type(action)
            if kind is generation_messages.AppendJournal:
                pending.extend(self._append_to_journal(action, now, actions))
            elif kind is generation_messages.DeliverTokens:
                self._announce_generation(action.reader, action.generation, actions)
                actions.append(
                    gateway_messages.ReaderTokens(
                        self.key,
                        action.reader,
                        self.event_id_prefix(action.generation),
                        action.generation,
                        action.offset,
                        action.tokens,
                    )
                )
            else:
                pending.extend(HANDLER_BY_ACTION[kind](self, action, now, actions) or ())

    def _append_to_journal(self, action, now, actions):
        note = None
        if action.note != self._attempt_note:
            self._attempt_note = action.note
            self._note_number += 1
            self._note_by_number[self._note_number] = action.note
            note = journal.Attempt(action.note, self._note_number)
        owner = self.owner
        if action.generation != owner.generation:
            event = replication.GenerationStarted(action.generation, note)
            return self._process_owner_actions(owner.handle(event, now), now, actions)
        end = action.offset + len(action.tokens) if action.end else None
        return self._process_owner_actions(
            owner.append(action.tokens, end, note, now), now, actions
        )

    def _process_owner_actions(self, results, now, actions):
        """Executes the owner's actions and returns the resulting actions of the state machine."""
        machine_actions = []
        pending = collections.deque(results)
        while pending:
            action = pending.popleft()
            kind = type(action)
            if kind is replication.Send:
                if action.to != self._own_gateway:
                    actions.append(gateway_messages.SendJournal(action.to, action.message))
                    continue
                for reply in self._store.handle(action.message, now):
                    if type(reply) is journal.Accepted:
                        pending.extend(self.owner.handle_accepted(self._own_gateway, reply, now))
                    else:
                        pending.extend(
                            self.owner.handle(
                                replication.ReplyReceived(self._own_gateway, reply), now
                            )
                        )
            elif kind is replication.Committed:
                machine_actions.extend(
                    self.machine.handle(
                        generation_messages.JournalCommitted(
                            action.generation,
                            action.length,
                            action.end is not None,
                            self.committed_note(),
                        ),
                        now,
                    )
                )
            elif kind is replication.SteppedDown:
                machine_actions.extend(
                    self.machine.handle(generation_messages.OwnershipLost(), now)
                )
            elif kind is replication.ConfigChangeCompleted:
                actions.append(gateway_messages.Count({"journal_holder_changes": 1}))
        return machine_actions

    def committed_note(self) -> str:
        """Returns the latest attempt note that a majority of the holders stored."""
        number = self.owner.committed_attempt_number
        if self._note_by_number and number in self._note_by_number:
            self._committed_note = self._note_by_number[number]
            for old in [old for old in self._note_by_number if old <= number]:
                del self._note_by_number[old]
        return self._committed_note

    def _announce_generation(self, reader, generation, actions):
        if self._generation_by_reader.get(reader) == generation:
            return
        self._generation_by_reader[reader] = generation
        actions.append(
            gateway_messages.ReaderGeneration(
                self.key,
                reader,
                self.event_id_prefix(generation),
                generation,
                self._core.sampling_seed(self, generation),
            )
        )

    def _choose_target(self, action, now, actions):
        entry = self._core.choose_target(self, action, now)
        if entry is None:
            return self.machine.handle(generation_messages.NoTarget(action.choice), now)
        return self.machine.handle(
            generation_messages.TargetChosen(action.choice, entry.description.id), now
        )

    def _start_attempt(self, action, now, actions):
        if not self._core.directory.is_usable(action.target, now):
            # The target may have been lost since it was chosen, while the journal committed the
            # attempt's number.
            failed = generation_messages.StreamFailed(
                action.attempt, 0, generation_messages.FailureKind.NOT_RUN, 0
            )
            return self.machine.handle(failed, now)
        address = self._core.attempt_started(self, action.attempt, action.target, now)
        header = self.pinned.header
        actions.append(
            gateway_messages.OpenStream(
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

    def _reattach_attempt(self, action, now, actions):
        address = self._core.target_address(action.target)
        actions.append(
            gateway_messages.ReattachStream(
                self.key,
                action.attempt,
                action.connection,
                address,
                self.attempt_id(action.attempt),
                action.offset,
            )
        )

    def _cancel_attempt(self, action, now, actions):
        self._core.attempt_finished(self, action.attempt, now)
        address = self._core.target_address(action.target)
        actions.append(
            gateway_messages.CancelStream(
                self.key, action.attempt, address, self.attempt_id(action.attempt)
            )
        )

    def _deliver_generation(self, action, now, actions):
        self._announce_generation(action.reader, action.generation, actions)

    def _deliver_end(self, action, now, actions):
        self._announce_generation(action.reader, action.generation, actions)
        self._generation_by_reader.pop(action.reader, None)
        event_id_prefix = self.event_id_prefix(action.generation)
        actions.append(
            gateway_messages.ReaderEnd(
                self.key, action.reader, event_id_prefix, action.final_offset
            )
        )

    def _fail_reader(self, action, now, actions):
        self._generation_by_reader.pop(action.reader, None)
        actions.append(gateway_messages.ReaderFail(action.reader, action.code, action.message))

    def _set_timer(self, action, now, actions):
        self.timer = action.at

    def _add_to_metrics(self, action, now, actions):
        actions.append(gateway_messages.Count(action.amount_by_name))

    def _finish_request(self, action, now, actions):
        self._core.request_finished(self, action.code, now, actions)

    def _release_request(self, action, now, actions):
        self._core.request_released(self, now, actions)


HANDLER_BY_ACTION = {
    generation_messages.ChooseTarget: OpenRequest._choose_target,
    generation_messages.StartAttempt: OpenRequest._start_attempt,
    generation_messages.ReattachAttempt: OpenRequest._reattach_attempt,
    generation_messages.CancelAttempt: OpenRequest._cancel_attempt,
    generation_messages.DeliverGeneration: OpenRequest._deliver_generation,
    generation_messages.DeliverEnd: OpenRequest._deliver_end,
    generation_messages.FailReader: OpenRequest._fail_reader,
    generation_messages.SetTimer: OpenRequest._set_timer,
    generation_messages.AddToMetrics: OpenRequest._add_to_metrics,
    generation_messages.RequestFinished: OpenRequest._finish_request,
    generation_messages.ReleaseRequest: OpenRequest._release_request,
}
