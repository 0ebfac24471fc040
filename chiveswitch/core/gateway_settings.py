"""Settings of a gateway's decisions."""

from chiveswitch.core import admission, journal, replication, retry

# A bundle counts as confirmed for this long after control was asked, so that a new bundle is in
# force everywhere within 6 s, a missed heartbeat and a new leader's election included.
BUNDLE_LEASE_SECONDS = 4.0
# A gateway unheard for this long is replaced as a holder. Two pulls of two random peers each may
# miss it, so the limit is three pull intervals of 0.4 s.
SUSPECT_SECONDS = 1.2


class GatewaySettings:
    """Settings of the decisions.

    Attributes:
        bundle_lease_s: Seconds for which a confirmed bundle admits new work.
        suspect_s: Seconds after which an unheard gateway is replaced as a holder.
        policy: Name of the target choice in `selection.POLICY_BY_NAME`.
        detector: Name of the detector in `detector.DETECTOR_BY_NAME`.
        journal_copies_override: Copies of each journal, or 0 for the setting of the service.
            1 is a baseline.
        restarts_failed_generations: Baseline: failed generations start again instead of continuing.
        max_open_generations: Open generations at most, which bounds memory.
        gateway_count: Number of gateways that the settings name, the own one included.
        store: `journal.StoreSettings`.
        replication: `replication.Settings`.
        admission: `admission.AdmissionSettings`.
        retry: `retry.RetrySettings`.
    """

    __slots__ = (
        "bundle_lease_s",
        "suspect_s",
        "policy",
        "detector",
        "journal_copies_override",
        "restarts_failed_generations",
        "max_open_generations",
        "gateway_count",
        "store",
        "replication",
        "admission",
        "retry",
    )

    def __init__(
        self,
        bundle_lease_s=BUNDLE_LEASE_SECONDS,
        suspect_s=SUSPECT_SECONDS,
        policy="least_loaded",
        detector="adaptive",
        journal_copies_override=0,
        restarts_failed_generations=False,
        max_open_generations=5000,
        gateway_count=0,
    ):
        self.bundle_lease_s = bundle_lease_s
        self.suspect_s = suspect_s
        self.policy = policy
        self.detector = detector
        self.journal_copies_override = journal_copies_override
        self.restarts_failed_generations = restarts_failed_generations
        self.max_open_generations = max_open_generations
        self.gateway_count = gateway_count
        self.store = journal.StoreSettings()
        self.replication = replication.Settings()
        self.admission = admission.AdmissionSettings()
        self.retry = retry.RetrySettings()
