//! The behaviour of the stand-in on which other tests rely.

use std::time::Instant;

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
    assert_eq!(worker.start(&start(2, 5, 60_000)), Ok(()));
    assert_eq!(worker.start(&start(2, 5, 60_000)), Ok(()), "the run is already there");
    assert_eq!(worker.start(&start(3, 4, 60_000)), Err("fence"));
    worker.stop("j.0.0.0", 3);
    assert_eq!(worker.start(&start(3, 5, 60_000)), Err("old"));
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert_eq!(worker.start(&start(4, 5, 1)), Err("late"));
}
