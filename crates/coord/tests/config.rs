//! Guards against a change of the configuration that counts as accepted before
//! every owner enforces it, and against a return to an older version.

use std::collections::BTreeMap;
use std::sync::Arc;

use coord::config::{self, ConfigTracker};
use coord::row::ConfirmRow;
use model::name::DomainName;
use model::object::{DomainObject, DomainState, ObjectSet};
use model::time::ClockMillis;

fn set(names: &[&str]) -> ObjectSet {
    let domain = |name: &&str| DomainObject {
        name: DomainName::from(*name),
        region: String::new(),
        state: DomainState::In,
    };
    ObjectSet { domains: names.iter().map(domain).collect(), ..ObjectSet::default() }
}

/// Guards against a change that counts as accepted without the confirmation of a
/// domain that it adds or removes.
#[test]
fn domains_of_both_sets_confirm() {
    let row = |name: &str, version| (DomainName::from(name), ConfirmRow { version });
    let mut rows = BTreeMap::from([row("a", 7), row("b", 8), row("c", 6), row("x", 1)]);
    let (old, new) = (set(&["a", "c"]), set(&["a", "b", "d"]));
    let found = config::compute_confirmation(7, &rows, &old, &new);
    assert!(found.in_force.iter().map(DomainName::as_str).eq(["a", "b"]));
    assert!(found.not_confirmed.iter().map(DomainName::as_str).eq(["c", "d"]));
    assert!(!found.is_accepted());
    rows.extend([row("c", 7), row("d", 7)]);
    assert!(config::compute_confirmation(7, &rows, &old, &new).is_accepted());
}

/// Guards against an older version that replaces a newer one because it arrives
/// late, and against a confirmation that counts for too long.
#[test]
fn tracker_never_reverts() {
    let mut tracker = ConfigTracker::new(300);
    assert!(tracker.apply_version(2, Arc::new(set(&["a"]))));
    assert!(!tracker.apply_version(1, Arc::default()) && !tracker.apply_version(2, Arc::default()));
    assert_eq!((tracker.version(), tracker.objects().domains.len()), (2, 1));
    assert!(!tracker.is_confirmed(ClockMillis(0)));
    tracker.record_confirmation(ClockMillis(100));
    tracker.record_confirmation(ClockMillis(50));
    assert!(tracker.is_confirmed(ClockMillis(399)) && !tracker.is_confirmed(ClockMillis(400)));
}
