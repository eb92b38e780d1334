//! Storing progress before the ends that it counts are acknowledged.

use link::failure::{self, CallFailure};
use model::name::JobId;
use plan::planner::ProgressBatch;
use plan::progress::ProgressRecord;

use crate::desk;
use crate::limits;
use crate::metrics;
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
            tokio::time::sleep(limits::PROGRESS_GATHER).await;
        } else {
            wait_for_final(&session).await;
        }
        store_all(&session).await;
    }
}

async fn wait_for_final<P: OwnerPorts>(session: &SharedSession<P>) {
    let until = tokio::time::Instant::now() + limits::PROGRESS_INTERVAL;
    while !session.planner.borrow().has_final_progress() {
        tokio::select! {
            () = session.progress_wake.notified() => {}
            () = tokio::time::sleep_until(until) => return,
        }
    }
}

async fn store_all<P: OwnerPorts>(session: &SharedSession<P>) {
    while session.planner.borrow().has_progress() {
        let batch = session.planner.borrow_mut().take_progress(limits::PROGRESS_BATCH);
        if batch.records.is_empty() {
            session.planner.borrow_mut().progress_stored(&batch);
            session.stored.notify_waiters();
        } else if !store(session, &batch).await {
            session.planner.borrow_mut().restore_progress(batch);
            tokio::time::sleep(limits::STORE_PAUSE).await;
        }
    }
}

/// Stores one batch; false if it has to be stored again.
///
/// Every write names the version that it replaces, and that of the term's row. A
/// write that is carried out late can then not replace a newer one, and nothing
/// that an earlier owner writes is missed by a later one.
async fn store<P: OwnerPorts>(session: &SharedSession<P>, batch: &ProgressBatch) -> bool {
    let mut transaction = RowTransaction::default();
    transaction.expected.push((row::term_key(), session.term_version.get()));
    let now_ms = desk::unix_ms();
    for (id, record) in &batch.records {
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
        Ok(TransactOutcome::Done(version)) => {
            let mut versions = session.progress_versions.borrow_mut();
            for (id, record) in &batch.records {
                if record.status.is_final() {
                    log::info!("job over job={id} status={:?} version={version}", record.status);
                    let label = metrics::label("status", format!("{:?}", record.status));
                    session.context.metrics.jobs_over.add(1, &[label]);
                    let end = (now_ms, id.clone(), version);
                    session.ended.borrow_mut().push_back(end);
                    versions.remove(id);
                } else {
                    versions.insert(id.clone(), version);
                }
                session.tell(id, record.status);
            }
            drop(versions);
            session.planner.borrow_mut().progress_stored(batch);
            session.stored.notify_waiters();
            true
        }
        Ok(TransactOutcome::Conflict(rows)) => {
            let term = rows.iter().find(|row| row.key == row::term_key().key);
            if term.is_some_and(|row| row.version != session.term_version.get()) {
                session.depose("a later owner has begun");
                return false;
            }
            let mut versions = session.progress_versions.borrow_mut();
            for (id, _) in &batch.records {
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
                failure::brief(&error)
            );
            false
        }
    }
}

/// Removes the states of jobs that were over long ago.
pub(crate) async fn sweep<P: OwnerPorts>(session: SharedSession<P>) {
    let keep_ms = session.context.bounds.keep_ms + limits::KEEP_MARGIN_MS;
    loop {
        tokio::time::sleep(limits::SWEEP_INTERVAL).await;
        let old = take_old(&session, desk::unix_ms().saturating_sub(keep_ms));
        if old.is_empty() {
            continue;
        }
        let mut transaction = RowTransaction::default();
        for (_, id, version) in &old {
            transaction.expected.push((row::progress_key(id), *version));
            transaction.removes.push(row::progress_key(id));
        }
        match session.context.ports.transact(&transaction, limits::SUBMIT_TIMEOUT).await {
            Ok(TransactOutcome::Done(_)) => log::debug!("old states removed jobs={}", old.len()),
            // The next owner reads what is left and removes it.
            Ok(TransactOutcome::Conflict(_)) => log::warn!("old states changed jobs={}", old.len()),
            Err(error) => {
                log::warn!("old states not removed error=\"{}\"", failure::brief(&error));
                session.ended.borrow_mut().extend(old);
            }
        }
    }
}

fn take_old<P: OwnerPorts>(session: &SharedSession<P>, before_ms: u64) -> Vec<(u64, JobId, u64)> {
    let mut ended = session.ended.borrow_mut();
    let mut old = Vec::new();
    while old.len() < limits::SWEEP_BATCH && ended.front().is_some_and(|(at, _, _)| *at < before_ms)
    {
        old.extend(ended.pop_front());
    }
    old
}
