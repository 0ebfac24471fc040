"""Kinds of messages between the system's processes."""

import enum


class Kind(enum.IntEnum):
    """Message kinds; the numbers are part of the wire format and are never reused."""

    PING = 1
    JOURNAL = 10
    DIRECTORY_PULL = 20
    CONSENSUS = 30
    CONTROL_HEARTBEAT = 40
    CONTROL_PROPOSE = 41
    CONTROL_READ = 42
    CONTROL_PUBLISHED = 43
    CONTROL_JOIN = 44
    CONTROL_OWNER = 45
    CONTROL_EVIDENCE = 46
    CONTROL_ROLLOUTS = 47
    HUB_WATCH = 50
    HUB_REPORT = 51
    HUB_REPORT_RUNS = 52
    HUB_REPORT_PROMPTS = 53
    HUB_REPORT_LIMITS = 54
    HUB_QUOTA = 55
    HUB_LEAVES = 56
    RUN_QUERY = 60
