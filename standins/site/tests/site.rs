//! The behaviour of the stand-in on which other tests rely.

use std::time::{Duration, Instant};

use site::advice::{AdviceRule, AdviceService, MAX_WAITING_CALLS};
use site::table::{RowTable, TxBody, TxResult, TxRow};
use site::worker::{SiteWorker, StartBody};

fn row(part: &str, key: &str, ver: u64) -> TxRow {
    TxRow { table: "t".into(), part: part.into(), key: key.into(), ver, value: "dg==".into() }
}

/// Guards against a write over a row that another writer has changed: an insert that is
/// repeated must conflict and return the present row.
#[test]
fn a_transaction_keeps_its_conditions() {
    let mut table = RowTable::default();
    let insert = TxBody {
        expected: vec![row("p", "k", 0)],
        writes: vec![row("p", "k", 0)],
        ..TxBody::default()
    };
    assert!(matches!(table.transact(&insert), TxResult::Committed(1)));
    match table.transact(&insert) {
        TxResult::Conflict(rows) => assert_eq!(rows[0].ver, 1),
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against tests that pass although the real service would refuse the call: it lets
/// entries write neither the operators' tables nor two partitions at once.
#[test]
fn read_only_tables_and_several_partitions_are_refused() {
    let mut table = RowTable::default();
    let mut read_only_row = row("", "k", 0);
    read_only_row.table = "op".into();
    let body = TxBody { writes: vec![read_only_row], ..TxBody::default() };
    assert!(matches!(table.transact(&body), TxResult::Refused(403)));
    let body = TxBody { writes: vec![row("p", "k", 0), row("q", "k", 0)], ..TxBody::default() };
    assert!(matches!(table.transact(&body), TxResult::Refused(400)));
}

/// Guards against a reader of changes that misses some without notice: a feed that no longer
/// reaches back far enough must say so.
#[test]
fn truncated_changes_are_refused() {
    let mut table = RowTable::default();
    table.put("op", "a", "dg==".into());
    table.truncated_version = 1;
    assert!(table.changes("op", 0).is_none());
    assert!(table.changes("op", 1).is_some());
}

fn start(run: u32, token: u64, deadline_ms: u64) -> StartBody {
    StartBody {
        task: "j.0.0.0".into(),
        run,
        spec: "60000".into(),
        deadline_ms,
        fencing_token: token,
        ticket: String::new(),
    }
}

/// Guards against runs that start although the order came from a fenced owner, after a stop of
/// the same run, or after its deadline.
#[test]
fn fenced_stopped_and_late_starts_are_refused() {
    let mut worker = SiteWorker::new("w".into(), 1, Instant::now());
    assert_eq!(worker.start(&start(2, 5, 60_000), |_| true), Ok(()));
    assert_eq!(worker.start(&start(2, 5, 60_000), |_| true), Ok(()), "the run is already there");
    assert_eq!(worker.start(&start(3, 4, 60_000), |_| true), Err("fence"));
    worker.stop("j.0.0.0", 3);
    assert_eq!(worker.start(&start(3, 5, 60_000), |_| true), Err("old"));
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert_eq!(worker.start(&start(4, 5, 1), |_| true), Err("late"));
}

/// Returns a service whose calls about jobs with an identifier from `k` take 100 ms and 2 ms for
/// each worker.
fn slow_service() -> AdviceService {
    let mut service = AdviceService::default();
    let rule = AdviceRule { decide_ms: 100.0, each_ms: 2.0, valid_ms: 1_000, good_percent: 50 };
    service.rules.insert('k', rule);
    service
}

/// Guards against tests that pass although the real service would work on the calls of one machine
/// one after the other, each for its time.
#[test]
fn calls_of_one_machine_are_answered_in_turn() {
    let (mut service, now) = (slow_service(), Instant::now());
    let after = |ms| Some(now + Duration::from_millis(ms));
    assert_eq!(service.admit(0, "k.0.0", 10, now), after(120));
    assert_eq!(service.admit(0, "k.0.1", 20, now), after(260));
    assert_eq!(service.admit(1, "k.0.2", 0, now), after(100), "another machine does not wait");
}

/// Guards against tests that pass although the real service would refuse a call behind 32 others.
#[test]
fn a_call_behind_many_others_is_refused() {
    let (mut service, now) = (slow_service(), Instant::now());
    for _ in 0..=MAX_WAITING_CALLS {
        assert!(service.admit(0, "k.0.0", 0, now).is_some(), "one is worked on, 32 wait");
    }
    assert_eq!(service.admit(0, "k.0.0", 0, now), None);
    let later = now + Duration::from_millis(100);
    assert!(service.admit(0, "k.0.0", 0, later).is_some(), "the first call is answered");
    assert_eq!(service.refused_calls, 1);
}

/// Guards against tests that pass although a worker would refuse the start: a ticket holds for one
/// step, one life of a worker and a time.
#[test]
fn a_ticket_holds_for_its_step_its_worker_and_a_time() {
    let (mut service, now) = (slow_service(), Instant::now());
    let ticket = service.issue_ticket("k.0.0", "w", 1, now);
    let later = |ms| now + Duration::from_millis(ms);
    assert!(service.accepts("k.0.0.7", "w", 1, &ticket, later(999)));
    assert!(!service.accepts("k.0.0.7", "w", 1, &ticket, later(1_000)), "it has expired");
    assert!(!service.accepts("k.0.0.7", "w", 2, &ticket, now), "the worker has restarted");
    assert!(!service.accepts("k.0.1.7", "w", 1, &ticket, now), "it is for another step");
    assert!(!service.accepts("k.0.0.7", "w", 1, "", now), "the step needs one");
    assert!(service.accepts("j.0.0.7", "w", 1, "", now), "other jobs need none");
}
