"""Admission of targets by their version."""


class VersionPolicy:
    """Admits every target and records nothing."""

    __slots__ = ("rollout_by_service",)

    def __init__(self, _settings_rollout, _rng):
        self.rollout_by_service = {}

    def apply_rollouts(self, states: list, now: float):
        """Replaces known states by newer ones; an empty list says that there is no order.

        Args:
            states: `rollouts.RolloutState` list.
            now: Time in seconds.
        """
        for state in states:
            known = self.rollout_by_service.get(state.service)
            if known is None or not known.newer_than(state):
                self.rollout_by_service[state.service] = state

    def take_evidence(self, now: float) -> list:
        """Returns the `rollouts.Evidence` since the last call."""
        return []

    def restore_evidence(self, reports: list):
        """Takes evidence back that could not be sent."""
