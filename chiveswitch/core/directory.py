"""The directory of targets and gateways that one gateway holds: announcements with tickets, pulls
between gateways, and ages. An age is always an upper bound of the true age by the gateway's own
clock, so a late message makes an entry look older, never younger."""

import math
import struct

import xxhash

# An entry above this age gets no new work. The design allows 3 s after a target began to leave;
# the rest is left for the time between the choice of a target and the first byte.
STALE_SECONDS = 2.5
# Entries are dropped at this age. It is many times STALE_SECONDS, so that a peer that still holds
# an old `ready` row cannot make a target usable again after its `leaving` row was dropped.
RETENTION_SECONDS = 30.0
# Age given to a report without a valid ticket. It only has to be above STALE_SECONDS.
UNKNOWN_AGE_SECONDS = 5.0
# Warm prefixes are taken over once in this many announcements (15 s), because every change of a
# description is fetched by every gateway and control traffic is limited to 10 KB/s per node.
WARM_PREFIX_EVERY = 30
# Upper bound of descriptions asked for in one pull, so that a request stays below 3 KB.
MAX_WANTED = 256
# Upper bound of rows that wait for their description.
MAX_PENDING = 4096

KINDS = ("engine", "service", "gateway")
STATES = ("ready", "leaving", "draining")
# States that end the use of an incarnation. An incarnation never returns to `ready`.
FINAL_STATES = ("leaving", "draining")

_TICKET = struct.Struct(">Qdi")


class Description:
    """What rarely changes about a target or gateway. Equal content has an equal digest.

    Attributes:
        id: Identifier of the target or gateway.
        kind: `engine`, `service` or `gateway`.
        availability_zone: Zone it runs in.
        address: `host:port` for requests.
        peer_address: `host:port` for links between gateways; empty for targets.
        incarnation: Number that rises with every start of the process.
        models: Tuple of (model, adapter, version) that are ready.
        role: Role of an engine, empty if none.
        capacity: Requests that run at the same time.
        warm_prefixes: Tuple of 64-bit digests of cached prompt prefixes (hints).
        honours_fencing: Whether it refuses orders with an old fencing number.
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
        """Returns every field but the warm prefixes, for comparison."""
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
    """A report by a target.

    Attributes:
        description: The target's `Description`.
        sequence: Number that rises with every report of the incarnation.
        state: `ready` or `leaving`.
        running: Requests that run.
        queued: Requests that wait at the target.
        ticket: Ticket from the last response of the same gateway, or empty bytes.
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
    """What the gateway knows of one target or gateway.

    Attributes:
        description: The `Description` that belongs to the sequence.
        sequence: Sequence of the report.
        state: `ready`, `leaving` or `draining`.
        running: Reported running requests.
        queued: Reported queued requests.
        created_after: Own clock in seconds before which the report did not exist: its true age is
            at most `now - created_after`.
        changed: Value of the change counter when the entry last changed.
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
    """The part of an entry that changes with every report, as it goes between gateways.

    Attributes:
        digest: Digest of the description.
        sequence: Sequence of the report.
        age: Upper bound of the age in seconds when the response was made.
        state: `ready`, `leaving` or `draining`.
        running: Reported running requests.
        queued: Reported queued requests.
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
    """A question to a peer for the entries that changed.

    Attributes:
        asker: Id of the asking gateway.
        gateway_id: Id of the gateway that the watermark belongs to, empty at first.
        incarnation: Incarnation that the watermark belongs to.
        watermark: The peer's change counter up to which the asker has everything.
        wanted: Digests of descriptions that the asker lacks.
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
        since: Watermark that the rows start from; 0 if the request named another incarnation.
        watermark: Change counter that the rows reach.
        rows: List of `Row`.
        descriptions: List of wanted `Description`.
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
    __slots__ = ("gateway_id", "incarnation", "value")

    def __init__(self, gateway_id="", incarnation=0, value=0):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.value = value


class Directory:
    """Targets and gateways as one gateway knows them.

    Attributes:
        own: The gateway's own `Entry`, which is always of age 0.
        by_id: Other entries by target or gateway id, with those that are stale or leaving.
    """

    __slots__ = (
        "own",
        "by_id",
        "_counter",
        "_watermark_by_peer",
        "_description_by_digest",
        "_used_by_digest",
        "_pending_by_digest",
        "_deck",
        "_heard_at",
    )

    def __init__(self, description: Description):
        self.own = Entry(description, 0, "ready", 0, 0, -math.inf)
        self.by_id = {}
        self._counter = 0
        self._watermark_by_peer = {}
        self._description_by_digest = {}
        self._used_by_digest = {}
        self._pending_by_digest = {}
        self._deck = []
        self._heard_at = -math.inf

    def set_own_state(self, state: str, running: int, queued: int):
        """Sets the gateway's own state and load. `draining` is final for the incarnation."""
        if self.own.state not in FINAL_STATES:
            self.own.state = state
        self.own.running = running
        self.own.queued = queued

    def announce(self, announcement: Announcement, now: float) -> bytes:
        """Takes in a target's report.

        Args:
            announcement: The report. Without a valid ticket its age is unknown, so that it can
                end the use of the target but never make it usable.
            now: Own clock in seconds.

        Returns:
            The ticket for the target's next report to this gateway.
        """
        description = announcement.description
        issued_at = self._ticket_time(announcement.ticket, description, now)
        created_after = now - UNKNOWN_AGE_SECONDS if issued_at is None else issued_at
        if issued_at is not None:
            self._heard_at = max(self._heard_at, issued_at)
        known = self.by_id.get(description.id)
        if (
            known is not None
            and known.sequence // WARM_PREFIX_EVERY == announcement.sequence // WARM_PREFIX_EVERY
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
        self._merge(entry, now)
        own = self.own.description
        check = _ticket_check(own.id, announcement.description)
        return _TICKET.pack(own.incarnation, now, check)

    def record_contact(self, gateway_id: str, incarnation: int, alive_at: float):
        """Takes in evidence of life of a gateway from other traffic.

        Args:
            gateway_id: The gateway that was heard.
            incarnation: Its incarnation.
            alive_at: Own clock in seconds at which it surely was alive: the time at which the
                request was sent whose response has arrived, not the time of the arrival.
        """
        entry = self.by_id.get(gateway_id)
        if entry is None or entry.description.incarnation != incarnation:
            return
        self._heard_at = max(self._heard_at, alive_at)
        if alive_at > entry.created_after:
            entry.created_after = alive_at
            self._mark_changed(entry)

    def choose_peers(self, seeds, count: int, random) -> list:
        """Returns addresses of the peers to ask next.

        Every peer is drawn once before any is drawn again, so none stays unasked for long.

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
            self._deck = [each for each in self._deck if each in addresses]
            if not self._deck:
                self._deck = sorted(addresses.difference(chosen))
                random.shuffle(self._deck)
            chosen.append(self._deck.pop())
        return chosen

    def pull_request(self, peer: str, now: float) -> PullRequest:
        """Returns the next request for a peer, which is named by its address."""
        self._purge(now)
        mark = self._watermark_by_peer.setdefault(peer, _Watermark())
        wanted = list(self._pending_by_digest)[:MAX_WANTED]
        return PullRequest(
            self.own.description.id, mark.gateway_id, mark.incarnation, mark.value, wanted
        )

    def answer_pull(self, request: PullRequest, now: float) -> PullAnswer:
        """Returns the rows that changed since the request's watermark, with their ages."""
        own = self.own.description
        since = 0
        if request.gateway_id == own.id and request.incarnation == own.incarnation:
            since = min(request.watermark, self._counter)
        self.own.sequence += 1
        rows = [_row(self.own, 0.0)]
        for entry in self.by_id.values():
            if entry.changed <= since or entry.description.id == request.asker:
                continue
            age = now - entry.created_after
            # A stale `ready` row of a target is of no use to the asker. A final state is, until it
            # is dropped, and a gateway that is out of reach may hold journals.
            is_kept = entry.state in FINAL_STATES or entry.description.kind == "gateway"
            if age > (RETENTION_SECONDS if is_kept else STALE_SECONDS):
                continue
            rows.append(_row(entry, age))
        descriptions = []
        for digest in request.wanted[:MAX_WANTED]:
            if digest == own.digest:
                descriptions.append(own)
            elif digest in self._description_by_digest:
                descriptions.append(self._description_by_digest[digest])
        return PullAnswer(own.id, own.incarnation, since, self._counter, rows, descriptions)

    def apply_pull(self, peer: str, answer: PullAnswer, request_sent_at: float, now: float) -> int:
        """Merges a peer's response.

        Args:
            peer: Address of the peer, as given to `pull_request`.
            answer: The response, however late.
            request_sent_at: Own clock in seconds when the request was sent that it responds to.
            now: Own clock in seconds.

        Returns:
            Number of descriptions that are still lacking. If it is above 0, the next
            `pull_request` to the same peer should follow at once.
        """
        self._heard_at = max(self._heard_at, request_sent_at)
        for description in answer.descriptions:
            self._learn(description, now)
            pending = self._pending_by_digest.pop(description.digest, None)
            if pending is not None:
                row, created_after = pending
                self._merge_row(description, row, created_after, now)
        missing = 0
        for row in answer.rows:
            # The peer measured the age after the request was sent, so this never makes it younger.
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
            if len(self._pending_by_digest) < MAX_PENDING:
                self._keep_pending(row, created_after)
        self._advance_watermark(peer, answer)
        return missing

    def age(self, id: str, now: float) -> float:
        """Returns the age bound of an entry in seconds, infinite if it is unknown."""
        if id == self.own.description.id:
            return 0.0
        entry = self.by_id.get(id)
        return math.inf if entry is None else now - entry.created_after

    def usable_targets(self, now: float) -> list:
        """Returns the entries of targets that may get new work at this moment."""
        usable = []
        for entry in self.by_id.values():
            if entry.state != "ready" or entry.description.kind == "gateway":
                continue
            if now - entry.created_after > STALE_SECONDS:
                continue
            usable.append(entry)
        return usable

    def is_usable(self, id: str, now: float) -> bool:
        """Returns whether a target may get new work at this moment."""
        entry = self.by_id.get(id)
        return (
            entry is not None
            and entry.state == "ready"
            and now - entry.created_after <= STALE_SECONDS
        )

    def live_gateways(self, now: float, limit_s: float = STALE_SECONDS) -> list:
        """Returns the entries of gateways heard within the limit, the own one first.

        Draining gateways are included; they still hold journals and open requests.
        """
        live = [self.own]
        for entry in self.by_id.values():
            if entry.description.kind == "gateway" and now - entry.created_after <= limit_s:
                live.append(entry)
        return live

    def suspected_gateways(self, now: float, limit_s: float) -> list:
        """Returns the entries of gateways that were not heard within the limit.

        A gateway whose own view is not current suspects nobody: after a pause or while it is cut
        off, every entry is old for a reason that lies with the gateway itself.

        Args:
            now: Own clock in seconds.
            limit_s: Age from which a gateway is suspected, in seconds.
        """
        if not self.is_current(now, limit_s):
            return []
        suspected = []
        for entry in self.by_id.values():
            if entry.description.kind == "gateway" and now - entry.created_after > limit_s:
                suspected.append(entry)
        return suspected

    def is_current(self, now: float, limit_s: float = STALE_SECONDS) -> bool:
        """Returns whether any peer or target was heard within the limit."""
        return now - self._heard_at <= limit_s

    def is_complete(self, now: float) -> bool:
        """Returns whether the view is current and not the first answer of a peer, which names
        gateways whose descriptions are still to come."""
        if not self.is_current(now):
            return False
        return not self._pending_by_digest or any(
            entry.description.kind == "gateway" for entry in self.by_id.values()
        )

    def _ticket_time(self, ticket, description, now):
        if len(ticket) != _TICKET.size:
            return None
        own = self.own.description
        incarnation, issued_at, check = _TICKET.unpack(ticket)
        if incarnation != own.incarnation or check != _ticket_check(own.id, description):
            return None
        # Also refuses NaN, which compares false.
        return issued_at if issued_at <= now else None

    def _merge_row(self, description, row, created_after, now):
        entry = Entry(description, row.sequence, row.state, row.running, row.queued, created_after)
        self._merge(entry, now)

    def _merge(self, entry, now):
        id = entry.description.id
        if id == self.own.description.id:
            return
        known = self.by_id.get(id)
        if known is not None:
            order = (entry.description.incarnation, entry.sequence)
            known_order = (known.description.incarnation, known.sequence)
            same = order[0] == known_order[0]
            if order[0] < known_order[0]:
                return
            final = same and known.state in FINAL_STATES
            if same and entry.state in FINAL_STATES and not final:
                # A report of `ready` may overtake the one of `leaving`; the end still holds.
                known.state = entry.state
                self._mark_changed(known)
            if order <= known_order:
                # The same report over a shorter path gives a tighter bound of its age.
                if order == known_order and entry.created_after > known.created_after:
                    known.created_after = entry.created_after
                    self._mark_changed(known)
                return
            if final:
                entry.state = known.state
            if same:
                # A later report of the same incarnation is not older than an earlier one.
                entry.created_after = max(entry.created_after, known.created_after)
        self.by_id[id] = entry
        self._learn(entry.description, now)
        self._mark_changed(entry)

    def _mark_changed(self, entry):
        self._counter += 1
        entry.changed = self._counter

    def _learn(self, description, now):
        self._description_by_digest.setdefault(description.digest, description)
        self._used_by_digest[description.digest] = now

    def _keep_pending(self, row, created_after):
        known = self._pending_by_digest.get(row.digest)
        if known is None:
            self._pending_by_digest[row.digest] = (row, created_after)
            return
        # The later report wins, with the tighter bound and an end once it was reported.
        kept = row if row.sequence >= known[0].sequence else known[0]
        for each in (row, known[0]):
            if each.state in FINAL_STATES:
                kept.state = each.state
        self._pending_by_digest[row.digest] = (kept, max(created_after, known[1]))

    def _advance_watermark(self, peer, answer):
        mark = self._watermark_by_peer.setdefault(peer, _Watermark())
        if (mark.gateway_id, mark.incarnation) != (answer.gateway_id, answer.incarnation):
            # A response by an earlier incarnation may arrive late; it does not move the watermark.
            late = mark.gateway_id == answer.gateway_id and answer.incarnation < mark.incarnation
            if late or answer.since > 0:
                return
            mark.gateway_id = answer.gateway_id
            mark.incarnation = answer.incarnation
            mark.value = answer.watermark
            return
        # Rows that start beyond the own watermark would leave a gap.
        if answer.since <= mark.value:
            mark.value = max(mark.value, answer.watermark)

    def _purge(self, now):
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
            self._used_by_digest[entry.description.digest] = now
        unused = [
            digest
            for digest, used in self._used_by_digest.items()
            if now - used > RETENTION_SECONDS
        ]
        for digest in unused:
            del self._used_by_digest[digest]
            del self._description_by_digest[digest]


def _row(entry, age):
    # Negative ages cannot occur with one clock; clamping keeps a clock fault from spreading.
    return Row(
        entry.description.digest,
        entry.sequence,
        max(0.0, age),
        entry.state,
        entry.running,
        entry.queued,
    )


def _ticket_check(gateway_id, description):
    # Binds the ticket to both ends: clocks of two gateways have nothing in common.
    content = repr((gateway_id, description.id, description.incarnation))
    return xxhash.xxh32_intdigest(content.encode()) - (1 << 31)
