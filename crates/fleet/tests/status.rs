//! Tests of the cache of job states.

use fleet::status::JobStatusCache;
use model::name::JobId;
use plan::progress::JobStatus;

/// Guards against an owner whose link is full of states that have not changed: it sends each
/// published state to every entry, and a wide job stores progress many times.
#[test]
fn only_a_changed_state_counts_as_a_change() {
    let mut cache = JobStatusCache::default();
    let mut record = |status| cache.record_status(JobId::from("j"), status);
    assert!(record(JobStatus::Pending));
    assert!(!record(JobStatus::Pending));
    assert!(record(JobStatus::Running));
    assert!(!record(JobStatus::Running));
    assert!(record(JobStatus::Completed));
    assert!(!record(JobStatus::Completed));
    assert!(!record(JobStatus::Running), "a finished job keeps its state");
    assert_eq!(cache.get(&JobId::from("j")), Some(JobStatus::Completed));
}
