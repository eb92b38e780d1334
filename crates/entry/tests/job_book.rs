//! The book of jobs that an owner keeps.

use entry::control::jobs::JobBook;
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

/// Guards against a second run: a row read before the job ended arrives after its end.
#[test]
fn finished_job_is_not_taken_up_again() {
    let mut book = JobBook::default();
    assert!(book.adopt(&record("once")));
    assert!(!book.adopt(&record("once")), "it is known");
    book.forget(&"once".into());
    assert!(!book.adopt(&record("once")), "it has ended");
    assert!(book.adopt(&record("other")));
}
