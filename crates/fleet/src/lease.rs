//! Ownership of the fleet and leases of workers, as pure logic.

use model::time::{self, ClockMillis};

use crate::limits;
use crate::ports::OwnershipHandover;
use crate::row::OwnerRow;

/// What an entry knows of the ownership row.
#[derive(Clone, Debug, Default)]
pub struct OwnerWatch {
    row: Option<(u64, OwnerRow)>,
    seen_at: ClockMillis,
    claims_blocked_until: ClockMillis,
    handover: Option<OwnershipHandover>,
    /// Version that nobody holds, and since when that is known.
    open_since: Option<(u64, ClockMillis)>,
}

impl OwnerWatch {
    /// Takes the row as it was read at `now`.
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

    /// Notes that a holder has given the fleet up without being able to write so.
    pub fn record_handover(&mut self, handover: OwnershipHandover) {
        self.handover = Some(handover);
    }

    /// Keeps this entry from claiming until `instant`.
    pub fn block_claims_until(&mut self, instant: ClockMillis) {
        self.claims_blocked_until = instant;
    }

    /// Tells whether this entry is kept from claiming.
    #[must_use]
    pub fn is_claim_blocked(&self, now: ClockMillis) -> bool {
        now < self.claims_blocked_until
    }

    /// Returns the version that a claim must find, if the fleet may be claimed now:
    /// nobody has held it for `delay_ms`, or its holder has offered it to this entry.
    #[must_use]
    pub fn claimable_version(
        &mut self,
        me: &str,
        instance: &str,
        now: ClockMillis,
        delay_ms: u64,
    ) -> Option<u64> {
        if self.is_claim_blocked(now) {
            return None;
        }
        let Some((version, offered)) = self.open_version(me, instance, now) else {
            self.open_since = None;
            return None;
        };
        let since = match self.open_since {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        self.open_since = Some((version, since));
        (offered || now.since(since) >= delay_ms).then_some(version)
    }

    /// Returns the version of a row that nobody holds, and whether it was offered to this entry.
    ///
    /// The holder's lease counts from before its renewal was sent, and this
    /// entry's wait from when it saw the renewal, so that the lease is over first.
    fn open_version(&self, me: &str, instance: &str, now: ClockMillis) -> Option<(u64, bool)> {
        let Some((version, row)) = &self.row else { return Some((0, false)) };
        let handed = self
            .handover
            .is_some_and(|handover| handover.term == row.term && handover.version >= *version);
        let released = row.holder.is_empty();
        // A process that runs at the holder's address has replaced the holder.
        let replaced = row.holder == me && row.instance != instance;
        let expired = now.since(self.seen_at) > time::with_clock_margin(limits::OWNER_TTL_MS);
        (handed || released || replaced || expired).then_some((*version, handed))
    }
}

/// What an owner knows of one worker's lease.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    longest_ms: u64,
    /// Clock of the worker, when it was read, and the life that it belongs to.
    clock: Option<(u64, ClockMillis, u64)>,
    /// Latest deadline that was sent, on the worker's clock.
    deadline_ms: u64,
    /// Instant by which leases of an earlier owner are over.
    inherited_until: ClockMillis,
}

impl WorkerLease {
    /// Creates the lease of a worker that an earlier owner may have used until `claimed_at`
    /// and for the time that it lingers.
    #[must_use]
    pub fn inherited(longest_ms: u64, claimed_at: ClockMillis) -> Self {
        let over =
            limits::LEASE_EXTENSION_GRACE_MS + slowed(longest_ms) + limits::LEASE_EXPIRY_MARGIN_MS;
        Self { longest_ms, clock: None, deadline_ms: 0, inherited_until: claimed_at + over }
    }

    /// Takes the worker's clock from an answer that came at `now`.
    pub fn observe(&mut self, clock_ms: u64, incarnation: u64, now: ClockMillis) {
        let restarted = self.clock.is_some_and(|(_, _, known)| known != incarnation);
        if restarted {
            self.deadline_ms = clock_ms + self.longest_ms;
        }
        self.clock = Some((clock_ms, now, incarnation));
    }

    /// Returns the deadline for an order sent at `now`; none before the first answer.
    pub fn next_deadline(&mut self, now: ClockMillis) -> Option<u64> {
        let (clock, read_at, _) = self.clock?;
        let lease = self.longest_ms * limits::WORKER_LEASE_PERCENT / 100;
        self.deadline_ms = self.deadline_ms.max(clock + now.since(read_at) + lease);
        Some(self.deadline_ms)
    }

    /// Tells whether everything that was started on the worker has surely ended.
    #[must_use]
    pub fn has_expired(&self, now: ClockMillis) -> bool {
        let own_lapsed = self.clock.is_none_or(|(clock, read_at, _)| {
            let left = self.deadline_ms.saturating_sub(clock);
            now.since(read_at) > slowed(left) + limits::LEASE_EXPIRY_MARGIN_MS
        });
        own_lapsed && now >= self.inherited_until
    }
}

/// Returns the longest time that a worker's clock takes for `span_ms`.
fn slowed(span_ms: u64) -> u64 {
    span_ms + span_ms * limits::CLOCK_MARGIN_PER_MILLE / 1_000
}
