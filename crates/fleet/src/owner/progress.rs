//! Storing progress before the ends that it counts are acknowledged.

use std::collections::BTreeMap;

use futures_util::future;
use link::failure::{self, CallFailure};
use model::name::JobId;
use plan::planner::ProgressBatch;
use plan::progress::ProgressRecord;

use crate::desk;
use crate::limits;
use crate::metrics;
use crate::owner::session::FinishedJob;
use crate::owner::{OwnerPorts, SharedSession};
use crate::ports::{RowTransaction, TransactOutcome};
use crate::row;

/// Stores progress whenever there is some: at once for jobs that are over, for
/// which callers wait, and at intervals for the rest.
pub(crate) async fn run<P: OwnerPorts>(session: SharedSession<P>) {
    loop {
        session.progress_wake.notified().await;
        if !session.planner.borrow().has_progress() {
            continue;
        }
        if session.planner.borrow().has_final_progress() {
            tokio::time::sleep(limits::FINAL_PROGRESS_BATCH_DELAY).await;
        } else {
            wait_for_final(&session).await;
        }
        store_all(&session).await;
    }
}

async fn wait_for_final<P: OwnerPorts>(session: &SharedSession<P>) {
    let until = tokio::time::Instant::now() + limits::MAX_PROGRESS_DELAY;
    while !session.planner.borrow().has_final_progress() {
        tokio::select! {
            () = session.progress_wake.notified() => {}
            () = tokio::time::sleep_until(until) => return,
        }
    }
}

async fn store_all<P: OwnerPorts>(session: &SharedSession<P>) {
    while session.planner.borrow().has_progress() {
        let batch = session.planner.borrow_mut().take_progress(limits::MAX_PROGRESS_PER_BATCH);
        let groups = group_by_partition(batch.records);
        let writes = groups.iter().map(|group| store(session, group));
        let stored = future::join_all(writes).await;
        let mut failed = Vec::new();
        for (group, stored) in groups.into_iter().zip(stored) {
            if !stored {
                failed.extend(group.records);
            }
        }
        if failed.is_empty() {
            let covered = ProgressBatch { records: Vec::new(), acks: batch.acks };
            session.planner.borrow_mut().progress_stored(&covered);
            session.stored.notify_waiters();
        } else {
            let again = ProgressBatch { records: failed, acks: batch.acks };
            session.planner.borrow_mut().restore_progress(again);
            tokio::time::sleep(limits::STORE_RETRY_DELAY).await;
        }
    }
}

/// Records of one partition, few enough for one transaction.
#[derive(Debug)]
struct RecordGroup {
    partition: usize,
    records: Vec<(JobId, ProgressRecord)>,
}

fn group_by_partition(records: Vec<(JobId, ProgressRecord)>) -> Vec<RecordGroup> {
    let mut groups: Vec<RecordGroup> = Vec::new();
    for record in records {
        let partition = row::partition_index(&record.0);
        let open = groups.iter_mut().find(|group| {
            group.partition == partition
                && group.records.len() < limits::MAX_PROGRESS_PER_TRANSACTION
        });
        match open {
            Some(group) => group.records.push(record),
            None => groups.push(RecordGroup { partition, records: vec![record] }),
        }
    }
    groups
}

/// Stores the records of one partition; false if they have to be stored again.
///
/// Every write names the version that it replaces, and that of the term's row. A
/// write that is carried out late can then not replace a newer one, and nothing
/// that an earlier owner writes is missed by a later one.
async fn store<P: OwnerPorts>(session: &SharedSession<P>, group: &RecordGroup) -> bool {
    let mut transaction = RowTransaction::default();
    let term_key = row::term_key(row::JOB_PARTITIONS[group.partition]);
    let term_version = session.term_versions.get()[group.partition];
    transaction.expected.push((term_key.clone(), term_version));
    let now_ms = desk::unix_ms();
    for (id, record) in &group.records {
        let ended_ms = if record.status.is_final() { now_ms } else { 0 };
        let record = ProgressRecord { ended_ms, ..record.clone() };
        let known = session.progress_versions.borrow().get(id).copied().unwrap_or(0);
        transaction.expected.push((row::progress_key(id), known));
        transaction.writes.push((row::progress_key(id), row::encode(&record)));
        if record.status.is_final() {
            transaction.removes.push(row::job_key(id));
            transaction.removes.push(row::inbox_key(id));
            transaction.removes.push(row::cancel_key(id));
        }
    }
    match session.context.ports.transact(&transaction, limits::SUBMIT_TIMEOUT).await {
        Ok(TransactOutcome::Committed(version)) => {
            let mut versions = session.progress_versions.borrow_mut();
            for (id, record) in &group.records {
                if record.status.is_final() {
                    log::info!("job over job={id} status={:?} version={version}", record.status);
                    let label = metrics::label("status", format!("{:?}", record.status));
                    session.context.metrics.jobs_over.add(1, &[label]);
                    let end = (now_ms, id.clone(), version);
                    session.finished_jobs.borrow_mut().push_back(end);
                    versions.remove(id);
                } else {
                    versions.insert(id.clone(), version);
                }
                session.publish(id, record.status);
            }
            drop(versions);
            session.planner.borrow_mut().records_stored(&group.records);
            true
        }
        Ok(TransactOutcome::Conflict(rows)) => {
            let term = rows.iter().find(|row| row.key == term_key.key);
            if term.is_some_and(|row| row.version != term_version) {
                session.end_ownership("a later owner has begun");
                return false;
            }
            let mut versions = session.progress_versions.borrow_mut();
            for (id, _) in &group.records {
                versions.remove(id);
            }
            for found in rows.iter().filter(|row| row.version > 0) {
                versions.insert(found.key.as_str().into(), found.version);
            }
            log::warn!("progress changed by another writer rows={}", rows.len());
            false
        }
        Err(error) => {
            let unknown = *error.current_context() == CallFailure::Unknown;
            log::warn!(
                "progress not stored unknown={unknown} error=\"{}\"",
                failure::format_one_line(&error)
            );
            false
        }
    }
}

/// Removes the states of jobs that were over long ago.
pub(crate) async fn sweep<P: OwnerPorts>(session: SharedSession<P>) {
    let keep_ms = session.context.bounds.keep_ms + limits::RETENTION_MARGIN_MS;
    loop {
        tokio::time::sleep(limits::SWEEP_INTERVAL).await;
        let old = take_old(&session, desk::unix_ms().saturating_sub(keep_ms));
        let mut partitions: BTreeMap<usize, Vec<FinishedJob>> = BTreeMap::new();
        for ended in old {
            partitions.entry(row::partition_index(&ended.1)).or_default().push(ended);
        }
        for old in partitions.into_values() {
            remove_old(&session, old).await;
        }
    }
}

async fn remove_old<P: OwnerPorts>(session: &SharedSession<P>, old: Vec<FinishedJob>) {
    let mut transaction = RowTransaction::default();
    for (_, id, version) in &old {
        transaction.expected.push((row::progress_key(id), *version));
        transaction.removes.push(row::progress_key(id));
    }
    match session.context.ports.transact(&transaction, limits::SUBMIT_TIMEOUT).await {
        Ok(TransactOutcome::Committed(_)) => log::debug!("old states removed jobs={}", old.len()),
        // The next owner reads what is left and removes it.
        Ok(TransactOutcome::Conflict(_)) => log::warn!("old states changed jobs={}", old.len()),
        Err(error) => {
            log::warn!("old states not removed error=\"{}\"", failure::format_one_line(&error));
            session.finished_jobs.borrow_mut().extend(old);
        }
    }
}

fn take_old<P: OwnerPorts>(session: &SharedSession<P>, before_ms: u64) -> Vec<FinishedJob> {
    let mut ended = session.finished_jobs.borrow_mut();
    let mut old = Vec::new();
    while old.len() < limits::MAX_SWEPT_PER_TRANSACTION
        && ended.front().is_some_and(|(at, _, _)| *at < before_ms)
    {
        old.extend(ended.pop_front());
    }
    old
}
