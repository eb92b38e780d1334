//! Stores the jobs that entries forward to the owner.

use std::rc::Rc;
use std::time::Duration;

use model::kind::ErrorKind;
use plan::job::JobSpec;
use plan::progress::ProgressRecord;
use tokio::sync::mpsc;

use crate::context::{OwnedFleet, SubmitCall};
use crate::owner::{OwnerPorts, SharedSession, load};
use crate::reread::RereadSchedule;
use crate::row;
use crate::submit::{StoredJob, SubmitQueue, SubmitTarget};

/// Accepts jobs to be stored until the ownership ends.
pub(crate) async fn serve_submissions<P: OwnerPorts>(session: SharedSession<P>) {
    let (sender, mut calls) = mpsc::unbounded_channel();
    *session.context.owned.borrow_mut() = Some(OwnedFleet {
        submits: sender,
        job_changes: session.job_changes.clone(),
        changes_notify: session.changes_notify.clone(),
    });
    let target = SubmitTarget::Owned(session.term_versions.get());
    let queue = SubmitQueue::new(session.context.clone(), target);
    session.spawn(reread_after_unanswered(session.clone(), queue.clone()));
    while let Some(call) = calls.recv().await {
        session.spawn(store_submitted(session.clone(), queue.clone(), call));
    }
}

/// Reads the jobs again after unanswered writes: such a write may take effect seconds later,
/// and the owner does not follow the table that it writes itself.
async fn reread_after_unanswered<P: OwnerPorts>(
    session: SharedSession<P>,
    queue: Rc<SubmitQueue<P>>,
) {
    let mut schedule = RereadSchedule::default();
    loop {
        let now = session.context.clock.now();
        let until_read = schedule.next_read().map(|at| Duration::from_millis(at.since(now)));
        tokio::select! {
            () = queue.unanswered_notify.notified() => {
                schedule.add_write(session.context.clock.now());
            }
            () = tokio::time::sleep(until_read.unwrap_or_default()), if until_read.is_some() => {
                schedule.begin_read(session.context.clock.now());
                load::reread_jobs(&session).await;
            }
        }
    }
}

async fn store_submitted<P: OwnerPorts>(
    session: SharedSession<P>,
    queue: Rc<SubmitQueue<P>>,
    call: SubmitCall,
) {
    let SubmitCall { spec, deadline, reply } = call;
    let arrived_ms = session.context.clock.now().0;
    let result = if must_refuse(&session, &queue, &spec).await {
        Err(ErrorKind::QueueFull)
    } else {
        let calls = session.planner.borrow().first_calls(&spec);
        session.storing_calls.borrow_mut().add_all(&calls);
        let value = row::encode(&spec);
        let result = queue.store_job(spec.id.clone(), value, deadline, false).await;
        session.storing_calls.borrow_mut().remove_all(&calls);
        result
    };
    if result == Ok(StoredJob::Known) && !session.planner.borrow().has_job(&spec.id) {
        queue.unanswered_notify.notify_one();
    }
    if result == Ok(StoredJob::New) {
        load::add_job(&session, spec, &ProgressRecord::default(), arrived_ms);
        session.decide_notify.notify_one();
    }
    if reply.send(result).is_err() {
        log::debug!("submission abandoned by the entry before its job was stored");
    }
}

/// Returns whether a job has to be refused because its calls for advice could not be made in time.
///
/// A repeated submission of a job that is stored, or that an unanswered write may yet store, is
/// not refused: the caller would take it for a job that never runs.
async fn must_refuse<P: OwnerPorts>(
    session: &SharedSession<P>,
    queue: &SubmitQueue<P>,
    spec: &JobSpec,
) -> bool {
    let refusal = {
        let (planner, dispatcher) = (session.planner.borrow(), session.dispatcher.borrow());
        planner.find_call_refusal(spec, &dispatcher, &session.storing_calls.borrow())
    };
    let Some(refusal) = refusal else { return false };
    let is_known = || {
        session.planner.borrow().has_job(&spec.id)
            || session.progress_versions.borrow().contains_key(&spec.id)
            || queue.may_store(&spec.id)
    };
    // Asked again after the read, during which another submission of the job may have come.
    if is_known() || !load::is_absent_from_inbox(session, &spec.id).await || is_known() {
        return false;
    }
    log::info!(
        "job refused job={} queue={} call_wait_ms={:.0} limit_ms={:.0}",
        spec.id,
        spec.queue,
        refusal.wait_ms,
        refusal.limit_ms,
    );
    session.context.metrics.refused_jobs.add(1, &[]);
    true
}
