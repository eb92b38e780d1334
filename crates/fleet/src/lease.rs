//! Pure logic of the leases: when the fleet may be claimed, and when a worker's lease ends.

use model::time::{self, ClockMillis};

use crate::limits;
use crate::ports::OwnershipHandover;
use crate::row::OwnerRow;

/// Tracks the ownership row and decides when this entry may claim the fleet.
#[derive(Clone, Debug, Default)]
pub struct OwnershipTracker {
    /// Row with its version; none before the first read.
    row: Option<(u64, OwnerRow)>,
    /// When this version of the row was first seen.
    seen_at: ClockMillis,
    /// This entry does not claim before this instant.
    claims_blocked_until: ClockMillis,
    /// Last handover to this entry.
    handover: Option<OwnershipHandover>,
    /// Version of the row that nobody holds, and since when that is known.
    unheld_since: Option<(u64, ClockMillis)>,
}

impl OwnershipTracker {
    /// Records the row as it was read at `now`; older versions are ignored.
    pub fn observe(&mut self, version: u64, row: OwnerRow, now: ClockMillis) {
        if self.row.as_ref().is_none_or(|(known, _)| *known < version) {
            self.row = Some((version, row));
            self.seen_at = now;
        }
    }

    /// Returns the row with its version.
    #[must_use]
    pub fn row(&self) -> Option<&(u64, OwnerRow)> {
        self.row.as_ref()
    }

    /// Records a handover to this entry; the row may still name the previous holder.
    pub fn record_handover(&mut self, handover: OwnershipHandover) {
        self.handover = Some(handover);
    }

    /// Keeps this entry from claiming until `instant`.
    pub fn block_claims_until(&mut self, instant: ClockMillis) {
        self.claims_blocked_until = instant;
    }

    /// Returns true while this entry is kept from claiming.
    #[must_use]
    pub fn is_claim_blocked(&self, now: ClockMillis) -> bool {
        now < self.claims_blocked_until
    }

    /// Returns the row version that a claim must find, if this entry may claim the fleet now:
    /// nobody has held it for `delay_ms`, or its holder has handed it over to this entry.
    #[must_use]
    pub fn claimable_version(
        &mut self,
        own_name: &str,
        own_instance: &str,
        now: ClockMillis,
        delay_ms: u64,
    ) -> Option<u64> {
        if self.is_claim_blocked(now) {
            return None;
        }
        let unheld = self.unheld_version(own_name, own_instance, now);
        let Some((version, is_handed_over)) = unheld else {
            self.unheld_since = None;
            return None;
        };
        let since = match self.unheld_since {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        self.unheld_since = Some((version, since));
        (is_handed_over || now.since(since) >= delay_ms).then_some(version)
    }

    /// Returns the version of a row that nobody holds, and whether it was handed over to this
    /// entry.
    ///
    /// The holder's lease counts from the sending of its renewal, and this entry's wait from
    /// when it saw the renewal, so that the lease expires first.
    fn unheld_version(
        &self,
        own_name: &str,
        own_instance: &str,
        now: ClockMillis,
    ) -> Option<(u64, bool)> {
        let Some((version, row)) = &self.row else { return Some((0, false)) };
        let is_handed_over = self
            .handover
            .is_some_and(|handover| handover.term == row.term && handover.version >= *version);
        let is_released = row.holder.is_empty();
        // This process has replaced the holder, which was an earlier process of this entry.
        let is_replaced = row.holder == own_name && row.instance != own_instance;
        let is_expired = now.since(self.seen_at) > time::with_clock_margin(limits::OWNER_TTL_MS);
        (is_handed_over || is_released || is_replaced || is_expired)
            .then_some((*version, is_handed_over))
    }
}

/// A reading of the table service's steady clock, by which one owner tells the next when a
/// lease ends. Without it, each owner would have to assume the longest lease from its own claim.
#[derive(Clone, Copy, Debug)]
pub struct ServiceClock {
    /// When the read was sent.
    pub sent_at: ClockMillis,
    /// When its answer arrived.
    pub received_at: ClockMillis,
    /// The service's clock in the answer, in milliseconds; 0 if it is not known.
    pub clock_ms: u64,
}

impl ServiceClock {
    /// Returns the latest time that the service's clock can show at `instant`; none if the
    /// clock is not known.
    #[must_use]
    pub fn latest_service_time(&self, instant: ClockMillis) -> Option<u64> {
        let elapsed_ms = instant.since(self.sent_at);
        (self.clock_ms > 0).then(|| self.clock_ms + with_slow_clock(elapsed_ms))
    }

    /// Returns the latest instant at which the service's clock can reach `service_ms`; none if
    /// the clock is not known.
    #[must_use]
    pub fn latest_instant(&self, service_ms: u64) -> Option<ClockMillis> {
        let remaining_ms = service_ms.saturating_sub(self.clock_ms);
        (self.clock_ms > 0).then(|| self.received_at + with_slow_clock(remaining_ms))
    }
}

/// A lease that an earlier owner gave to a worker that is not registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiringLease {
    /// Instant by which it has expired.
    pub until: ClockMillis,
    /// The same on the service's clock, for the next owner.
    pub service_until_ms: Option<u64>,
}

impl ExpiringLease {
    /// Creates the lease from the end that the earlier owner stored, if any, and the longest
    /// lease that it can have given before it was replaced at `claimed_at`.
    #[must_use]
    pub fn new(
        stored_until_ms: Option<u64>,
        max_lease_ms: u64,
        claimed_at: ClockMillis,
        clock: &ServiceClock,
    ) -> Self {
        let longest_until = WorkerLease::inherited(max_lease_ms, claimed_at).inherited_until;
        let stored_until = stored_until_ms.and_then(|until| clock.latest_instant(until));
        match stored_until {
            Some(until) if until < longest_until => {
                Self { until, service_until_ms: stored_until_ms }
            }
            _ => Self {
                until: longest_until,
                service_until_ms: clock.latest_service_time(longest_until),
            },
        }
    }
}

/// The lease of one worker as its owner knows it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// Longest lease of a worker, in milliseconds.
    max_lease_ms: u64,
    /// Last reading of the worker's clock; none before the first answer.
    reading: Option<ClockReading>,
    /// Latest deadline that was sent, on the worker's clock in milliseconds.
    deadline_ms: u64,
    /// Instant by which leases of an earlier owner have expired.
    inherited_until: ClockMillis,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    read_at: ClockMillis,
    /// Incarnation of the worker; the clock starts anew with each.
    incarnation: u64,
}

impl WorkerLease {
    /// Creates the lease of a worker that an earlier owner may have used until `claimed_at` and
    /// for the grace time in which an unconfirmed owner still extends leases.
    #[must_use]
    pub fn inherited(max_lease_ms: u64, claimed_at: ClockMillis) -> Self {
        let expires_after_ms = limits::LEASE_EXTENSION_GRACE_MS
            + with_slow_clock(max_lease_ms)
            + limits::LEASE_EXPIRY_MARGIN_MS;
        Self {
            max_lease_ms,
            reading: None,
            deadline_ms: 0,
            inherited_until: claimed_at + expires_after_ms,
        }
    }

    /// Records the worker's clock from an answer that arrived at `now`. After a restart of the
    /// worker, the lease counts as the longest one from then on.
    pub fn observe(&mut self, clock_ms: u64, incarnation: u64, now: ClockMillis) {
        let is_restarted = self.reading.is_some_and(|known| known.incarnation != incarnation);
        if is_restarted {
            self.deadline_ms = clock_ms + self.max_lease_ms;
        }
        self.reading = Some(ClockReading { clock_ms, read_at: now, incarnation });
    }

    /// Returns the deadline for an order sent at `now`, on the worker's clock in milliseconds;
    /// none before the first answer.
    pub fn next_deadline(&mut self, now: ClockMillis) -> Option<u64> {
        let ClockReading { clock_ms, read_at, .. } = self.reading?;
        let lease_ms = self.max_lease_ms * limits::WORKER_LEASE_PERCENT / 100;
        self.deadline_ms = self.deadline_ms.max(clock_ms + now.since(read_at) + lease_ms);
        Some(self.deadline_ms)
    }

    /// Returns when the leases of an earlier owner have expired; none once the worker has
    /// answered this owner, which may have extended its lease since.
    #[must_use]
    pub const fn inherited_end(&self) -> Option<ClockMillis> {
        match self.reading {
            None => Some(self.inherited_until),
            Some(_) => None,
        }
    }

    /// Returns true if everything that was started on the worker has certainly ended.
    #[must_use]
    pub fn has_expired(&self, now: ClockMillis) -> bool {
        let own_expired = self.reading.is_none_or(|ClockReading { clock_ms, read_at, .. }| {
            let remaining_ms = self.deadline_ms.saturating_sub(clock_ms);
            now.since(read_at) > with_slow_clock(remaining_ms) + limits::LEASE_EXPIRY_MARGIN_MS
        });
        own_expired && now >= self.inherited_until
    }
}

/// Returns how long `span_ms` of a worker's clock may last on this VM's clock.
fn with_slow_clock(span_ms: u64) -> u64 {
    span_ms + span_ms * limits::CLOCK_MARGIN_PER_MILLE / 1_000
}
