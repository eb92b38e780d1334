//! Cancellations of jobs, also of those that the owner does not know.

use std::collections::BTreeMap;

use link::failure;
use model::name::JobId;
use model::time::ClockMillis;
use plan::progress::JobStatus;

use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};
use crate::ports::{RowTransaction, TransactOutcome};
use crate::row;

/// Applies the row of a cancellation, or its removal with the job.
pub(crate) fn apply<P: OwnerPorts>(session: &SharedSession<P>, id: &JobId, is_stored: bool) {
    let status = session.context.statuses.borrow().get(id);
    let mut planner = session.planner.borrow_mut();
    if !is_stored {
        planner.forget_cancellation(id);
        return;
    }
    if !planner.has_job(id) {
        log::info!("cancellation kept job={id} reason=job-not-known status={status:?}");
        let now = session.context.clock.now();
        session.early_cancellations.borrow_mut().push_back((now, id.clone()));
    }
    if !matches!(status, Some(JobStatus::Completed | JobStatus::Failed)) {
        planner.cancel_job(id);
    }
}

/// Removes the rows of cancellations that were kept for the retention time without a job.
///
/// No write of their jobs can be under way any more then, and no submission is repeated as late.
pub(crate) async fn remove_old<P: OwnerPorts>(session: &SharedSession<P>) {
    let keep_ms = session.context.bounds.keep_ms + limits::RETENTION_MARGIN_MS;
    let now = session.context.clock.now();
    let mut partitions: BTreeMap<usize, Vec<(ClockMillis, JobId)>> = BTreeMap::new();
    {
        let mut kept = session.early_cancellations.borrow_mut();
        let planner = session.planner.borrow();
        for _ in 0..limits::MAX_CANCELLATIONS_PER_TRANSACTION {
            let Some(cancellation) = kept.pop_front_if(|(at, _)| now.since(*at) >= keep_ms) else {
                break;
            };
            // The cancellation of a job that is known is removed together with the job.
            if !planner.has_job(&cancellation.1) {
                let partition = row::partition_index(&cancellation.1);
                partitions.entry(partition).or_default().push(cancellation);
            }
        }
    }
    for old in partitions.into_values() {
        remove(session, old).await;
    }
}

/// Removes rows of cancellations, which lie in one partition, on condition that their jobs do not
/// exist.
async fn remove<P: OwnerPorts>(session: &SharedSession<P>, old: Vec<(ClockMillis, JobId)>) {
    let mut transaction = RowTransaction::default();
    for (_, id) in &old {
        transaction.expected.extend([row::job_key(id), row::inbox_key(id)].map(|key| (key, 0)));
        transaction.removes.push(row::cancel_key(id));
    }
    match session.context.ports.transact(&transaction, limits::JOB_WRITE_TIMEOUT).await {
        Ok(TransactOutcome::Committed(_)) => {
            log::debug!("old cancellations removed jobs={}", old.len());
        }
        // The next owner reads the remaining ones and removes them.
        Ok(TransactOutcome::Conflict(_)) => {
            log::warn!("old cancellations not removed jobs={} reason=job-stored", old.len());
        }
        Err(error) => {
            log::warn!(
                "old cancellations not removed error=\"{}\"",
                failure::format_one_line(&error)
            );
            let mut kept = session.early_cancellations.borrow_mut();
            for cancellation in old.into_iter().rev() {
                kept.push_front(cancellation);
            }
        }
    }
}
