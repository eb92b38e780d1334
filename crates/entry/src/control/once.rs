//! Inserts the identifiers of non-idempotent requests before they are dispatched.
//!
//! Insert-if-absent in the platform's table ensures that of all entries to which
//! a caller sends the same identifier only one dispatches it. Several identifiers
//! share a transaction, because the table accepts only a few hundred writes per
//! second.

use std::collections::VecDeque;
use std::time::Duration;

use link::failure::CallFailure;
use model::kind::ErrorKind;
use model::name::{RequestId, TeamName};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use wire::peer::PeerRefusal;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use crate::control::Control;

/// Most identifiers in one transaction.
const MAX_INSERTS_PER_TRANSACTION: usize = 64;
/// Most identifiers that may wait; further ones are refused.
const MAX_PENDING_INSERTS: usize = 4096;
/// Time in which identifiers are batched into one transaction.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Timeout of a transaction.
const TXN_TIMEOUT: Duration = Duration::from_millis(500);
/// Most attempts of a transaction that is known to have had no effect.
const MAX_TXN_ATTEMPTS: u32 = 3;

/// Sends the version of the inserted row, by which it can be deleted, or a refusal.
type InsertReplySender = oneshot::Sender<Result<u64, PeerRefusal>>;

/// Queue of identifiers that wait to be inserted.
#[derive(Debug, Default)]
pub struct InsertQueue {
    pending: VecDeque<(String, InsertReplySender)>,
    next_nonce: u64,
}

/// Value of a row `once/<team>/<request id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct InsertRow {
    /// The entry process that dispatches the request; a restarted one has another name.
    entry: String,
    /// Number of the transaction within that entry.
    nonce: u64,
}

fn row_key(team: &TeamName, request: &RequestId) -> String {
    format!("once/{team}/{request}")
}

/// Queues an identifier for insertion; the receiver gets whether it may be dispatched.
pub fn queue_insert(
    control: &Control,
    team: &TeamName,
    request: &RequestId,
) -> oneshot::Receiver<Result<u64, PeerRefusal>> {
    let (sender, receiver) = oneshot::channel();
    let queue = &mut control.state_mut().insert_queue.pending;
    if queue.len() < MAX_PENDING_INSERTS {
        queue.push_back((row_key(team, request), sender));
    } else {
        let message = "too many non-idempotent requests wait for the platform; retry later";
        let _ = sender.send(Err(PeerRefusal::new(ErrorKind::QueueFull, message)));
    }
    receiver
}

/// Deletes an identifier whose request has certainly not run, so that a retry may run.
///
/// Only the row of that version is deleted: a late delete must not remove the row
/// of a later sending, which could then be dispatched twice.
pub async fn delete_identifier(
    control: &Control,
    team: &TeamName,
    request: &RequestId,
    version: u64,
) {
    let key = row_key(team, request);
    let checks = vec![RowCheck { key: key.clone(), version }];
    let txn = TableTxn { checks, deletes: vec![key], ..TableTxn::default() };
    if let Err(report) = control.platform.transact(&txn, TXN_TIMEOUT).await {
        log::debug!("identifier {request} stays marked as dispatched: {report:#}");
    }
}

/// Inserts waiting identifiers in batches until the process stops.
pub async fn flush_loop(control: Control) {
    loop {
        tokio::time::sleep(BATCH_DELAY).await;
        let batch: Vec<_> = {
            let queue = &mut control.state_mut().insert_queue.pending;
            let count = queue.len().min(MAX_INSERTS_PER_TRANSACTION);
            queue.drain(..count).collect()
        };
        if !batch.is_empty() {
            insert_batch(&control, batch).await;
        }
    }
}

async fn insert_batch(control: &Control, mut batch: Vec<(String, InsertReplySender)>) {
    let nonce = {
        let queue = &mut control.state_mut().insert_queue;
        queue.next_nonce += 1;
        queue.next_nonce
    };
    let row = InsertRow { entry: control.member.entry.to_string(), nonce };
    let value = serde_json::to_value(&row).unwrap_or_default();
    let mut attempts_left = MAX_TXN_ATTEMPTS;
    while !batch.is_empty() && attempts_left > 0 {
        batch = refuse_duplicates(batch);
        let checks = batch.iter().map(|(key, _)| RowCheck { key: key.clone(), version: 0 });
        let puts = batch.iter().map(|(key, _)| RowPut { key: key.clone(), value: value.clone() });
        let txn = TableTxn { checks: checks.collect(), puts: puts.collect(), deletes: Vec::new() };
        match control.platform.transact(&txn, TXN_TIMEOUT).await {
            Ok(reply) if reply.committed => {
                let version = reply.version;
                for (_, reply) in batch.drain(..) {
                    let _ = reply.send(Ok(version));
                }
            }
            Ok(reply) => {
                let existing: Vec<_> = reply.conflicts.iter().map(|row| row.key.clone()).collect();
                batch = refuse_existing(batch, &existing);
            }
            Err(report) if *report.current_context() == CallFailure::NotDone => {
                attempts_left -= 1;
                tokio::time::sleep(TXN_TIMEOUT / 10).await;
            }
            Err(_) => {
                resolve_lost_reply(control, batch, &row).await;
                return;
            }
        }
    }
    refuse_all(batch);
}

/// Refuses all but the first occurrence of an identifier within a batch.
fn refuse_duplicates(batch: Vec<(String, InsertReplySender)>) -> Vec<(String, InsertReplySender)> {
    let mut seen = std::collections::HashSet::new();
    let mut remaining = Vec::with_capacity(batch.len());
    for (key, reply) in batch {
        if seen.insert(key.clone()) {
            remaining.push((key, reply));
        } else {
            let _ = reply.send(Err(duplicate_refusal()));
        }
    }
    remaining
}

fn refuse_existing(
    batch: Vec<(String, InsertReplySender)>,
    existing: &[String],
) -> Vec<(String, InsertReplySender)> {
    let mut remaining = Vec::with_capacity(batch.len());
    for (key, reply) in batch {
        if existing.contains(&key) {
            let _ = reply.send(Err(duplicate_refusal()));
        } else {
            remaining.push((key, reply));
        }
    }
    remaining
}

fn duplicate_refusal() -> PeerRefusal {
    let message = "this identifier was dispatched before; its outcome is not known here";
    PeerRefusal::new(ErrorKind::DuplicateRequest, message)
}

fn refuse_all(batch: Vec<(String, InsertReplySender)>) {
    for (_, reply) in batch {
        let message = "the platform did not record the identifier; nothing was run, retry later";
        let _ = reply.send(Err(PeerRefusal::new(ErrorKind::PlatformDown, message)));
    }
}

/// Reads the rows of a transaction without an answer to find out which it inserted.
///
/// A row with this process's name and the transaction's nonce was written by
/// that transaction. A row that is absent may still be written by it later, so
/// its request is not run.
async fn resolve_lost_reply(
    control: &Control,
    batch: Vec<(String, InsertReplySender)>,
    row: &InsertRow,
) {
    let keys = batch.iter().map(|(key, _)| key.clone()).collect();
    let read = TableRead { keys, prefixes: Vec::new() };
    let Ok(reply) = control.platform.read(&read, TXN_TIMEOUT).await else {
        refuse_all(batch);
        return;
    };
    let mut absent = Vec::new();
    for (key, sender) in batch {
        let Some(table_row) = reply.rows.iter().find(|table_row| table_row.key == key) else {
            absent.push((key, sender));
            continue;
        };
        let present = serde_json::from_value::<InsertRow>(table_row.value.clone());
        let is_own = present.is_ok_and(|present| present == *row);
        let _ = sender.send(if is_own { Ok(table_row.version) } else { Err(duplicate_refusal()) });
    }
    refuse_all(absent);
}
