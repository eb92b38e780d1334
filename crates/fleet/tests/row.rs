//! Tests of the rows that the fleet stores.

use std::collections::BTreeSet;

use fleet::row::{self, LeasedWorkers, SpeedRow, StoredLeases};
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

/// Guards against a list of leased workers that a later owner reads although it is out of date: a
/// write without an answer may have replaced the list that the owner believes to be stored.
#[test]
fn an_unanswered_write_of_the_leases_is_written_over() {
    let (before, other) = (leased(1, 1), leased(2, 1));
    let any = LeasedWorkers { runs: [("w".into(), InheritedRuns::Any)].into(), ..before.clone() };
    let mut stored = StoredLeases::default();
    assert!(!stored.allows_any_run(&"w".into()), "nothing was read yet");
    stored.record(any.clone());
    assert!(stored.allows_any_run(&"w".into()));
    assert_eq!(stored.begin_write(any.clone()), None, "the list is stored");
    assert_eq!(stored.begin_write(other.clone()), Some(other));
    assert!(!stored.allows_any_run(&"w".into()), "the write may have taken effect");
    assert_eq!(stored.begin_write(any.clone()), Some(any));
}

/// Guards against a row of speeds that exceeds the 65,536 bytes of the table service: it could not
/// be written, and with it no renewal of the ownership.
#[test]
fn a_row_of_many_speeds_stays_small() {
    let speeds = |count: usize| {
        let name = |worker: usize| WorkerName::from(format!("i-{worker:010x}"));
        (0..count).map(|worker| (name(worker), 12_345)).collect()
    };
    let row = SpeedRow::new(speeds(3_000));
    assert!(row::encode(&row).len() * 4 / 3 < 65_536);
    assert!(row.per_mille.len() > 2_000);
    assert_eq!(SpeedRow::new(speeds(1_000)).per_mille, speeds(1_000));
}

/// Guards against an owner that stops, or takes over nonsense, because another build has written
/// the speeds.
#[test]
fn speeds_of_another_format_are_ignored() {
    let row = SpeedRow::new([("w".into(), 600)].into());
    assert_eq!(SpeedRow::decode(&row::encode(&row)), Some(row.clone()));
    assert_eq!(SpeedRow::decode(&row::encode(&SpeedRow { format: 2, ..row })), None);
    for value in ["", "[]", r#"{"format":1}"#, r#"{"format":1,"per_mille":{"w":"fast"}}"#] {
        assert_eq!(SpeedRow::decode(value.as_bytes()), None, "{value}");
    }
}
