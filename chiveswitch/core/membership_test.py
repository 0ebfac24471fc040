"""Tests of membership in a simulated deployment whose machines are replaced, killed and cut off.

`python -m chiveswitch.core.membership_test FIRST COUNT [PLAY]` plays sequences by hand; PLAY is
"machines" or "connections".
"""

import random
import sys
import time

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveswitch.core import consensus, consensus_test, membership
from chiveswitch.core import consensus_messages as messages

# Time for which a machine still counts as lost after its start, or after a fault has ended.
CATCH_UP_SECONDS = 4.0
# Time without a leader that is permitted after a fault while no more machines are lost than the
# deployment tolerates.
LEADER_SECONDS = 4.0
# Time after the end of a machine whose successor has started before, in which an odd number of
# machines may survive one loss less: the silence after which a leader removes it, an election of
# two seconds, and the same silence counted by the next leader.
ODD_RENEWAL_SECONDS = 7.0
# Time within which a split deployment that also lost machines has to work again.
RECOVERY_SECONDS = 12.0
STEP_SECONDS = 0.1
JOIN_RETRY_SECONDS = 0.5
MEMBERSHIP_CHECK_SECONDS = 2.0
# Machines with a disk and tolerated losses, as in the deployments of the users.
DEPLOYMENTS = ((4, 1), (5, 2), (8, 2), (3, 1))


class Cuts:
    """The links that are cut, in the form in which `consensus_test.World` asks for them.

    Attributes:
        side_by_name: Side of a split on which a host is; hosts on different sides are cut off.
        directions: Pairs (sender, receiver) that are cut besides.
    """

    def __init__(self):
        self.side_by_name, self.directions = {}, set()

    def __contains__(self, link):
        sender, receiver = link
        is_split = self.side_by_name.get(sender, 0) != self.side_by_name.get(receiver, 0)
        return is_split or link in self.directions


class Deployment(consensus_test.World):
    """A deployment in which no more machines are lost at a time than it tolerates.

    Attributes:
        size: Number of machines.
        losses: Number of tolerated losses.
        address_by_name: Address of each host, which is a machine with a disk.
        lost_until_by_name: Time until which a host counts as lost.
        successors: Hosts that replaced others.
        leaving: Hosts that will be removed although their successors have started already.
        stopped_addresses: Addresses of removed hosts that announced their stop.
        leader_at: Last time at which there was a leader, or at which none was required.
        calm_since: Time since which no fault has begun or ended.
        events: What was done, for the message of a failure.
    """

    split_share = 0.1

    def __init__(self, seed, size, losses, loss=0.0):
        self.address_by_name = {}
        self.lost_until_by_name = {}
        self.successors, self.leaving, self.stopped_addresses = set(), set(), set()
        self.size, self.losses, self.calm_since, self.events = size, losses, 0.0, []
        self.leader_at = 0.0
        settings = {**consensus_test.SMALL_SETTINGS, "tolerated_losses": losses}
        super().__init__(seed, min(size, 3), settings, loss)
        self.blocked_links = Cuts()
        for _ in range(size - 3):
            self.add_host(f"n{next(self.unused_numbers)}")

    def add_host(self, name, configuration=None, address=None):
        self.address_by_name[name] = address or f"address-{name}"
        super().add_host(name, configuration)
        self.schedule(self.rng.uniform(0.0, 0.5), self.join, name)

    def tick(self, host, incarnation):
        if host.node is None or host.incarnation != incarnation:
            return
        self.deliver(host, incarnation, messages.Tick())
        is_paused = host.paused_until > self.now
        # A node that becomes the leader has an earlier deadline than before.
        delay = min(host.node.next_deadline() - self.now, self.settings.heartbeat_interval / 2)
        self.schedule(0.05 if is_paused else max(0.001, delay), self.tick, host, incarnation)

    def join(self, name):
        """Asks the leaders that a host reaches to make it a member, and again after a while."""
        host = self.host_by_name.get(name)
        if host is None:
            return
        delay = JOIN_RETRY_SECONDS
        if host.node is not None and host.paused_until <= self.now:
            for leader in self.leaders():
                node = self.host_by_name[leader].node
                is_cut = (leader, name) in self.blocked_links
                if is_cut or self.host_by_name[leader].paused_until > self.now:
                    continue
                if name in node.log.configuration().members():
                    delay = MEMBERSHIP_CHECK_SECONDS
                else:
                    self.change_members(leader, messages.Join, name, self.address_by_name[name])
        self.schedule(delay, self.join, name)

    def repair_membership(self, name):
        """Does nothing: hosts join by themselves."""

    # Faults.

    def lost_count(self):
        return sum(until > self.now for until in self.lost_until_by_name.values())

    def note(self, *parts):
        self.events.append(f"{self.now:.2f} " + " ".join(str(part) for part in parts))
        self.calm_since = self.now

    def replace(self, name, delay, at_same_address):
        """Removes a machine for good and starts another one with an empty disk after a while."""
        address = self.address_by_name[name] if at_same_address else None
        self.crash(name)
        del self.host_by_name[name]
        self.lost_disk_names.add(name)
        self.lost_until_by_name.pop(name, None)
        self.successors.discard(name)
        new_name = f"n{next(self.unused_numbers)}"
        side = self.blocked_links.side_by_name.pop(name, 0)
        self.blocked_links.side_by_name[new_name] = 0 if side == name else side
        self.lost_until_by_name[new_name] = self.now + delay + CATCH_UP_SECONDS
        self.successors.add(new_name)
        self.note("replace", name, "by", new_name, "same address" if at_same_address else "")
        self.schedule(delay, self.begin, new_name, address)

    def renew(self, name, delay):
        """Starts a successor of a machine that is removed only some time later."""
        new_name = f"n{next(self.unused_numbers)}"
        self.lost_until_by_name[new_name] = self.now + CATCH_UP_SECONDS
        self.leaving.add(name)
        self.note("renew", name, "by", new_name)
        self.begin(new_name, None)
        self.schedule(delay, self.remove, name)

    def remove(self, name):
        is_odd = self.size % 2 == 1
        if is_odd and self.lost_count() >= self.losses:
            self.schedule(STEP_SECONDS, self.remove, name)
            return
        self.note("remove", name)
        self.leaving.discard(name)
        self.stopped_addresses.add(self.address_by_name[name])
        for host in self.host_by_name.values():
            if host.node is not None:
                host.node.stopping_addresses = frozenset(self.stopped_addresses)
        self.crash(name)
        del self.host_by_name[name]
        self.lost_disk_names.add(name)
        if is_odd:
            self.lost_until_by_name[name] = self.now + ODD_RENEWAL_SECONDS

    def begin(self, name, address):
        self.note("begin", name)
        self.add_host(name, address=address)

    def end_fault(self, name, call):
        if name in self.host_by_name:
            call()
            self.note("end", name)

    def disturb(self, name, seconds, begin, end):
        """Begins a fault of one host that ends after a while and keeps its disk."""
        self.lost_until_by_name[name] = self.now + seconds + CATCH_UP_SECONDS
        begin()
        self.schedule(seconds, self.end_fault, name, end)

    def pick_host(self):
        """Returns the host of the next fault, the leader half of the time, or None.

        A successor that still counts as lost may be lost again.
        """
        lost = {name for name, until in self.lost_until_by_name.items() if until > self.now}
        unready = sorted(lost & self.successors & set(self.host_by_name))
        if unready and self.rng.random() < 0.3:
            return self.rng.choice(unready)
        if self.lost_count() >= self.losses:
            return None
        names = sorted(set(self.host_by_name) - lost - self.leaving)
        leaders = [name for name in self.leaders() if name in names]
        if leaders and self.rng.random() < 0.5:
            return leaders[0]
        return self.rng.choice(names) if names else None

    def fault_within_limits(self):
        """Begins a fault of one host. Replacements are the most frequent ones."""
        name = self.pick_host()
        if name is None:
            return
        is_lost = self.lost_until_by_name.get(name, 0.0) > self.now
        if is_lost:
            kind = self.rng.choice(("replace", "wipe"))
        else:
            kind = self.rng.choice(("replace",) * 4 + ("wipe", "restart", "freeze", "cut"))
        if self.rng.random() < 0.1:
            self.begin(f"n{next(self.unused_numbers)}", None)
        seconds = self.rng.choice((0.1, 0.5, 2.0, 6.0, 12.0))
        # Two machines that end late at nearly the same time cost another one, for 1.2 s.
        may_renew = kind == "replace" and not is_lost and not self.leaving
        if may_renew and self.rng.random() < 0.2:
            self.renew(name, seconds)
            return
        if kind in ("replace", "wipe"):
            self.replace(name, min(seconds, 2.0), kind == "wipe")
            return
        self.note(kind, name, seconds)
        if kind == "restart":
            self.disturb(name, seconds, lambda: self.crash(name), lambda: self.start(name))
        elif kind == "freeze":
            self.disturb(name, seconds, lambda: self.pause(name, seconds), lambda: None)
        else:
            sides = self.blocked_links.side_by_name
            self.disturb(
                name,
                seconds,
                lambda: sides.update({name: name}),
                lambda: sides.pop(name, None),
            )

    def split(self):
        """Splits the hosts into two halves for some seconds; a machine may be lost meanwhile."""
        while self.leaving or self.lost_count():
            self.run_steps(STEP_SECONDS, LEADER_SECONDS)
        names = sorted(self.host_by_name)
        self.rng.shuffle(names)
        sides = {name: 1 for name in names[: len(names) // 2]}
        self.note("split", sorted(sides))
        self.blocked_links.side_by_name = sides
        loses_machine = self.rng.random() < 0.5
        self.run_steps(self.rng.uniform(0.5, 3.0), None)
        if loses_machine:
            self.replace(self.rng.choice(sorted(self.host_by_name)), 0.1, False)
        self.run_steps(self.rng.uniform(0.5, 6.0), None)
        self.blocked_links.side_by_name = {}
        self.note("joined")
        if loses_machine:
            self.run_steps(RECOVERY_SECONDS, RECOVERY_SECONDS)

    # Checks.

    def has_working_leader(self):
        return any(self.host_works(self.host_by_name[name]) for name in self.leaders())

    def host_works(self, host):
        has_applied = host.applied >= host.node._leadership.no_op_index
        is_cut = self.blocked_links.side_by_name.get(host.node_id, 0) != 0
        return has_applied and host.paused_until <= self.now and not is_cut

    def run_steps(self, seconds, leader_seconds):
        """Runs for a time and checks that there is no longer time than permitted without a leader.

        Args:
            seconds: Time to run.
            leader_seconds: Permitted time without a leader after a fault; None checks nothing.
        """
        end = self.now + seconds
        while self.now < end:
            self.run(min(STEP_SECONDS, end - self.now + 1e-6))
            if self.rng.random() < 0.1:
                for name in self.leaders():
                    self.propose(name)
            if self.has_working_leader() or leader_seconds is None:
                self.leader_at = self.now
            if leader_seconds is None:
                continue
            waited = self.now - max(self.leader_at, self.calm_since)
            assert waited <= leader_seconds, f"no leader for {waited:.1f} s; {self.describe()}"

    def check_margin(self):
        """Checks that the losses which may come now leave a majority of the voters."""
        configurations = [
            host.node.committed_configuration()
            for host in self.host_by_name.values()
            if host.node is not None
        ]
        voters = max(configurations, key=lambda pair: pair[0])[1].voters
        alive = sum(
            name in self.host_by_name and self.lost_until_by_name.get(name, 0.0) <= self.now
            for name in voters
        )
        spare = alive - (len(voters) // 2 + 1)
        permitted = self.losses - self.lost_count()
        assert spare >= permitted, (
            f"{permitted} more losses permitted, but only {spare} of {sorted(voters)} "
            f"can be spared; {self.describe()}"
        )

    def describe(self):
        configurations = {
            name: sorted(host.node.log.configuration().voters)
            for name, host in self.host_by_name.items()
            if host.node is not None
        }
        return f"now {self.now:.2f}, events {self.events}, voters {configurations}"


# Seconds without data after which a sender closes its connection, and the time that it then takes
# to open another one.
CONNECTION_SILENCE_SECONDS = 1.2
RECONNECT_SECONDS = (0.1, 0.6)
# Delay of the first byte after a cut, as packets are sent again at growing intervals.
RETRANSMISSION_SECONDS = (0.01, 2.5)
SLOW_SYNC_SECONDS = (0.15, 0.6)
LATE_TURN_SECONDS = (0.1, 0.6)


class Connection:
    """A connection on which one host sends to another one, in order.

    Attributes:
        is_open: Whether messages are taken; otherwise they are dropped.
        is_silent: Whether it delivers nothing any more although it is open.
        held_messages: Messages that a cut or a silence holds up.
        broken_since: Time since which the sender gets no data, or None.
        last_arrival_at: Time of arrival of the message that was sent last.
        number: Number of the connections that were opened before.
    """

    def __init__(self):
        self.is_open, self.is_silent, self.held_messages = True, False, []
        self.broken_since, self.last_arrival_at, self.number = None, 0.0, 0


class ConnectedDeployment(Deployment):
    """A deployment whose hosts talk over connections, and whose disks and turns may be slow.

    Attributes:
        connection_by_link: `Connection` by pair (sender, receiver).
        sync_seconds_by_name: Range of the time of a sync of a slow disk.
        hangs_until_by_name: Time until which a disk finishes no write.
        late_names: Hosts whose every turn is late.
        events_by_late_name: Events that wait for a late turn.
        started_at_by_name: Time of the first start of each host.
        without_path_at_by_name: Last time at which a host did not reach all hosts that it has to.
    """

    split_share = 0.3

    def __init__(self, seed, size, losses, loss=0.0):
        self.connection_by_link, self.sync_seconds_by_name = {}, {}
        self.hangs_until_by_name, self.late_names = {}, set()
        self.events_by_late_name, self.started_at_by_name = {}, {}
        self.without_path_at_by_name = {}
        super().__init__(seed, size, losses, loss)

    def add_host(self, name, configuration=None, address=None):
        self.started_at_by_name[name] = self.now
        super().add_host(name, configuration, address)

    # Connections.

    def is_broken(self, sender, to):
        """Returns whether one of both directions is cut."""
        return (sender, to) in self.blocked_links or (to, sender) in self.blocked_links

    def send(self, sender, to, message):
        if self.rng.random() < self.loss_probability or to not in self.host_by_name:
            return
        link = (sender, to)
        connection = self.connection_by_link.setdefault(link, Connection())
        self.watch(link, connection)
        if not connection.is_open:
            return
        if connection.is_silent or connection.held_messages or link in self.blocked_links:
            connection.held_messages.append(message)
            return
        arrival_at = max(connection.last_arrival_at, self.now + self.rng.uniform(0.001, 0.003))
        connection.last_arrival_at = arrival_at
        event = messages.Received(sender, message)
        self.schedule(arrival_at - self.now, self.arrive, link, connection.number, event)

    def arrive(self, link, number, event):
        host = self.host_by_name.get(link[1])
        connection = self.connection_by_link[link]
        if host is None:
            return
        if number == connection.number and (connection.is_silent or link in self.blocked_links):
            connection.held_messages.append(event.message)
            self.watch(link, connection)
            return
        self.deliver(host, host.incarnation, event)

    def watch(self, link, connection):
        """Notices a cut or a silence of a connection, and looks again until it is over."""
        is_down = connection.is_silent or self.is_broken(*link)
        if connection.broken_since is None and connection.is_open and is_down:
            connection.broken_since = self.now
            self.schedule(STEP_SECONDS, self.check_connection, link, connection.number)

    def check_connection(self, link, number):
        connection = self.connection_by_link[link]
        if connection.number != number:
            return
        broken_seconds = self.now - connection.broken_since
        if not connection.is_silent and not self.is_broken(*link):
            delay = self.rng.uniform(*RETRANSMISSION_SECONDS)
            # The sender may give up before the packets are sent again.
            if delay < broken_seconds and broken_seconds + delay < CONNECTION_SILENCE_SECONDS:
                connection.broken_since = None
                self.schedule(delay, self.release, link, number)
                return
        if broken_seconds < CONNECTION_SILENCE_SECONDS:
            self.schedule(STEP_SECONDS, self.check_connection, link, number)
            return
        held_messages, connection.held_messages = connection.held_messages, []
        connection.is_open, connection.number = False, connection.number + 1
        # Bytes that were given to the kernel may arrive although the connection is closed.
        if not connection.is_silent and self.rng.random() < 0.5:
            self.schedule(STEP_SECONDS, self.deliver_remainder, link, held_messages)
        self.schedule(self.rng.uniform(*RECONNECT_SECONDS), self.reconnect, link)

    def deliver_remainder(self, link, held_messages):
        if self.is_broken(*link):
            self.schedule(STEP_SECONDS, self.deliver_remainder, link, held_messages)
            return
        delay = self.rng.uniform(*RETRANSMISSION_SECONDS)
        for message in held_messages:
            event = messages.Received(link[0], message)
            self.schedule(delay, self.arrive, link, None, event)

    def release(self, link, number):
        connection = self.connection_by_link[link]
        if connection.number != number:
            return
        held_messages, connection.held_messages = connection.held_messages, []
        for message in held_messages:
            self.send(*link, message)

    def reconnect(self, link):
        connection = self.connection_by_link[link]
        if self.is_broken(*link):
            self.schedule(self.rng.uniform(*RECONNECT_SECONDS), self.reconnect, link)
            return
        connection.is_open, connection.is_silent, connection.broken_since = True, False, None

    # Disks and turns.

    def sync(self, host, incarnation):
        remaining = self.hangs_until_by_name.get(host.node_id, 0.0) - self.now
        if remaining > 0.0:
            self.schedule(remaining + 0.01, self.sync, host, incarnation)
            return
        super().sync(host, incarnation)

    def execute_actions(self, host, actions):
        usual = self.disk_delay
        self.disk_delay = self.sync_seconds_by_name.get(host.node_id, usual)
        super().execute_actions(host, actions)
        self.disk_delay = usual

    def deliver(self, host, incarnation, event):
        is_running = host.node is not None and host.incarnation == incarnation
        if not is_running or host.node_id not in self.late_names:
            super().deliver(host, incarnation, event)
            return
        waiting = self.events_by_late_name.setdefault((host.node_id, incarnation), [])
        if not waiting:
            delay = self.rng.uniform(*LATE_TURN_SECONDS)
            self.schedule(delay, self.run_late_turn, host, incarnation)
        waiting.append(event)

    def run_late_turn(self, host, incarnation):
        events = self.events_by_late_name.pop((host.node_id, incarnation))
        if host.node is not None and host.incarnation == incarnation:
            self.execute_actions(host, host.node.handle_all(events, self.now))

    # Faults.

    def fault_within_limits(self):
        """Begins a fault of a host, its links, its disk or its turns, or of open connections."""
        kind = self.rng.choice((*CONNECTION_FAULTS, "machine", "machine", "silence"))
        if kind == "machine":
            super().fault_within_limits()
            return
        if kind == "silence":
            self.silence_connections(self.rng.choice((0.2, 0.5, 1.0)))
            return
        name = self.pick_host()
        if name is None or self.lost_count() >= self.losses:
            return
        seconds = self.rng.choice((0.3, 1.0, 2.5, 6.0, 14.0))
        self.note(kind, name, seconds)
        begin, end = CONNECTION_FAULTS[kind](self, name, seconds)
        self.disturb(name, seconds, begin, end)

    def silence_connections(self, share):
        self.note("silence", share)
        for link, connection in self.connection_by_link.items():
            if connection.is_open and self.rng.random() < share:
                connection.is_silent = True
                self.watch(link, connection)

    def cut(self, directions):
        """Returns calls that begin and end a cut of pairs (sender, receiver)."""
        return (
            lambda: self.block(directions),
            lambda: self.blocked_links.directions.difference_update(directions),
        )

    def block(self, directions):
        self.blocked_links.directions.update(directions)
        for link, connection in self.connection_by_link.items():
            self.watch(link, connection)

    def split(self):
        """Disturbs any hosts, links, disks and turns for some seconds, and ends it all at once."""
        if self.rng.random() < 0.3:
            super().split()
            return
        while self.leaving or self.lost_count():
            self.run_steps(STEP_SECONDS, LEADER_SECONDS)
        names = sorted(self.host_by_name)
        share = self.rng.choice((0.1, 0.3, 0.6))
        kinds = self.rng.choice((ALL_HOSTS_FAULTS, ALL_HOSTS_FAULTS[:1], ALL_HOSTS_FAULTS[1:]))
        seconds = self.rng.uniform(1.0, 20.0)
        self.note("disturb all", kinds, share, seconds)
        end = self.now + seconds
        while self.now < end:
            for name in names:
                if self.rng.random() < share:
                    kind = self.rng.choice(kinds)
                    remaining = end - self.now
                    begin, stop = CONNECTION_FAULTS[kind](self, name, remaining)
                    begin()
                    self.schedule(self.rng.choice((0.2, 1.0, 1.0)) * remaining, stop)
            self.run_steps(min(self.rng.uniform(0.3, 4.0), max(0.0, end - self.now)), None)
        self.run_steps(0.001, None)
        self.blocked_links.directions.clear()
        self.late_names.clear()
        self.sync_seconds_by_name.clear()
        self.note("calm")
        self.run_steps(RECOVERY_SECONDS, LEADER_SECONDS)

    # Checks.

    def reaches(self, name, other):
        """Returns whether two hosts run and reach each other in both directions."""
        host = self.host_by_name.get(other)
        is_running = host is not None and host.node is not None and host.paused_until <= self.now
        return is_running and not self.is_broken(name, other)

    def host_works(self, host):
        name = host.node_id
        # A leader that has nothing to write does not notice that its disk hangs.
        if self.hangs_until_by_name.get(name, 0.0) > self.now and host.disk.unsynced_actions:
            return False
        voters = host.node.log.configuration().voters
        reached = sum(self.reaches(name, voter_id) for voter_id in voters)
        return 2 * reached > len(voters) and super().host_works(host)

    def run_steps(self, seconds, leader_seconds):
        end = self.now + seconds
        while self.now < end:
            super().run_steps(min(STEP_SECONDS, end - self.now + 1e-6), leader_seconds)
            self.look_for_paths()
            if leader_seconds is not None and self.now - self.calm_since > CATCH_UP_SECONDS:
                self.check_hosts_in_touch()

    def look_for_paths(self):
        """Notes which hosts do not reach every host that itself reaches more than half of all."""
        names = set(self.host_by_name)
        reached_by_name = {
            name: {other for other in names if self.reaches(name, other)} for name in names
        }
        central = {name for name in names if 2 * len(reached_by_name[name]) > len(names)}
        for name in names:
            if not central <= reached_by_name[name] | {name}:
                self.without_path_at_by_name[name] = self.now

    def check_hosts_in_touch(self):
        """Checks that each host that is in touch has lately heard a leader."""
        for name, host in self.host_by_name.items():
            in_touch_at = CATCH_UP_SECONDS + max(
                self.started_at_by_name[name], self.without_path_at_by_name.get(name, 0.0)
            )
            if max(in_touch_at, self.lost_until_by_name.get(name, 0.0)) >= self.now:
                continue
            contact = host.node.seconds_since_leader_contact(self.now)
            assert (
                contact <= CATCH_UP_SECONDS
            ), f"{name} is out of touch for {contact:.1f} s; {self.describe()}"

    def finish(self):
        self.late_names.clear()
        super().finish()


CONNECTION_FAULTS = {}


def connection_fault(name):
    """Registers a function that returns the begin and the end of a fault of a host."""

    def register(function):
        CONNECTION_FAULTS[name] = function
        return function

    return register


@connection_fault("link")
def cut_link(world, name, seconds):
    other = world.rng.choice(sorted(set(world.host_by_name) - {name}))
    return world.cut({(name, other), (other, name)})


@connection_fault("one direction")
def cut_direction(world, name, seconds):
    other = world.rng.choice(sorted(set(world.host_by_name) - {name}))
    return world.cut({world.rng.choice(((name, other), (other, name)))})


@connection_fault("sends nothing")
def cut_sending(world, name, seconds):
    return world.cut({(name, other) for other in world.host_by_name})


@connection_fault("receives nothing")
def cut_receiving(world, name, seconds):
    return world.cut({(other, name) for other in world.host_by_name})


@connection_fault("cut")
def cut_off(world, name, seconds):
    others = set(world.host_by_name) - {name}
    return world.cut({pair for other in others for pair in ((name, other), (other, name))})


@connection_fault("slow disk")
def slow_disk(world, name, seconds):
    return (
        lambda: world.sync_seconds_by_name.update({name: SLOW_SYNC_SECONDS}),
        lambda: world.sync_seconds_by_name.pop(name, None),
    )


@connection_fault("hanging disk")
def hang_disk(world, name, seconds):
    return lambda: world.hangs_until_by_name.update({name: world.now + seconds}), lambda: None


@connection_fault("late turns")
def delay_turns(world, name, seconds):
    return lambda: world.late_names.add(name), lambda: world.late_names.discard(name)


def play(seed, deployment_class=Deployment):
    """Plays one sequence of faults; returns the deployment."""
    rng = random.Random(seed)
    size, losses = rng.choice(DEPLOYMENTS)
    world = deployment_class(seed, size, losses, loss=rng.choice((0.0, 0.0, 0.05)))
    world.events.append(f"seed {seed}, {size} machines, {losses} losses")
    world.run(CATCH_UP_SECONDS + 1.0)
    world.calm_since = world.now
    for _ in range(rng.randint(3, 6)):
        if rng.random() < world.split_share:
            world.run_steps(CATCH_UP_SECONDS, LEADER_SECONDS)
            while world.lost_count():
                world.run_steps(STEP_SECONDS, LEADER_SECONDS)
            world.split()
        world.check_margin()
        while world.lost_count() >= losses and rng.random() < 0.99:
            world.run_steps(STEP_SECONDS, LEADER_SECONDS)
        world.check_margin()
        world.fault_within_limits()
        world.run_steps(rng.choice((0.05, 0.3, 1.0, 5.0)), LEADER_SECONDS)
    while world.lost_count():
        world.run_steps(STEP_SECONDS, LEADER_SECONDS)
    world.check_margin()
    world.run_steps(RECOVERY_SECONDS, LEADER_SECONDS)
    world.finish()
    return world


@pytest.mark.parametrize("first_seed", range(0, 60, 20))
def test_a_leader_remains_electable_while_machines_are_replaced(first_seed):
    # Guards against voters that are gone for good and of which too many remain in the
    # configuration: after the loss of one more machine no leader can be elected any more.
    for seed in range(first_seed, first_seed + 20):
        play(seed)


@pytest.mark.parametrize("first_seed", range(0, 20, 10))
def test_a_leader_remains_electable_over_bad_connections_disks_and_turns(first_seed):
    # Guards against members that live and are reached, and of which none leads: connections that
    # are open and deliver nothing or old messages, cuts of one link or in one direction, slow and
    # hanging disks, late turns.
    for seed in range(first_seed, first_seed + 10):
        play(seed, ConnectedDeployment)


# Kinds of faults that may strike any number of hosts at a time.
ALL_HOSTS_FAULTS = ("one direction", "late turns", "slow disk", "hanging disk")

DEPLOYMENT_BY_PLAY = {"machines": Deployment, "connections": ConnectedDeployment}


def spare_voters(members, settings):
    """Returns how many of the voters that are not silent may be lost."""
    voters = [member for member in members if member.is_voter]
    alive = sum(voter.silence <= settings.replacement_timeout for voter in voters)
    return alive - (len(voters) // 2 + 1)


LEADER = membership.Member("leader", True, 0.0, 100.0, True)
SILENCES = st.sampled_from((0.0, 0.1, 0.5, 0.7, 1.3, 5.0, 11.0))
AGES = st.sampled_from((0.05, 0.6, 3.0, 50.0))


@hypothesis.settings(max_examples=2000)
@hypothesis.given(
    st.integers(0, 3),
    st.lists(st.tuples(SILENCES, AGES, st.booleans()), max_size=8),
    st.lists(st.tuples(SILENCES, AGES, st.booleans()), max_size=1),
    st.booleans(),
)
def test_no_change_reduces_the_voters_that_may_be_lost(losses, voters, learners, join_waits):
    # Guards against a removal or promotion after which fewer further losses are survived, and
    # against the removal of a voter that responds.
    settings = consensus.Settings(tolerated_losses=losses)
    members = [LEADER]
    for position, (silence, age, is_stopping) in enumerate(voters):
        members.append(
            membership.Member(f"v{position}", True, silence, age, True, is_stopping=is_stopping)
        )
    for silence, age, is_caught_up in learners:
        is_caught_up = is_caught_up and silence < min(age, settings.election_timeout_min)
        members.append(membership.Member("learner", False, silence, age, is_caught_up))
    change = membership.choose_change(members, join_waits, settings)
    if change is None:
        return
    changed = next(member for member in members if member.member_id == change.member_id)
    rest = [member for member in members if member is not changed]
    if change.kind == membership.Kind.PROMOTE:
        assert changed.is_caught_up and not changed.is_voter
        promoted = membership.Member(changed.member_id, True, changed.silence, changed.age, True)
        rest.append(promoted)
    else:
        assert changed is not LEADER and changed.silence > settings.replacement_timeout
    assert spare_voters(rest, settings) >= spare_voters(members, settings)
    voter_count = sum(member.is_voter for member in members)
    if change.kind == membership.Kind.REMOVE and changed.is_voter:
        can_promote = any(not member.is_voter and member.is_caught_up for member in members)
        assert voter_count > settings.min_voters() - int(can_promote)


def voter(number, silence, is_caught_up=True):
    return membership.Member(f"v{number}", True, silence, 50.0, is_caught_up)


def stopping(number, silence):
    return membership.Member(f"v{number}", True, silence, 50.0, True, is_stopping=True)


def learner(silence=0.1, age=1.0, is_caught_up=True):
    return membership.Member("learner", False, silence, age, is_caught_up)


@pytest.mark.parametrize(
    "members, expected",
    [
        # A short silence removes nobody while no process waits to join.
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 5.0)], None),
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 10.1)], ("remove", "v3")),
        # Of four voters with one that has stopped no loss is survived, of the other three one is.
        ([voter(1, 0.1), voter(2, 0.1), stopping(3, 2.6)], ("remove", "v3")),
        ([voter(1, 0.1), voter(2, 0.1), stopping(3, 2.4)], None),
        ([voter(1, 0.1), stopping(2, 0.1), voter(3, 2.6)], None),
        # Of five voters as many losses are survived with it as without it.
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 0.1), stopping(4, 9.9)], None),
        # A learner that catches up is enough above the minimum of voters.
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 1.3), learner(0.1, 1.0, False)], ("remove", "v3")),
        # Of more silent voters than may be lost at a time, some are gone for good.
        ([*map(voter, range(4), (0.1, 0.1, 1.3, 1.4))], ("remove", "v3")),
        # A learner that has never responded is no evidence.
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 1.3), learner(1.0, 1.0, False)], None),
        # A voter that has not stored the configuration with the learner is waited for.
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 0.2, False), learner()], None),
        ([voter(1, 0.1), voter(2, 0.1), voter(3, 0.2), learner()], ("promote", "learner")),
        # At the minimum of voters only a learner that has caught up replaces another one.
        ([voter(1, 0.1), voter(2, 1.3), learner(0.1, 1.0, False)], None),
        ([voter(1, 0.1), voter(2, 1.3), learner()], ("remove", "v2")),
        ([voter(1, 0.1), voter(2, 20.0)], None),
        # Below it, the learner becomes a voter at once.
        ([voter(1, 1.3), learner()], ("promote", "learner")),
    ],
)
def test_choice_of_the_next_change(members, expected):
    # Guards the table of docs/design.md, section 14.
    change = membership.choose_change([LEADER, *members], False, consensus.Settings())
    assert (change and (change.kind.value, change.member_id)) == expected


def test_learner_that_stopped_gives_way_to_another_one():
    # Guards against a successor that is refused as long as a lost learner is remembered.
    members = [LEADER, voter(1, 0.1), voter(2, 0.1), learner(1.3, 2.0, False)]
    assert membership.choose_change(members, False, consensus.Settings()) is None
    change = membership.choose_change(members, True, consensus.Settings())
    assert (change.kind, change.member_id) == (membership.Kind.REMOVE, "learner")


def main():
    first, count = int(sys.argv[1]), int(sys.argv[2])
    deployment_class = DEPLOYMENT_BY_PLAY[sys.argv[3] if len(sys.argv) > 3 else "machines"]
    started, failed, virtual_seconds = time.monotonic(), 0, 0.0
    for seed in range(first, first + count):
        try:
            virtual_seconds += play(seed, deployment_class).now
        except (AssertionError, StopIteration) as error:
            failed += 1
            print(f"seed {seed}: {error!r}"[:1500], flush=True)
    took = time.monotonic() - started
    print(f"{count} sequences, {failed} failed, {virtual_seconds:.0f} simulated s, {took:.0f} s")


if __name__ == "__main__":
    main()
