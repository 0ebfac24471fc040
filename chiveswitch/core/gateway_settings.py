"""Settings of a gateway's core: limits, timeouts and the policies that it uses."""

from chiveswitch.core import admission, journal, replication, retry

# A gateway admits work under a bundle for this long after it sent the request by which control
# confirmed the bundle. A new bundle is thus in force at every gateway within 6 s, even if a
# heartbeat is missed and a new control leader has to be elected.
BUNDLE_LEASE_SECONDS = 4.0
# A gateway without a sign of life for this long is replaced as a journal holder. Two successive
# pulls, each from two random peers, may bring no newer report of it, so the limit is three pull
# intervals of 0.4 s.
SUSPECT_SECONDS = 1.2


class GatewaySettings:
    """Settings of `gateway.GatewayCore`.

    Attributes:
        bundle_lease_s: Seconds for which a confirmed bundle allows new work to be admitted.
        suspect_s: Seconds without a sign of life after which a gateway is replaced as a holder.
        policy: Name of the policy that chooses targets, in `selection.POLICY_BY_NAME`.
        detector: Name of the failure detector in `detector.DETECTOR_BY_NAME`.
        journal_copies_override: Number of copies of each journal; 0 uses the service's setting. 1
            serves as a baseline in comparisons.
        restarts_failed_generations: Whether failed generations start from the beginning instead of
            being resumed; serves as a baseline in comparisons.
        max_open_generations: Largest number of open generations, which bounds memory.
        gateway_count: Number of configured gateways, including this one.
        store: `journal.StoreSettings` of the journals held here.
        replication: `replication.Settings` of the journals owned here.
        admission: `admission.AdmissionSettings` of the queues.
        retry: `retry.RetrySettings` of the retry budget.
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
