//! Stores the progress of jobs. Run ends are acknowledged to workers only after that.

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
use crate::owner::{OwnerPorts, SharedSession, cancellations};
use crate::ports::{RowTransaction, TransactOutcome};
use crate::row;

/// Stores progress in batches: soon for finished jobs, whose callers wait for the result, and
/// after a longer delay for the rest.
pub(crate) async fn store_repeatedly<P: OwnerPorts>(session: SharedSession<P>) {
    loop {
        session.progress_notify.notified().await;
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

/// Waits until progress of a finished job is pending, or the longest delay is over.
async fn wait_for_final<P: OwnerPorts>(session: &SharedSession<P>) {
    let until = tokio::time::Instant::now() + limits::MAX_PROGRESS_DELAY;
    while !session.planner.borrow().has_final_progress() {
        tokio::select! {
            () = session.progress_notify.notified() => {}
            () = tokio::time::sleep_until(until) => return,
        }
    }
}

async fn store_all<P: OwnerPorts>(session: &SharedSession<P>) {
    while session.planner.borrow().has_progress() {
        let batch = session.planner.borrow_mut().take_progress(limits::MAX_PROGRESS_PER_BATCH);
        let groups = group_by_partition(batch.records);
        let writes = groups.iter().map(|group| store_group(session, group));
        let stored = future::join_all(writes).await;
        let mut failed = Vec::new();
        for (group, stored) in groups.into_iter().zip(stored) {
            if !stored {
                failed.extend(group.records);
            }
        }
        if failed.is_empty() {
            let acks_batch = ProgressBatch { records: Vec::new(), acks: batch.acks };
            session.planner.borrow_mut().confirm_progress(&acks_batch);
            session.stored_notify.notify_waiters();
        } else {
            let failed_batch = ProgressBatch { records: failed, acks: batch.acks };
            session.planner.borrow_mut().requeue_progress(failed_batch);
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
        let open_group = groups.iter_mut().find(|group| {
            group.partition == partition
                && group.records.len() < limits::MAX_PROGRESS_PER_TRANSACTION
        });
        match open_group {
            Some(group) => group.records.push(record),
            None => groups.push(RecordGroup { partition, records: vec![record] }),
        }
    }
    groups
}

/// Stores the records of one partition. Returns false if they have to be stored again.
///
/// Every write is conditional on the version that it replaces and on the version of the term
/// row. A write that is carried out late can then not replace a newer one, and a later owner
/// does not miss anything that an earlier one writes.
async fn store_group<P: OwnerPorts>(session: &SharedSession<P>, group: &RecordGroup) -> bool {
    let mut transaction = RowTransaction::default();
    let term_key = row::term_key(row::JOB_PARTITIONS[group.partition]);
    let term_version = session.term_versions.get()[group.partition];
    transaction.expected.push((term_key.clone(), term_version));
    let now_ms = desk::unix_ms();
    for (id, record) in &group.records {
        let ended_ms = if record.status.is_final() { now_ms } else { 0 };
        let record = ProgressRecord { ended_ms, ..record.clone() };
        let known_version = session.progress_versions.borrow().get(id).copied().unwrap_or(0);
        transaction.expected.push((row::progress_key(id), known_version));
        transaction.writes.push((row::progress_key(id), row::encode(&record)));
        if record.status.is_final() {
            transaction.removes.push(row::job_key(id));
            transaction.removes.push(row::inbox_key(id));
            transaction.removes.push(row::cancel_key(id));
        }
    }
    match session.context.ports.transact(&transaction, limits::JOB_WRITE_TIMEOUT).await {
        Ok(TransactOutcome::Committed(version)) => {
            let mut versions = session.progress_versions.borrow_mut();
            for (id, record) in &group.records {
                if record.status.is_final() {
                    log::info!("job over job={id} status={:?} version={version}", record.status);
                    let label = metrics::label("status", format!("{:?}", record.status));
                    session.context.metrics.finished_jobs.add(1, &[label]);
                    let finished_job = FinishedJob { ended_ms: now_ms, id: id.clone(), version };
                    session.finished_jobs.borrow_mut().push_back(finished_job);
                    versions.remove(id);
                } else {
                    versions.insert(id.clone(), version);
                }
                session.publish_change(id, record.status);
            }
            drop(versions);
            session.planner.borrow_mut().confirm_records(&group.records);
            true
        }
        Ok(TransactOutcome::Conflict(rows)) => {
            let term_row = rows.iter().find(|row| row.key == term_key.key);
            if term_row.is_some_and(|row| row.version != term_version) {
                session.end_ownership("superseded-by-later-owner");
                return false;
            }
            let mut versions = session.progress_versions.borrow_mut();
            for (id, _) in &group.records {
                versions.remove(id);
            }
            for row in rows.iter().filter(|row| row.version > 0) {
                versions.insert(row.key.as_str().into(), row.version);
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

/// Removes the states of jobs that finished before the retention time, and cancellations as old.
pub(crate) async fn remove_old_states<P: OwnerPorts>(session: SharedSession<P>) {
    let keep_ms = session.context.bounds.keep_ms + limits::RETENTION_MARGIN_MS;
    loop {
        tokio::time::sleep(limits::SWEEP_INTERVAL).await;
        cancellations::remove_old(&session).await;
        let old = take_old_jobs(&session, desk::unix_ms().saturating_sub(keep_ms));
        let mut partitions: BTreeMap<usize, Vec<FinishedJob>> = BTreeMap::new();
        for job in old {
            partitions.entry(row::partition_index(&job.id)).or_default().push(job);
        }
        for old in partitions.into_values() {
            remove_states(&session, old).await;
        }
    }
}

async fn remove_states<P: OwnerPorts>(session: &SharedSession<P>, old: Vec<FinishedJob>) {
    let mut transaction = RowTransaction::default();
    for job in &old {
        transaction.expected.push((row::progress_key(&job.id), job.version));
        transaction.removes.push(row::progress_key(&job.id));
    }
    match session.context.ports.transact(&transaction, limits::JOB_WRITE_TIMEOUT).await {
        Ok(TransactOutcome::Committed(_)) => log::debug!("old states removed jobs={}", old.len()),
        // The next owner reads the remaining states and removes them.
        Ok(TransactOutcome::Conflict(_)) => log::warn!("old states changed jobs={}", old.len()),
        Err(error) => {
            log::warn!("old states not removed error=\"{}\"", failure::format_one_line(&error));
            session.finished_jobs.borrow_mut().extend(old);
        }
    }
}

/// Takes finished jobs that ended before `before_ms`, as many as one transaction removes.
fn take_old_jobs<P: OwnerPorts>(session: &SharedSession<P>, before_ms: u64) -> Vec<FinishedJob> {
    let mut finished_jobs = session.finished_jobs.borrow_mut();
    let mut old = Vec::new();
    while old.len() < limits::MAX_SWEPT_PER_TRANSACTION
        && finished_jobs.front().is_some_and(|job| job.ended_ms < before_ms)
    {
        old.extend(finished_jobs.pop_front());
    }
    old
}
