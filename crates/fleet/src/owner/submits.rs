//! Stores the jobs that entries forward to the owner.

use std::rc::Rc;
use std::time::Duration;

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
    let result = queue.store_job(spec.id.clone(), row::encode(&spec), deadline, false).await;
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
