//! Jobs with many occurrences: the size of their progress, and what an owner keeps of them.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use model::resource::ResourceAmounts;
use plan::job::{JobSchedule, JobSpec};
use plan::progress::JobStatus;
use plan::ranges::IndexRanges;
use plan::worker::{EndKind, StartAnswer};
use proptest::prelude::*;
use support::{PlannerFixture, config, cpu, job, step, worker};

/// Size of a row of the table service, in bytes.
const ROW_BYTES: usize = 65_536;

/// Returns a job of one task, due every two milliseconds.
fn frequent_job(occurrences: u32) -> JobSpec {
    let schedule = JobSchedule { start_ms: 0, interval_ms: 2, occurrences };
    JobSpec { schedule: Some(schedule), ..job("j", "normal", vec![step(1, cpu(1_000))]) }
}

/// Guards against a fleet that stops: the progress of a job with many finished occurrences did not
/// fit into a row any more, was written again without end, and no run end of any job was
/// acknowledged.
#[test]
fn progress_of_a_long_schedule_fits_into_a_row() {
    const OCCURRENCES: u32 = 4_000;
    /// Occurrences that are not done before the owner changes.
    const KEPT: [u32; 2] = [0, 100];
    let mut owner = PlannerFixture::new(1, config());
    owner.add(frequent_job(OCCURRENCES + 1));
    let mut record = None;
    while owner.now_ms < 2 * u64::from(OCCURRENCES) {
        for order in owner.run_starts(StartAnswer::Started) {
            if !KEPT.contains(&order.task.step.occurrence) {
                owner.end(&order, EndKind::Done);
            }
        }
        record = owner.store().into_values().next().or(record);
    }
    let record = record.expect("the progress is stored");
    let size = serde_json::to_vec(&record).expect("a record").len();
    assert!(size < ROW_BYTES, "{size} bytes");

    let mut successor = PlannerFixture::unreported(1, config());
    successor.planner.add_job(&Arc::new(frequent_job(OCCURRENCES + 1)), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.report(&worker(0).name, Vec::new(), Vec::new());
    successor.now_ms = 2 * u64::from(OCCURRENCES) + 10;
    let mut started: Vec<_> = Vec::new();
    for _ in 0..10 {
        for order in successor.run_starts(StartAnswer::Started) {
            started.push(order.task.step.occurrence);
            successor.end(&order, EndKind::Done);
        }
    }
    assert!(KEPT.iter().all(|occurrence| started.contains(occurrence)), "{started:?}");
    let is_done = |occurrence: &u32| record.done_occurrences.contains(*occurrence);
    assert!(!started.iter().any(is_done), "only what is not done runs: {started:?}");
    let record = successor.store().into_values().next().expect("the end is recorded");
    assert_eq!(record.status, JobStatus::Completed);
}

/// Guards against an occurrence that runs again because a worker reports its end once more to the
/// next owner, which keeps finished occurrences as numbers only.
#[test]
fn a_finished_occurrence_is_not_opened_again() {
    let mut owner = PlannerFixture::new(1, config());
    owner.now_ms = 10;
    owner.add(frequent_job(3));
    let orders = owner.run_starts(StartAnswer::Started);
    owner.end(&orders[1], EndKind::Done);
    let record = owner.store().into_values().next().expect("the end is recorded");
    assert!(record.done_occurrences.contains(1));

    let mut successor = PlannerFixture::unreported(1, config());
    successor.now_ms = 10;
    successor.planner.add_job(&Arc::new(frequent_job(3)), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.end(&orders[1], EndKind::Done);
    let started: Vec<_> =
        successor.starts().iter().map(|order| order.task.step.occurrence).collect();
    assert_eq!(started, [0, 2]);
}

/// Guards against a stored record with the largest number that ends the process which loads it.
#[test]
fn ranges_hold_the_largest_index() {
    let mut ranges: IndexRanges = serde_json::from_str("[[3,4294967295]]").expect("ranges");
    assert!(ranges.contains(u32::MAX) && !ranges.contains(2));
    assert_eq!(ranges.next_missing(3), u32::MAX, "there is no later index");
    ranges.insert(2);
    ranges.insert(0);
    assert!(ranges.contains(0) && !ranges.contains(1));
}

/// Guards against an owner that runs out of memory and time: a schedule whose first time was long
/// ago has a million due occurrences.
#[test]
fn few_of_many_due_occurrences_are_open() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(frequent_job(1_000_000));
    fixture.now_ms = 2_000_000;
    fixture.decide();
    let waiting: u32 = fixture.planner.waiting_by_queue().values().sum();
    assert_eq!(waiting, 1, "one job");
    assert!(fixture.planner.open_occurrence_count() <= 1_000);
    fixture.add(job("other", "urgent", vec![step(1, cpu(1_000))]));
    for order in fixture.run_starts(StartAnswer::Started) {
        fixture.end(&order, EndKind::Done);
    }
}

proptest! {
    /// Guards against ranges that lose an index or gain one, in any order of insertion.
    #[test]
    fn ranges_hold_what_was_inserted(indices in prop::collection::vec(0_u32..60, 0..80)) {
        let mut ranges = IndexRanges::default();
        for index in &indices {
            ranges.insert(*index);
        }
        for index in 0..62 {
            prop_assert_eq!(ranges.contains(index), indices.contains(&index));
        }
        let text = serde_json::to_string(&ranges).expect("ranges");
        let decoded: IndexRanges = serde_json::from_str(&text).expect("ranges");
        prop_assert_eq!(decoded, ranges);
    }
}
