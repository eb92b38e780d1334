//! Cancellations of jobs, also of those that the owner does not know.

use std::collections::BTreeMap;

use link::failure;
use model::name::JobId;
use plan::progress::JobStatus;

use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};
use crate::ports::{RowTransaction, TransactOutcome};
use crate::row;

/// Applies the row of a cancellation, or its removal with the job.
pub(crate) fn apply<P: OwnerPorts>(session: &SharedSession<P>, id: &JobId, is_stored: bool) {
    let status = session.context.statuses.borrow().get(id);
    let mut planner = session.planner.borrow_mut();
    let mut kept = session.early_cancellations.borrow_mut();
    if !is_stored {
        planner.forget_cancellation(id);
        kept.remove(id);
        return;
    }
    // The rows are read again whenever the feed of their changes does not reach back far enough.
    if !planner.has_job(id) && !kept.contains_key(id) {
        log::info!("cancellation kept job={id} reason=job-not-known status={status:?}");
        kept.insert(id.clone(), session.context.clock.now());
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
    let mut partitions: BTreeMap<usize, Vec<JobId>> = BTreeMap::new();
    {
        let mut kept = session.early_cancellations.borrow_mut();
        let planner = session.planner.borrow();
        // The cancellation of a job that is known is removed together with the job.
        kept.retain(|id, _| !planner.has_job(id));
        let old = kept.iter().filter(|(_, at)| now.since(**at) >= keep_ms);
        for (id, _) in old.take(limits::MAX_CANCELLATIONS_PER_TRANSACTION) {
            partitions.entry(row::partition_index(id)).or_default().push(id.clone());
        }
    }
    for old in partitions.into_values() {
        remove(session, old).await;
    }
}

/// Removes rows of cancellations, which lie in one partition, on condition that their jobs do not
/// exist.
async fn remove<P: OwnerPorts>(session: &SharedSession<P>, old: Vec<JobId>) {
    let mut transaction = RowTransaction::default();
    for id in &old {
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
            return;
        }
    }
    session.early_cancellations.borrow_mut().retain(|id, _| !old.contains(id));
}
