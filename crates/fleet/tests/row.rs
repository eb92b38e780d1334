//! Tests of the rows that the fleet stores.

use std::collections::BTreeSet;

use fleet::row::{self, LeasedWorkers};
use model::name::{JobId, WorkerName};
use model::resource::ResourceAmounts;
use plan::worker::InheritedRuns;

fn leased(workers: usize, jobs: usize) -> LeasedWorkers {
    let runs = |worker: usize| {
        let ids = (0..jobs).map(|job| JobId::from(format!("{:016x}", worker * jobs + job)));
        InheritedRuns::OfJobs(ids.collect::<BTreeSet<_>>())
    };
    let entries =
        (0..workers).map(|worker| (WorkerName::from(format!("i-{worker:010x}")), runs(worker)));
    LeasedWorkers { runs: entries.collect(), ..LeasedWorkers::unknown() }
}

/// Guards against jobs that a later owner does not read as they were stored.
#[test]
fn leased_workers_are_read_as_stored() {
    let mut stored = leased(3, 2);
    stored.runs.insert("any".into(), InheritedRuns::Any);
    let value = row::encode(&stored);
    assert_eq!(row::decode::<LeasedWorkers>("leases", "owner", &value), Some(stored));
    let any = LeasedWorkers {
        runs: [("any".into(), InheritedRuns::Any)].into(),
        until_ms: [("any".into(), 5)].into(),
        largest: ResourceAmounts::ZERO,
    };
    let text = String::from_utf8(row::encode(&any)).expect("JSON");
    let expected = r#"{"runs":{"any":null},"until_ms":{"any":5},"largest":"#;
    assert!(text.starts_with(expected), "{text}");
}

/// Guards against a row that exceeds the 65,536 bytes of the table service after a third of
/// 1,100 workers was lost: the row could not be written, and the ownership not renewed.
#[test]
fn a_row_of_many_lost_workers_stays_small() {
    let mut stored = leased(1_100, 8);
    stored.until_ms = stored.runs.keys().map(|name| (name.clone(), 9_999_999)).collect();
    stored.limit_size();
    assert!(row::encode(&stored).len() * 4 / 3 < 65_536);
    let any = stored.runs.values().filter(|runs| **runs == InheritedRuns::Any).count();
    assert!(any > 0 && any < 1_100, "{any} workers without jobs");
}
