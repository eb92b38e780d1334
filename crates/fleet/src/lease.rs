//! Pure logic of the leases: when the fleet may be claimed, and when a worker's lease ends.

use model::time::{self, ClockMillis};

use crate::limits;
use crate::ports::OwnershipHandover;
use crate::row::OwnerRow;

/// The ownership row as this entry last saw it, and whether the entry may claim the fleet.
#[derive(Clone, Debug, Default)]
pub struct OwnerWatch {
    /// Row with its version; none before the first read.
    row: Option<(u64, OwnerRow)>,
    /// When this version of the row was first seen.
    seen_at: ClockMillis,
    barred_until: ClockMillis,
    /// Last handover to this entry.
    given_up: Option<GivenUp>,
    /// Version of the row that nobody holds, and since when that is known.
    open_since: Option<(u64, ClockMillis)>,
}

impl OwnerWatch {
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

    /// Records that the holder hands the fleet over to this entry without releasing the row.
    pub fn give_up(&mut self, given: GivenUp) {
        self.given_up = Some(given);
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

    /// Returns the version of a row that nobody holds, and whether it was handed over to this
    /// entry.
    ///
    /// The holder's lease counts from the sending of its renewal, and this entry's wait from
    /// when it saw the renewal, so that the lease expires first.
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

/// The lease of one worker as its owner knows it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// Longest lease of a worker, in milliseconds.
    longest_ms: u64,
    /// Last reading of the worker's clock; none before the first answer.
    clock: Option<(u64, ClockMillis, u64)>,
    /// Latest deadline that was sent, on the worker's clock in milliseconds.
    deadline_ms: u64,
    /// Instant by which leases of an earlier owner have expired.
    inherited_until: ClockMillis,
}

impl WorkerLease {
    /// Creates the lease of a worker that an earlier owner may have used until `claimed_at` and
    /// for the grace time in which an unconfirmed owner still extends leases.
    #[must_use]
    pub fn inherited(longest_ms: u64, claimed_at: ClockMillis) -> Self {
        let over =
            limits::LEASE_EXTENSION_GRACE_MS + slowed(longest_ms) + limits::LEASE_EXPIRY_MARGIN_MS;
        Self { longest_ms, clock: None, deadline_ms: 0, inherited_until: claimed_at + over }
    }

    /// Records the worker's clock from an answer that arrived at `now`. After a restart of the
    /// worker, the lease counts as the longest one from then on.
    pub fn observe(&mut self, clock_ms: u64, born: u64, now: ClockMillis) {
        let reborn = self.clock.is_some_and(|(_, _, life)| life != born);
        if reborn {
            self.deadline_ms = clock_ms + self.longest_ms;
        }
        self.clock = Some((clock_ms, now, incarnation));
    }

    /// Returns the deadline for an order sent at `now`, on the worker's clock in milliseconds;
    /// none before the first answer.
    pub fn next_deadline(&mut self, now: ClockMillis) -> Option<u64> {
        let (clock, read_at, _) = self.clock?;
        let lease = self.longest_ms * limits::WORKER_LEASE_PERCENT / 100;
        self.deadline_ms = self.deadline_ms.max(clock + now.since(read_at) + lease);
        Some(self.deadline_ms)
    }

    /// Returns true if everything that was started on the worker has certainly ended.
    #[must_use]
    pub fn has_expired(&self, now: ClockMillis) -> bool {
        let own_lapsed = self.clock.is_none_or(|(clock, read_at, _)| {
            let left = self.deadline_ms.saturating_sub(clock);
            now.since(read_at) > slowed(left) + limits::LEASE_EXPIRY_MARGIN_MS
        });
        own_lapsed && now >= self.inherited_until
    }
}

/// Returns how long `span_ms` of a worker's clock may last on this VM's clock.
fn slowed(span_ms: u64) -> u64 {
    span_ms + span_ms * limits::CLOCK_MARGIN_PER_MILLE / 1_000
}
