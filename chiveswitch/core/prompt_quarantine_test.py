"""Tests of the evidence against parts of prompts, and of their quarantine."""

import random

from chiveswitch.core import prompt_quarantine

WAITING = prompt_quarantine.Outcome.CRASHED_WAITING
ANSWERING = prompt_quarantine.Outcome.CRASHED_ANSWERING
BEGAN = prompt_quarantine.Outcome.BEGAN


class Gateway:
    """A quarantine whose calls use a manual clock."""

    def __init__(self):
        self.now = 1000.0
        self.held = []
        self.released = []
        self.quarantine = prompt_quarantine.PromptQuarantine(
            random.Random(1),
            lambda part, suspect, parts: self.held.append(part),
            lambda part, suspect: self.released.append(part),
        )

    def crash(self, *parts, outcome=ANSWERING, target="", after=1.0):
        """Applies the crash of an engine `after` seconds after the last event."""
        self.now += after
        target = target or f"e{self.now}"
        report = prompt_quarantine.Report(outcome, list(parts), self.now, target)
        return self.quarantine.apply_report(report, self.now)

    def begin_elsewhere(self, part, at=None):
        """Applies the report of another gateway that a response with a part began."""
        at = self.now if at is None else at
        report = prompt_quarantine.Report(BEGAN, [part], at, "e")
        return self.quarantine.apply_report(report, self.now)

    def find_held(self, *parts):
        found = self.quarantine.find_held(list(parts), self.now)
        return None if found is None else found[0]


def test_a_part_that_crashes_engines_of_several_requests_is_held():
    # Guards against requests that share one part only and crash one engine after the other.
    gateway = Gateway()
    gateway.crash("first-1", "bad", "a")
    gateway.crash("first-2", "bad", "b")
    assert gateway.find_held("first-3", "bad", "c") is None
    gateway.crash("first-3", "bad", "c")
    assert gateway.held == ["bad"]
    assert gateway.find_held("first-4", "bad", "d") == "bad"
    assert gateway.find_held("first-1", "d") is None


def test_a_request_that_crashes_two_engines_is_not_sent_to_a_third():
    # Guards against one request that crashes as many engines as its route permits attempts, and
    # against a part that is suspected because of this request alone.
    gateway = Gateway()
    gateway.crash("first", "middle", "a")
    assert gateway.find_held("first", "middle", "a") is None
    gateway.crash("first", "middle", "a")
    assert gateway.held == ["a"]
    assert gateway.find_held("first", "middle", "b") is None


def test_crashes_at_one_time_count_once():
    # Guards against a hot part that is held because a zone with many engines was lost.
    gateway = Gateway()
    for number in range(12):
        outcome = WAITING if number % 4 else ANSWERING
        gateway.crash("hot", f"r{number}", outcome=outcome, after=0.01)
    assert gateway.held == []


def test_crashes_of_one_request_in_quick_succession_count_each():
    # Guards against a short prompt that crashes all engines before its crashes count as several.
    gateway = Gateway()
    gateway.crash("first", "middle", "a", target="e1")
    # The same crash is reported once more through a hub.
    gateway.crash("first", "middle", "a", target="e1", after=0.01)
    assert gateway.held == []
    gateway.crash("first", "middle", "a", target="e2", after=0.01)
    assert gateway.held == ["a"]


def test_waiting_requests_are_weak_evidence():
    # Guards against a part that is held because its requests waited at engines that were crashed by
    # other requests, and against engines that crash before the head of their response is sent.
    gateway = Gateway()
    for number in range(5):
        gateway.crash("first", "middle", f"r{number}", outcome=WAITING)
    assert gateway.held == []
    gateway.crash("first", "middle", "r6", outcome=WAITING)
    assert gateway.held == ["middle"]


def test_a_response_that_began_refutes_earlier_crashes():
    # Guards against a sound part that is held because crashes add up over a day with many losses.
    gateway = Gateway()
    for number in range(20):
        gateway.crash("first", "sound", f"r{number}")
        assert gateway.quarantine.record_beginning(["first", "sound", f"s{number}"], gateway.now)
    assert gateway.held == []
    for number in range(20):
        gateway.crash("first", "sound", f"t{number}")
        gateway.begin_elsewhere("first")
        gateway.begin_elsewhere("sound")
    assert gateway.held == []


def test_a_crash_that_is_reported_after_a_later_beginning_does_not_count():
    # Guards against crashes that arrive late, because reports come through several hubs.
    gateway = Gateway()
    gateway.begin_elsewhere("first", gateway.now + 60.0)
    for number in range(6):
        gateway.crash("first", f"r{number}")
    assert gateway.held == []


def test_a_part_whose_responses_began_before_is_suspected_last():
    # Guards against the quarantine of a common part behind the one that crashes engines, if no
    # response with the common part begins between the crashes.
    gateway = Gateway()
    gateway.quarantine.record_beginning(["first", "common", "s"], gateway.now)
    for number in range(3):
        gateway.crash("first", "bad", "common", f"r{number}")
    assert gateway.held == ["bad"]
    # The crashes of requests that were sent before are explained by the part in quarantine.
    for number in range(5):
        gateway.crash("first", "bad", "common", f"t{number}")
    assert gateway.held == ["bad"]


def test_a_gateway_tells_others_that_a_suspect_part_was_sound():
    # Guards against a gateway that suspects a common part because only others have served it.
    gateway = Gateway()
    gateway.quarantine.record_beginning(["common", "s"], gateway.now)
    began_at = gateway.now
    assert gateway.crash("common", "bad", "a") == [("common", began_at)]
    # One report is enough, also if another gateway has sent it.
    assert gateway.crash("common", "bad", "b") == []
    other = Gateway()
    other.quarantine.record_beginning(["common", "s"], other.now)
    other.begin_elsewhere("common", other.now)
    assert other.crash("common", "bad", "a") == []


def test_a_part_that_was_sound_is_held_after_more_crashes():
    # Guards against a part that is never held because it was sound before an engine was changed.
    gateway = Gateway()
    gateway.quarantine.record_beginning(["part", "s"], gateway.now)
    for number in range(4):
        gateway.crash("part", f"r{number}")
    assert gateway.held == []
    gateway.crash("part", "r5")
    assert gateway.held == ["part"]


def test_a_quarantine_ends_with_a_trial():
    # Guards against a wrong quarantine that never ends, and against many trials at once.
    gateway = Gateway()
    for number in range(3):
        gateway.crash("bad", f"r{number}")
    gateway.now += prompt_quarantine.QUARANTINE_SECONDS - 1.0
    assert gateway.find_held("bad", "x") == "bad"
    gateway.now += 1.0 + prompt_quarantine.TRIAL_SECONDS
    assert gateway.find_held("bad", "x") is None
    assert gateway.find_held("bad", "y") == "bad"
    # The trial fails: the next quarantine takes twice as long.
    gateway.crash("bad", "x")
    assert gateway.held == ["bad", "bad"]
    gateway.now += 1.5 * prompt_quarantine.QUARANTINE_SECONDS
    assert gateway.find_held("bad", "z") == "bad"
    gateway.now += prompt_quarantine.QUARANTINE_SECONDS
    assert gateway.find_held("bad", "z") is None
    # The trial succeeds: the part is no longer suspect.
    gateway.begin_elsewhere("bad")
    assert gateway.released == ["bad"]
    assert gateway.find_held("bad", "y") is None


def test_a_late_crash_does_not_prolong_a_quarantine():
    # Guards against requests sent before the quarantine, whose crashes arrive after its begin.
    gateway = Gateway()
    for number in range(6):
        gateway.crash("bad", f"r{number}")
    assert gateway.held == ["bad"]


def test_trials_of_many_gateways_are_spread():
    # Guards against a trial at every gateway in the same second.
    gateway_count = 80
    trial_times = []
    for seed in range(gateway_count):
        quarantine = prompt_quarantine.PromptQuarantine(random.Random(seed))
        quarantine.gateway_count = gateway_count
        for number in range(3):
            at = 1000.0 + number
            quarantine.apply_report(
                prompt_quarantine.Report(ANSWERING, ["bad", f"r{number}"], at, "e"), at
            )
        end = 1002.0 + prompt_quarantine.QUARANTINE_SECONDS
        _, wait_s = quarantine.find_held(["bad", "x"], end - 1.0)
        trial_times.append(wait_s - 1.0)
    within_trial = sum(each < prompt_quarantine.TRIAL_SECONDS for each in trial_times)
    assert within_trial <= 4 and max(trial_times) <= (
        gateway_count * prompt_quarantine.TRIAL_SECONDS
    )


def test_memory_is_bounded():
    # Guards against prompts without end that fill the memory of a gateway.
    gateway = Gateway()
    for number in range(3 * prompt_quarantine.MAX_SUSPECTS):
        gateway.crash(f"first-{number}", f"r{number}", after=0.001)
        gateway.quarantine.record_beginning([f"s-{number}", f"t{number}"], gateway.now)
    suspects = gateway.quarantine._suspect_by_part
    assert len(suspects) <= prompt_quarantine.MAX_SUSPECTS
    assert len(gateway.quarantine._began_at_by_part) <= prompt_quarantine.MAX_SOUND_PARTS
    gateway.now += prompt_quarantine.EVIDENCE_SECONDS + 1.0
    gateway.quarantine.sweep(gateway.now)
    assert not suspects and not gateway.quarantine._reported_at_by_part
