"""The directory of targets and gateways that one gateway holds.

Targets announce themselves to some gateways, and gateways pull changed entries from each other.
Each entry has an age by the gateway's own clock. The age is an upper bound of the true age of the
report, so a delayed message makes an entry look older and never younger.
"""

import math
import struct

import xxhash

# A target whose entry is older than this gets no new work. The design allows new work for 3 s after
# a target began to leave. The remaining 0.5 s cover the time from the choice of a target until the
# first byte is sent to it.
STALE_SECONDS = 2.5
# Entries are dropped at this age. It is many times STALE_SECONDS, so that a peer that still holds
# an old `ready` row cannot make a target usable again after its `leaving` row was dropped.
RETENTION_SECONDS = 30.0
# Age that a report without a valid ticket gets. It only has to exceed STALE_SECONDS.
TICKETLESS_AGE_SECONDS = 5.0
# Changed warm prefixes are adopted only once in this many announcements (15 s). Every gateway
# fetches each changed description, and control traffic is limited to 10 KB/s per node.
WARM_PREFIX_ANNOUNCEMENTS = 30
# Largest number of descriptions that one pull requests, so that the request stays below 3 KB.
MAX_WANTED_DESCRIPTIONS = 256
# Largest number of rows that are kept while their description is missing.
MAX_PENDING_ROWS = 4096

KINDS = ("engine", "service", "gateway")
STATES = ("ready", "leaving", "draining")
# States that end the use of an incarnation. An incarnation never returns to `ready`.
FINAL_STATES = ("leaving", "draining")

_TICKET = struct.Struct(">Qdi")


class Description:
    """Properties of a target or gateway that rarely change. Equal content has an equal digest.

    Attributes:
        id: Identifier of the target or gateway.
        kind: `engine`, `service` or `gateway`.
        availability_zone: Zone that the process runs in.
        address: `host:port` for requests.
        peer_address: `host:port` for links between gateways; empty for targets.
        incarnation: Number that increases with every start of the process.
        models: Tuple of (model, adapter, version) that are ready.
        role: Role of an engine, empty if it has none.
        capacity: Number of requests that can run at the same time.
        warm_prefixes: Tuple of 64-bit digests of cached prompt prefixes. They are hints and may be
            outdated.
        honours_fencing: Whether the engine rejects orders with an old fencing token.
        services: Tuple of service names that a plain service offers.
        digest: Signed 64-bit digest of all fields above.
    """

    __slots__ = (
        "id",
        "kind",
        "availability_zone",
        "address",
        "peer_address",
        "incarnation",
        "models",
        "role",
        "capacity",
        "warm_prefixes",
        "honours_fencing",
        "services",
        "digest",
    )

    def __init__(
        self,
        id,
        kind,
        availability_zone,
        address,
        incarnation,
        peer_address="",
        models=(),
        role="",
        capacity=1,
        warm_prefixes=(),
        honours_fencing=False,
        services=(),
    ):
        self.id = id
        self.kind = kind
        self.availability_zone = availability_zone
        self.address = address
        self.peer_address = peer_address
        self.incarnation = incarnation
        self.models = tuple(tuple(model) for model in models)
        self.role = role
        self.capacity = capacity
        self.warm_prefixes = tuple(warm_prefixes)
        self.honours_fencing = honours_fencing
        self.services = tuple(services)
        content = repr((self.without_prefixes(), self.warm_prefixes))
        self.digest = xxhash.xxh64_intdigest(content.encode()) - (1 << 63)

    def without_prefixes(self):
        """Returns every field except the warm prefixes, for comparison."""
        return (
            self.id,
            self.kind,
            self.availability_zone,
            self.address,
            self.peer_address,
            self.incarnation,
            self.models,
            self.role,
            self.capacity,
            self.honours_fencing,
            self.services,
        )


class Announcement:
    """A report that a target sends to a gateway.

    Attributes:
        description: The target's `Description`.
        sequence: Number that increases with every report of the incarnation.
        state: `ready` or `leaving`.
        running: Number of requests that run at the target.
        queued: Number of requests that wait at the target.
        ticket: Ticket from the last response of the same gateway, or empty bytes. It proves that
            the report was made after the gateway issued the ticket.
    """

    __slots__ = ("description", "sequence", "state", "running", "queued", "ticket")

    def __init__(self, description, sequence, state, running=0, queued=0, ticket=b""):
        self.description = description
        self.sequence = sequence
        self.state = state
        self.running = running
        self.queued = queued
        self.ticket = ticket


class Entry:
    """The latest report of one target or gateway.

    Attributes:
        description: The `Description` that was valid at the report.
        sequence: Sequence number of the report.
        state: `ready`, `leaving` or `draining`.
        running: Reported number of running requests.
        queued: Reported number of queued requests.
        created_after: Time by the own clock in seconds before which the report did not exist yet:
            its true age is at most `now - created_after`.
        changed: Value of the directory's change counter when the entry last changed.
    """

    __slots__ = (
        "description",
        "sequence",
        "state",
        "running",
        "queued",
        "created_after",
        "changed",
    )

    def __init__(self, description, sequence, state, running, queued, created_after, changed=0):
        self.description = description
        self.sequence = sequence
        self.state = state
        self.running = running
        self.queued = queued
        self.created_after = created_after
        self.changed = changed


class Row:
    """The part of an entry that changes with every report, as gateways exchange it.

    Attributes:
        digest: Digest of the description.
        sequence: Sequence number of the report.
        age: Upper bound of the report's age in seconds when the response was created.
        state: `ready`, `leaving` or `draining`.
        running: Reported number of running requests.
        queued: Reported number of queued requests.
    """

    __slots__ = ("digest", "sequence", "age", "state", "running", "queued")

    def __init__(self, digest, sequence, age, state, running, queued):
        self.digest = digest
        self.sequence = sequence
        self.age = age
        self.state = state
        self.running = running
        self.queued = queued


class PullRequest:
    """A request to a peer for the entries that have changed.

    Attributes:
        asker: Id of the requesting gateway.
        gateway_id: Id of the gateway that the watermark belongs to, empty at first.
        incarnation: Incarnation that the watermark belongs to.
        watermark: Value of the peer's change counter up to which the requester has all changes.
        wanted: Digests of descriptions that the requester lacks.
    """

    __slots__ = ("asker", "gateway_id", "incarnation", "watermark", "wanted")

    def __init__(self, asker, gateway_id, incarnation, watermark, wanted):
        self.asker = asker
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.watermark = watermark
        self.wanted = wanted


class PullAnswer:
    """The response to a `PullRequest`.

    Attributes:
        gateway_id: Id of the responding gateway.
        incarnation: Incarnation of the responding gateway.
        since: Watermark after which the rows changed; 0 if the request named another incarnation.
        watermark: Value of the change counter up to which the rows are complete.
        rows: List of `Row`.
        descriptions: List of the requested `Description` objects that the peer has.
    """

    __slots__ = ("gateway_id", "incarnation", "since", "watermark", "rows", "descriptions")

    def __init__(self, gateway_id, incarnation, since, watermark, rows, descriptions):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.since = since
        self.watermark = watermark
        self.rows = rows
        self.descriptions = descriptions


class _Watermark:
    """Position up to which all changes of one peer's incarnation have been received."""

    __slots__ = ("gateway_id", "incarnation", "value")

    def __init__(self, gateway_id="", incarnation=0, value=0):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.value = value


class Directory:
    """The entries of all targets and gateways at one gateway.

    Attributes:
        own: The gateway's own `Entry`; its age is always 0.
        by_id: Other entries by target or gateway id, including stale and leaving ones.
    """

    __slots__ = (
        "own",
        "by_id",
        "_change_counter",
        "_watermark_by_peer",
        "_description_by_digest",
        "_used_at_by_digest",
        "_pending_by_digest",
        "_undrawn_peers",
        "_last_contact_at",
    )

    def __init__(self, description: Description):
        self.own = Entry(description, 0, "ready", 0, 0, -math.inf)
        self.by_id = {}
        self._change_counter = 0
        self._watermark_by_peer = {}
        self._description_by_digest = {}
        self._used_at_by_digest = {}
        self._pending_by_digest = {}
        self._undrawn_peers = []
        self._last_contact_at = -math.inf

    def set_own_state(self, state: str, running: int, queued: int):
        """Sets the gateway's own state and load; the state `draining` cannot be left again."""
        if self.own.state not in FINAL_STATES:
            self.own.state = state
        self.own.running = running
        self.own.queued = queued

    def announce(self, announcement: Announcement, now: float) -> bytes:
        """Merges a target's report into the directory.

        Args:
            announcement: The report. Without a valid ticket its age is unknown, so it can end the
                use of the target but cannot make the target usable.
            now: Own clock in seconds.

        Returns:
            The ticket for the target's next report to this gateway.
        """
        description = announcement.description
        issued_at = self._ticket_issued_at(announcement.ticket, description, now)
        created_after = now - TICKETLESS_AGE_SECONDS if issued_at is None else issued_at
        if issued_at is not None:
            self._last_contact_at = max(self._last_contact_at, issued_at)
        known = self.by_id.get(description.id)
        if (
            known is not None
            and known.sequence // WARM_PREFIX_ANNOUNCEMENTS
            == announcement.sequence // WARM_PREFIX_ANNOUNCEMENTS
            and known.description.without_prefixes() == description.without_prefixes()
        ):
            description = known.description
        entry = Entry(
            description,
            announcement.sequence,
            announcement.state,
            announcement.running,
            announcement.queued,
            created_after,
        )
        self._merge_entry(entry, now)
        own = self.own.description
        check = _ticket_checksum(own.id, announcement.description)
        return _TICKET.pack(own.incarnation, now, check)

    def record_contact(self, gateway_id: str, incarnation: int, alive_at: float):
        """Records that a gateway responded to a request other than a pull.

        Args:
            gateway_id: Id of the gateway that responded.
            incarnation: Incarnation that responded.
            alive_at: Time by the own clock in seconds at which the gateway was alive for certain.
                This is the time at which the request was sent, since the response may be delayed.
        """
        entry = self.by_id.get(gateway_id)
        if entry is None or entry.description.incarnation != incarnation:
            return
        self._last_contact_at = max(self._last_contact_at, alive_at)
        if alive_at > entry.created_after:
            entry.created_after = alive_at
            self._mark_changed(entry)

    def choose_peers(self, seeds, count: int, random) -> list:
        """Returns the addresses of the peers to pull from next.

        Peers are drawn at random without replacement until each was drawn once, so that no peer is
        left out for long.

        Args:
            seeds: Peer addresses from the settings.
            count: Number of peers.
            random: A `random.Random`.
        """
        addresses = set(seeds)
        for entry in self.by_id.values():
            if entry.description.kind == "gateway" and entry.description.peer_address:
                addresses.add(entry.description.peer_address)
        addresses.discard(self.own.description.peer_address)
        chosen = []
        while len(chosen) < min(count, len(addresses)):
            self._undrawn_peers = [each for each in self._undrawn_peers if each in addresses]
            if not self._undrawn_peers:
                self._undrawn_peers = sorted(addresses.difference(chosen))
                random.shuffle(self._undrawn_peers)
            chosen.append(self._undrawn_peers.pop())
        return chosen

    def pull_request(self, peer: str, now: float) -> PullRequest:
        """Returns the next pull request to the peer with an address."""
        self._drop_expired(now)
        position = self._watermark_by_peer.setdefault(peer, _Watermark())
        wanted = list(self._pending_by_digest)[:MAX_WANTED_DESCRIPTIONS]
        return PullRequest(
            self.own.description.id,
            position.gateway_id,
            position.incarnation,
            position.value,
            wanted,
        )

    def answer_pull(self, request: PullRequest, now: float) -> PullAnswer:
        """Returns the response to a pull: the rows after its watermark, with their ages."""
        own = self.own.description
        since = 0
        if request.gateway_id == own.id and request.incarnation == own.incarnation:
            since = min(request.watermark, self._change_counter)
        self.own.sequence += 1
        rows = [_make_row(self.own, 0.0)]
        for entry in self.by_id.values():
            if entry.changed <= since or entry.description.id == request.asker:
                continue
            age = now - entry.created_after
            # The requester cannot use a stale `ready` row of a target. Rows with a final state are
            # sent until they are dropped, and so are rows of stale gateways, which may hold
            # journals.
            is_sent_when_stale = entry.state in FINAL_STATES or entry.description.kind == "gateway"
            if age > (RETENTION_SECONDS if is_sent_when_stale else STALE_SECONDS):
                continue
            rows.append(_make_row(entry, age))
        descriptions = []
        for digest in request.wanted[:MAX_WANTED_DESCRIPTIONS]:
            if digest == own.digest:
                descriptions.append(own)
            elif digest in self._description_by_digest:
                descriptions.append(self._description_by_digest[digest])
        return PullAnswer(own.id, own.incarnation, since, self._change_counter, rows, descriptions)

    def apply_pull(self, peer: str, answer: PullAnswer, request_sent_at: float, now: float) -> int:
        """Merges a peer's response to a pull.

        Args:
            peer: Address of the peer, as given to `pull_request`.
            answer: The response; it may arrive with any delay.
            request_sent_at: Time by the own clock in seconds at which the request was sent.
            now: Own clock in seconds.

        Returns:
            Number of rows whose description is missing. If it is above 0, another `pull_request`
            to the same peer should follow at once.
        """
        self._last_contact_at = max(self._last_contact_at, request_sent_at)
        for description in answer.descriptions:
            self._store_description(description, now)
            pending = self._pending_by_digest.pop(description.digest, None)
            if pending is not None:
                row, created_after = pending
                self._merge_row(description, row, created_after, now)
        missing = 0
        for row in answer.rows:
            # The peer computed the age after the request was sent, so this bound is not too late.
            created_after = request_sent_at - row.age
            if now - created_after > RETENTION_SECONDS:
                continue
            if row.digest == self.own.description.digest:
                continue
            description = self._description_by_digest.get(row.digest)
            if description is not None:
                self._merge_row(description, row, created_after, now)
                continue
            missing += 1
            if len(self._pending_by_digest) < MAX_PENDING_ROWS:
                self._store_pending_row(row, created_after)
        self._advance_watermark(peer, answer)
        return missing

    def age(self, id: str, now: float) -> float:
        """Returns the upper bound of an entry's age in seconds; infinite without an entry."""
        if id == self.own.description.id:
            return 0.0
        entry = self.by_id.get(id)
        return math.inf if entry is None else now - entry.created_after

    def usable_targets(self, now: float) -> list:
        """Returns the entries of the targets that may get new work at present."""
        usable = []
        for entry in self.by_id.values():
            if entry.state != "ready" or entry.description.kind == "gateway":
                continue
            if now - entry.created_after > STALE_SECONDS:
                continue
            usable.append(entry)
        return usable

    def is_usable(self, id: str, now: float) -> bool:
        """Returns whether a target may get new work at present."""
        entry = self.by_id.get(id)
        return (
            entry is not None
            and entry.state == "ready"
            and now - entry.created_after <= STALE_SECONDS
        )

    def live_gateways(self, now: float, limit_s: float = STALE_SECONDS) -> list:
        """Returns the entries of gateways not older than a limit, the gateway's own entry first.

        Draining gateways are included because they still hold journals and open requests.

        Args:
            now: Own clock in seconds.
            limit_s: Largest age of an entry in seconds.
        """
        live = [self.own]
        for entry in self.by_id.values():
            if entry.description.kind == "gateway" and now - entry.created_after <= limit_s:
                live.append(entry)
        return live

    def suspected_gateways(self, now: float, limit_s: float) -> list:
        """Returns the entries of gateways that are suspected to have failed.

        The list is empty while the directory is not current. After a pause of the process, or
        during a partition, all entries are old because of this gateway and not because of the
        others.

        Args:
            now: Own clock in seconds.
            limit_s: Age in seconds above which a gateway is suspected.
        """
        if not self.is_current(now, limit_s):
            return []
        suspected = []
        for entry in self.by_id.values():
            if entry.description.kind == "gateway" and now - entry.created_after > limit_s:
                suspected.append(entry)
        return suspected

    def is_current(self, now: float, limit_s: float = STALE_SECONDS) -> bool:
        """Returns whether any peer or target gave a sign of life within the last `limit_s`."""
        return now - self._last_contact_at <= limit_s

    def is_complete(self, now: float) -> bool:
        """Returns whether the directory is current and the descriptions of gateways have arrived.

        The first response of a peer contains rows of gateways whose descriptions are still missing.
        """
        if not self.is_current(now):
            return False
        return not self._pending_by_digest or any(
            entry.description.kind == "gateway" for entry in self.by_id.values()
        )

    def _ticket_issued_at(self, ticket, description, now):
        if len(ticket) != _TICKET.size:
            return None
        own = self.own.description
        incarnation, issued_at, check = _TICKET.unpack(ticket)
        if incarnation != own.incarnation or check != _ticket_checksum(own.id, description):
            return None
        # NaN is rejected, too, because every comparison with it is false.
        return issued_at if issued_at <= now else None

    def _merge_row(self, description, row, created_after, now):
        entry = Entry(description, row.sequence, row.state, row.running, row.queued, created_after)
        self._merge_entry(entry, now)

    def _merge_entry(self, entry, now):
        id = entry.description.id
        if id == self.own.description.id:
            return
        known = self.by_id.get(id)
        if known is not None:
            order = (entry.description.incarnation, entry.sequence)
            known_order = (known.description.incarnation, known.sequence)
            is_same_incarnation = order[0] == known_order[0]
            if order[0] < known_order[0]:
                return
            is_known_final = is_same_incarnation and known.state in FINAL_STATES
            if is_same_incarnation and entry.state in FINAL_STATES and not is_known_final:
                # A report of `ready` with a higher sequence number may arrive before one of
                # `leaving`; the final state still applies.
                known.state = entry.state
                self._mark_changed(known)
            if order <= known_order:
                # The same report that arrives over a shorter path has a tighter bound of its age.
                if order == known_order and entry.created_after > known.created_after:
                    known.created_after = entry.created_after
                    self._mark_changed(known)
                return
            if is_known_final:
                entry.state = known.state
            if is_same_incarnation:
                # A report with a higher sequence number cannot be older than its predecessor.
                entry.created_after = max(entry.created_after, known.created_after)
        self.by_id[id] = entry
        self._store_description(entry.description, now)
        self._mark_changed(entry)

    def _mark_changed(self, entry):
        self._change_counter += 1
        entry.changed = self._change_counter

    def _store_description(self, description, now):
        self._description_by_digest.setdefault(description.digest, description)
        self._used_at_by_digest[description.digest] = now

    def _store_pending_row(self, row, created_after):
        known = self._pending_by_digest.get(row.digest)
        if known is None:
            self._pending_by_digest[row.digest] = (row, created_after)
            return
        # The later report is kept, with the tighter bound of both ages, and with a final state if
        # one of the reports has it.
        kept = row if row.sequence >= known[0].sequence else known[0]
        for each in (row, known[0]):
            if each.state in FINAL_STATES:
                kept.state = each.state
        self._pending_by_digest[row.digest] = (kept, max(created_after, known[1]))

    def _advance_watermark(self, peer, answer):
        position = self._watermark_by_peer.setdefault(peer, _Watermark())
        if (position.gateway_id, position.incarnation) != (answer.gateway_id, answer.incarnation):
            # A delayed response of an earlier incarnation must not move the watermark.
            is_from_earlier_incarnation = (
                position.gateway_id == answer.gateway_id
                and answer.incarnation < position.incarnation
            )
            if is_from_earlier_incarnation or answer.since > 0:
                return
            position.gateway_id = answer.gateway_id
            position.incarnation = answer.incarnation
            position.value = answer.watermark
            return
        # Changes between the recorded watermark and a later `since` would be missed.
        if answer.since <= position.value:
            position.value = max(position.value, answer.watermark)

    def _drop_expired(self, now):
        for id in [
            id for id, entry in self.by_id.items() if now - entry.created_after > RETENTION_SECONDS
        ]:
            del self.by_id[id]
        expired = [
            digest
            for digest, (_, created_after) in self._pending_by_digest.items()
            if now - created_after > RETENTION_SECONDS
        ]
        for digest in expired:
            del self._pending_by_digest[digest]
        for entry in self.by_id.values():
            self._used_at_by_digest[entry.description.digest] = now
        unused = [
            digest
            for digest, used in self._used_at_by_digest.items()
            if now - used > RETENTION_SECONDS
        ]
        for digest in unused:
            del self._used_at_by_digest[digest]
            del self._description_by_digest[digest]


def _make_row(entry, age):
    # An age cannot be negative with a monotonic clock. Clamping keeps a clock fault from reaching
    # other gateways.
    return Row(
        entry.description.digest,
        entry.sequence,
        max(0.0, age),
        entry.state,
        entry.running,
        entry.queued,
    )


def _ticket_checksum(gateway_id, description):
    # Binds the ticket to the gateway and the target's incarnation. The time in a ticket is only
    # meaningful at the gateway that issued it, because the clocks of gateways are unrelated.
    content = repr((gateway_id, description.id, description.incarnation))
    return xxhash.xxh32_intdigest(content.encode()) - (1 << 31)
