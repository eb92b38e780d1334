//! Tests of the job changes that the owner sends to the other entries.

use fleet::limits;
use fleet::news;

/// Guards against a new owner whose link is full of jobs that ended long ago, and against ends
/// that no entry learns because they fell into the time without an owner.
#[test]
fn a_new_owner_sends_recent_ends_only() {
    let now_ms = 1_700_000_000_000;
    assert!(news::is_recent(now_ms, now_ms));
    assert!(news::is_recent(now_ms + 3_000, now_ms), "the clock of another VM is ahead");
    assert!(news::is_recent(now_ms - limits::OWNER_TTL_MS - 3_000, now_ms));
    assert!(!news::is_recent(now_ms - 60_000, now_ms));
    assert!(news::is_recent(u64::MAX, now_ms), "a row may hold any number");
}
