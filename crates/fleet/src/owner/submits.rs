//! Stores the jobs that entries forward to the owner.

use std::rc::Rc;
use std::time::Duration;

use model::kind::ErrorKind;
use plan::admission::{CallRefusal, RoomRefusal};
use plan::job::JobSpec;
use plan::progress::ProgressRecord;
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use crate::context::{OwnedFleet, SubmitCall};
use crate::limits;
use crate::metrics;
use crate::owner::{OwnerPorts, SharedSession, explain, load};
use crate::reread::RereadSchedule;
use crate::row;
use crate::submit::{StoredJob, SubmitAnswer, SubmitQueue, SubmitTarget};

/// Accepts jobs to be stored until the ownership ends.
pub(crate) async fn serve_submissions<P: OwnerPorts>(session: SharedSession<P>) {
    let (sender, mut calls) = mpsc::unbounded_channel();
    let (questions, asked) = mpsc::channel(limits::MAX_WAITING_QUESTIONS);
    session.spawn(explain::serve_questions(session.clone(), asked));
    *session.context.owned.borrow_mut() = Some(OwnedFleet {
        questions,
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
    if let Some(answer) = must_refuse(&session, &queue, &spec).await {
        reply_to_entry(reply, answer);
        return;
    }
    let (calls, demand) = {
        let planner = session.planner.borrow();
        (planner.first_calls(&spec), planner.new_demand(&spec))
    };
    // A repeated submission adds no demand.
    let is_first = !session.planner.borrow().has_job(&spec.id)
        && session.storing_jobs.borrow_mut().insert(spec.id.clone());
    let demand = demand.filter(|_| is_first);
    session.storing_calls.borrow_mut().add_all(&calls);
    if let Some((pool, priority, demand)) = &demand {
        session.storing_demands.borrow_mut().add(pool, *priority, *demand);
    }
    let value = row::encode(&spec);
    let result = queue.store_job(spec.id.clone(), value, deadline, false).await;
    session.storing_calls.borrow_mut().remove_all(&calls);
    if let Some((pool, priority, demand)) = &demand {
        session.storing_demands.borrow_mut().remove(pool, *priority, *demand);
    }
    if is_first {
        session.storing_jobs.borrow_mut().remove(&spec.id);
    }
    if result == Ok(StoredJob::Known) && !session.planner.borrow().has_job(&spec.id) {
        queue.unanswered_notify.notify_one();
    }
    if result == Ok(StoredJob::New) {
        load::add_job(&session, spec, &ProgressRecord::default(), arrived_ms);
        session.decide_notify.notify_one();
    }
    reply_to_entry(reply, result.into());
}

fn reply_to_entry(reply: oneshot::Sender<SubmitAnswer>, answer: SubmitAnswer) {
    if reply.send(answer).is_err() {
        log::debug!("submission abandoned by the entry before its job was stored");
    }
}

/// Why a job has to be refused.
#[derive(Clone, Copy, Debug)]
enum JobRefusal {
    /// Its calls for advice could not be made in time.
    Calls(CallRefusal),
    /// There would be no capacity for it in time.
    Room(RoomRefusal),
}

/// Returns the refusal of a job that could not be done in time for want of calls or capacity.
fn find_refusal<P: OwnerPorts>(session: &SharedSession<P>, spec: &JobSpec) -> Option<JobRefusal> {
    let (planner, dispatcher) = (session.planner.borrow(), session.dispatcher.borrow());
    let now_ms = session.context.clock.now().0;
    let calls = planner.find_call_refusal(spec, &dispatcher, &session.storing_calls.borrow());
    let room = || planner.find_room_refusal(spec, &session.storing_demands.borrow(), now_ms);
    calls.map(JobRefusal::Calls).or_else(|| room().map(JobRefusal::Room))
}

/// Returns the answer to a job that has to be refused because it could not be done in time.
///
/// A repeated submission of a job that is stored, or that an unanswered write may yet store, is
/// not refused: the caller would take it for a job that never runs.
async fn must_refuse<P: OwnerPorts>(
    session: &SharedSession<P>,
    queue: &SubmitQueue<P>,
    spec: &JobSpec,
) -> Option<SubmitAnswer> {
    let refusal = find_refusal(session, spec)?;
    let is_known = || {
        session.planner.borrow().has_job(&spec.id)
            || session.progress_versions.borrow().contains_key(&spec.id)
            || queue.may_store(&spec.id)
    };
    // Asked again after the read, during which another submission of the job may have come.
    if is_known() {
        return None;
    }
    let is_absent = {
        // The semaphore is never closed.
        let _permit = session.refusal_reads.acquire().await;
        load::is_absent_from_inbox(session, &spec.id).await
    };
    if !is_absent || is_known() {
        return None;
    }
    let (reason, retry_after_s) = record_refusal(session, spec, refusal);
    session.context.metrics.refused_jobs.add(1, &[metrics::label("reason", reason)]);
    Some(SubmitAnswer { result: Err(ErrorKind::QueueFull), retry_after_s })
}

/// Logs a refusal with its inputs; returns its reason, and the time after which the caller should
/// come back, in seconds.
fn record_refusal<P: OwnerPorts>(
    session: &SharedSession<P>,
    spec: &JobSpec,
    refusal: JobRefusal,
) -> (&'static str, Option<u32>) {
    match refusal {
        JobRefusal::Calls(refusal) => {
            log::info!(
                "job refused job={} queue={} reason=calls call_wait_ms={:.0} limit_ms={:.0}",
                spec.id,
                spec.queue,
                refusal.wait_ms,
                refusal.limit_ms,
            );
            ("calls", None)
        }
        JobRefusal::Room(refusal) => {
            let (first_s, last_s) = refusal.retry_after_s;
            let retry_after_s = rand::rng().random_range(first_s..=last_s);
            let now_ms = session.context.clock.now().0;
            session.planner.borrow_mut().record_room_refusal(spec, now_ms);
            let reason = refusal.reason.name();
            log::info!(
                "job refused job={} queue={} team={} reason={reason} room_wait_ms={:.0} \
                 limit_ms={:.0} late_wait_ms={:.0} late_limit_ms={:.0} retry_after_s={retry_after_s}",
                spec.id,
                spec.queue,
                spec.team.as_ref().map_or("-", |team| team.as_str()),
                refusal.wait_ms,
                refusal.limit_ms,
                refusal.late_wait_ms,
                refusal.late_limit_ms,
            );
            (reason, Some(retry_after_s))
        }
    }
}
