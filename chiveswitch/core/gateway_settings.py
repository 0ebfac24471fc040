"""Settings of a gateway's decisions."""

from chiveswitch.core import admission, journal, replication, retry

# A bundle counts as confirmed for this long after control was asked, so that a new bundle is in
# force everywhere within 6 s, a missed heartbeat and a new leader's election included.
LEASE_S = 4.0
# A gateway unheard for this long is replaced as a holder. Two pulls of two random peers each may
# miss it, so the limit is three pull intervals of 0.4 s.
SUSPECT_S = 1.2


class GatewaySettings:
    """Settings of the decisions.

    Attributes:
        lease_s: Seconds for which a confirmed bundle admits new work.
        suspect_s: Seconds after which an unheard gateway is replaced as a holder.
        policy: Name of the target choice in `selection.POLICY_BY_NAME`.
        detector: Name of the detector in `detector.DETECTOR_BY_NAME`.
        copies: Copies of each journal, or 0 for the service's setting; 1 is a baseline.
        restart: Baseline: failed generations start again instead of continuing.
        max_open: Open generations at most, which bounds memory.
        peers: Number of gateways that the settings name, the own one included.
        store: `journal.StoreSettings`.
        replication: `replication.Settings`.
        admission: `admission.AdmissionSettings`.
        retry: `retry.RetrySettings`.
    """

    __slots__ = (
        "lease_s",
        "suspect_s",
        "policy",
        "detector",
        "copies",
        "restart",
        "max_open",
        "peers",
        "store",
        "replication",
        "admission",
        "retry",
    )

    def __init__(
        self,
        lease_s=LEASE_S,
        suspect_s=SUSPECT_S,
        policy="least_loaded",
        detector="adaptive",
        copies=0,
        restart=False,
        max_open=5000,
        peers=0,
    ):
        self.lease_s = lease_s
        self.suspect_s = suspect_s
        self.policy = policy
        self.detector = detector
        self.copies = copies
        self.restart = restart
        self.max_open = max_open
        self.peers = peers
        self.store = journal.StoreSettings()
        self.replication = replication.Settings()
        self.admission = admission.AdmissionSettings()
        self.retry = retry.RetrySettings()
