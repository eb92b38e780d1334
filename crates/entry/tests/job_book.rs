//! Tests of the table of jobs that an owner keeps.

use entry::control::jobs::table::JobTable;
use model::job::{JobRecord, JobSpec, JobState};
use model::resource::ResourceAmounts;

fn record(id: &str) -> JobRecord {
    let amounts = ResourceAmounts { cpu_millis: 1, ..ResourceAmounts::ZERO };
    let spec = JobSpec {
        id: id.into(),
        queue: "reports".into(),
        tasks: 1,
        amounts,
        run_ms: 0,
        payload: serde_json::Value::Null,
    };
    JobRecord {
        spec,
        team: "north".into(),
        domain: "a".into(),
        state: JobState::Accepted,
        done: Vec::new(),
    }
}

/// Guards against a second run of a job whose row was read before its end and arrives after.
#[test]
fn finished_job_is_not_inserted_again() {
    let mut table = JobTable::default();
    assert!(table.insert(&record("once"), 3));
    assert!(!table.insert(&record("once"), 3), "it is known");
    table.remove(&"once".into(), 5);
    assert!(!table.insert(&record("once"), 5), "it has ended");
    assert!(table.insert(&record("other"), 4));
}

/// Guards against a job that never runs after it was moved away and back with a later row.
#[test]
fn job_that_was_moved_back_is_inserted() {
    let mut table = JobTable::default();
    assert!(table.insert(&record("back"), 3));
    table.remove(&"back".into(), 5);
    assert!(table.insert(&record("back"), 8));
}
