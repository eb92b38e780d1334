//! Tests of the claims of the fleet and of the leases of workers.

use fleet::lease::{ExpiringLease, OwnershipTracker, ServiceClock, WorkerLease};
use fleet::limits;
use fleet::ports::OwnershipHandover;
use fleet::row::OwnerRow;
use fleet::strength::{self, VmStrength};
use model::time::ClockMillis;

fn held_by(holder: &str, instance: &str) -> OwnerRow {
    OwnerRow { holder: holder.into(), instance: instance.into(), term: 1 }
}

/// Guards against two owners at a time, which result when an entry claims the fleet before the
/// holder's lease has expired.
#[test]
fn a_row_is_claimed_after_its_lease() {
    let mut tracker = OwnershipTracker::default();
    assert_eq!(
        tracker.claimable_version("a", "a1", ClockMillis(0), 0),
        Some(0),
        "there is no row yet"
    );
    tracker.observe(7, held_by("b", "b1"), ClockMillis(1_000));
    let end = 1_000 + limits::OWNER_TTL_MS;
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(end), 0), None);
    assert_eq!(
        tracker.claimable_version("a", "a1", ClockMillis(end + limits::OWNER_TTL_MS), 0),
        Some(7)
    );
}

/// Guards against an older version of the row that replaces a newer one when a renewal is seen
/// late: the entry would then wait for the wrong lease.
#[test]
fn older_row_version_is_ignored() {
    let mut tracker = OwnershipTracker::default();
    tracker.observe(7, held_by("b", "b1"), ClockMillis(5_000));
    tracker.observe(6, held_by("c", "c1"), ClockMillis(9_000));
    assert_eq!(tracker.row().map(|(version, _)| *version), Some(7));
}

/// Guards against a needless wait: an entry that restarts finds its earlier process as the
/// holder, and that process cannot be running any more.
#[test]
fn restarted_holder_claims_at_once() {
    let mut tracker = OwnershipTracker::default();
    tracker.observe(7, held_by("a", "a1"), ClockMillis(1_000));
    assert_eq!(tracker.claimable_version("a", "a2", ClockMillis(1_001), 0), Some(7));
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(1_001), 0), None);
}

/// Guards against an entry that releases the fleet, for example because most workers are
/// unreachable from it, and claims the released row again at once.
#[test]
fn entry_that_released_the_fleet_waits() {
    let mut tracker = OwnershipTracker::default();
    tracker.observe(7, held_by("", ""), ClockMillis(1_000));
    tracker.block_claims_until(ClockMillis(2_000));
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(1_999), 0), None);
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(2_000), 0), Some(7));
}

/// Guards against a small VM that owns a fleet which is too large for it because it claims first.
/// It waits for larger VMs, unless the fleet was handed over to it.
#[test]
fn a_small_vm_claims_later() {
    let small = VmStrength::new(120, 10.0);
    let large = VmStrength::new(500, 200.0);
    assert_eq!(strength::claim_delay_ms(large, [small, large].into_iter()), 0);
    let delay_ms = strength::claim_delay_ms(small, [small, large].into_iter());
    assert!(delay_ms > 0, "a larger VM is known");
    assert_eq!(strength::claim_delay_ms(small, [small].into_iter()), 0);

    let mut tracker = OwnershipTracker::default();
    tracker.observe(7, held_by("", ""), ClockMillis(1_000));
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(1_000), delay_ms), None);
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(999 + delay_ms), delay_ms), None);
    assert_eq!(
        tracker.claimable_version("a", "a1", ClockMillis(1_000 + delay_ms), delay_ms),
        Some(7)
    );

    let mut tracker = OwnershipTracker::default();
    tracker.observe(7, held_by("", ""), ClockMillis(1_000));
    tracker.record_handover(OwnershipHandover { term: 1, version: 7 });
    assert_eq!(tracker.claimable_version("a", "a1", ClockMillis(1_000), delay_ms), Some(7));
}

/// Guards against a VM with many cores that counts as large although its link is too slow.
#[test]
fn the_scarcer_resource_counts() {
    let slow_link = VmStrength::new(4_000, 10.0);
    let balanced = VmStrength::new(500, 200.0);
    assert!(balanced.far_exceeds(slow_link));
    assert!(!balanced.far_exceeds(balanced));
}

/// Longest lease of a worker in these tests, in milliseconds.
const LEASE_MS: u64 = 6_000;

/// Returns an instant at which all leases of an earlier owner have expired.
fn after_inherited_leases() -> ClockMillis {
    ClockMillis(60_000)
}

/// Guards against a lease that never expires because failed polls extend it, and against one that
/// counts as expired too early because the worker's clock is slower than the owner's.
#[test]
fn a_lease_ends_after_the_last_deadline() {
    let mut lease = WorkerLease::inherited(LEASE_MS, ClockMillis(0));
    let start = after_inherited_leases();
    lease.observe(500, 1, start);
    let deadline = lease.next_deadline(start).expect("the clock is known");
    assert!(deadline <= 500 + LEASE_MS, "the worker cuts longer leases");
    assert!(!lease.has_expired(start + LEASE_MS), "the worker's clock may be slow");
    assert!(lease.has_expired(start + LEASE_MS + LEASE_MS / 10));
}

/// Guards against restarting a task that still runs for an earlier owner: the worker answers the
/// new owner once, and the new owner, which sent no deadline, takes the lease for expired.
#[test]
fn an_answer_does_not_end_an_inherited_lease() {
    let mut lease = WorkerLease::inherited(LEASE_MS, ClockMillis(0));
    lease.observe(500, 1, ClockMillis(100));
    assert!(!lease.has_expired(ClockMillis(1_000)), "the earlier owner's lease still runs");
    assert!(!lease.has_expired(ClockMillis(LEASE_MS)));
    assert!(lease.has_expired(after_inherited_leases()));
}

/// Guards against a lease that seems to last very long after a worker has restarted: its clock
/// starts anew, so a deadline on the earlier clock is far in the future.
#[test]
fn a_new_incarnation_starts_a_new_lease() {
    let mut lease = WorkerLease::inherited(LEASE_MS, ClockMillis(0));
    let start = after_inherited_leases();
    lease.observe(900_000, 1, start);
    lease.next_deadline(start);
    lease.observe(10, 2, start + 100);
    assert!(lease.has_expired(start + 100 + 2 * LEASE_MS));
}

/// Guards against a deadline that is earlier than the one before. The worker would ignore it, and
/// the owner would take the lease for expired too early.
#[test]
fn deadlines_never_go_back() {
    let mut lease = WorkerLease::inherited(LEASE_MS, ClockMillis(0));
    lease.observe(500, 1, after_inherited_leases());
    let first = lease.next_deadline(after_inherited_leases() + 50);
    lease.observe(510, 1, after_inherited_leases() + 60);
    assert!(lease.next_deadline(after_inherited_leases() + 60) >= first);
}

/// Guards against jobs that wait for a lost worker's longest lease anew after each takeover: the
/// next owner waits only for what is left of the stored lease.
#[test]
fn a_later_owner_waits_for_the_rest_of_a_stored_lease() {
    let clock = ServiceClock {
        sent_at: ClockMillis(1_000),
        received_at: ClockMillis(1_020),
        clock_ms: 70_000,
    };
    let first = ExpiringLease::new(None, 10_000, ClockMillis(900), &clock);
    assert!(first.until > ClockMillis(900 + 10_000 + limits::LEASE_EXTENSION_GRACE_MS));
    let stored = first.service_until_ms.expect("the clock is known");
    assert!(stored >= 70_000 + first.until.since(ClockMillis(1_020)), "never too early");

    // The next owner reads the row 7 s later by the service's clock; its own clock differs.
    let next_clock =
        ServiceClock { sent_at: ClockMillis(500), received_at: ClockMillis(510), clock_ms: 77_000 };
    let next = ExpiringLease::new(Some(stored), 10_000, ClockMillis(450), &next_clock);
    assert!(next.until >= ClockMillis(510 + stored - 77_000), "never too early");
    assert!(next.until < ClockMillis(450 + 10_000));
    assert_eq!(next.service_until_ms, Some(stored));

    // Without the service's clock it waits for the longest lease.
    let unknown = ServiceClock { clock_ms: 0, ..next_clock };
    let longest = ExpiringLease::new(Some(stored), 10_000, ClockMillis(450), &unknown);
    assert!(longest.until >= ClockMillis(450 + 10_000 + limits::LEASE_EXTENSION_GRACE_MS));
    assert_eq!(longest.service_until_ms, None);
}

/// Guards against an owner of a large fleet that writes its list of leased workers, of 40 kB, many
/// times a second while workers register or answer again.
#[test]
fn early_renewals_are_rarer_in_a_large_fleet() {
    assert_eq!(limits::min_renew_interval(0), limits::MIN_RENEW_INTERVAL);
    assert_eq!(limits::min_renew_interval(200).as_millis(), 200);
    assert_eq!(limits::min_renew_interval(1_100), limits::RENEW_INTERVAL);
}
