//! Contact with each worker: its lease, its runs and its ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use model::name::WorkerName;
use model::time::ClockMillis;
use plan::worker::{EndKind, EndedRun};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::lease::WorkerLease;
use crate::limits;
use crate::metrics;
use crate::owner::{OwnerPorts, SharedSession};
use crate::ports::{OrderStamp, PollAnswer, PollOrder, TableRow};

/// What is known of the way to one worker.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) address: ArcStr,
    pub(crate) lease: WorkerLease,
    /// Bounds the orders that are on their way.
    pub(crate) orders_in_flight: Arc<Semaphore>,
    /// Whether the worker is registered.
    listed: bool,
    /// When looks began to fail.
    failing_since: Option<ClockMillis>,
    /// Rung when a task is started.
    started: Rc<Notify>,
    /// Ends the looks at this worker.
    cancellation: CancellationToken,
}

/// Takes a registration as the table service has it.
pub(crate) fn apply_row<P: OwnerPorts>(session: &SharedSession<P>, found: &TableRow) {
    let name = WorkerName::from(found.key.as_str());
    let Some((info, address)) = session.context.ports.decode_worker_row(found) else {
        unlist(session, &name);
        return;
    };
    let text = format!("worker={name} domain={} draining={}", info.domain, info.draining);
    // Each heartbeat writes the row; only what decisions depend on is worth a line.
    if session.planner.borrow_mut().set_worker(info) {
        log::info!("worker registered {text} version={}", found.version);
    }
    let mut links = session.links.borrow_mut();
    if let Some(link) = links.get_mut(&name) {
        link.address = address;
        link.listed = true;
        return;
    }
    let cancellation = session.cancellation.child_token();
    let lease = WorkerLease::inherited(session.context.bounds.worker_lease_ms, session.claimed_at);
    let link = WorkerLink {
        address,
        lease,
        orders_in_flight: Arc::new(Semaphore::new(limits::MAX_ORDERS_IN_FLIGHT)),
        listed: true,
        failing_since: None,
        started: Rc::default(),
        cancellation: cancellation.clone(),
    };
    links.insert(name.clone(), link);
    let polls = poll_worker(session.clone(), name);
    actix_rt::spawn(async move {
        cancellation.run_until_cancelled(polls).await;
    });
}

/// Notes that workers other than these are not registered any more.
pub(crate) fn retain<P: OwnerPorts>(session: &SharedSession<P>, listed: &[ArcStr]) {
    let names: Vec<_> = session
        .links
        .borrow()
        .keys()
        .filter(|name| !listed.iter().any(|key| key == name.as_str()))
        .cloned()
        .collect();
    for name in names {
        unlist(session, &name);
    }
}

fn unlist<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) {
    if let Some(link) = session.links.borrow_mut().get_mut(name) {
        if link.listed {
            log::info!("worker not registered any more worker={name}");
        }
        link.listed = false;
    }
    session.planner.borrow_mut().deregister_worker(name);
}

/// Returns the workers that may run tasks of this or an earlier owner.
pub(crate) fn leased<P: OwnerPorts>(session: &SharedSession<P>) -> Vec<WorkerName> {
    let mut names: Vec<_> = session.links.borrow().keys().cloned().collect();
    names.extend(session.expiring.borrow().iter().cloned());
    names
}

/// Counts the registered workers that do not answer, and all registered ones.
pub(crate) fn count_silent<P: OwnerPorts>(session: &SharedSession<P>) -> (usize, usize) {
    let links = session.links.borrow();
    let listed = links.values().filter(|link| link.listed);
    listed.fold((0, 0), |(silent, all), link| {
        (silent + usize::from(link.failing_since.is_some()), all + 1)
    })
}

/// Waits until workers of an earlier owner that are not registered can run nothing any more.
pub(crate) fn expire_unlisted<P: OwnerPorts>(session: &SharedSession<P>, leased: &[WorkerName]) {
    let links = session.links.borrow();
    let names: Vec<_> = leased.iter().filter(|name| !links.contains_key(*name)).cloned().collect();
    drop(links);
    if names.is_empty() {
        return;
    }
    log::info!(
        "waiting for leases of unregistered workers term={} workers={}",
        session.term,
        names.len()
    );
    session.expiring.borrow_mut().clone_from(&names);
    let lease = WorkerLease::inherited(session.context.bounds.worker_lease_ms, session.claimed_at);
    let waiting = session.clone();
    session.spawn(async move {
        while !lease.has_expired(waiting.context.clock.now()) {
            tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
        }
        waiting.expiring.borrow_mut().clear();
        for name in &names {
            if !waiting.links.borrow().contains_key(name) {
                waiting.planner.borrow_mut().worker_lease_expired(name);
            }
        }
        waiting.wake.notify_one();
    });
}

/// Looks at a worker again and again, until it is gone for good.
async fn poll_worker<P: OwnerPorts>(session: SharedSession<P>, name: WorkerName) {
    loop {
        let Some((address, order)) = next_poll(&session, &name) else {
            tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
            continue;
        };
        let sent_at = session.context.clock.now();
        let answer = session.context.ports.poll(&address, &name, order).await;
        match answer {
            Ok(PollAnswer::Report { clock_ms, report }) => {
                let now = session.context.clock.now();
                if let Some(link) = session.links.borrow_mut().get_mut(&name) {
                    link.lease.observe(clock_ms, report.incarnation, now);
                    link.failing_since = None;
                }
                for end in &report.ended {
                    record_end(&session, &name, end);
                }
                session.planner.borrow_mut().apply_report(&name, &report, sent_at.0, now.0);
                session.wake.notify_one();
                if let Some(last) = report.ended.last() {
                    wait_stored(&session, &name, last.number).await;
                } else if report.running.is_empty() {
                    wait_started(&session, &name).await;
                }
            }
            Ok(PollAnswer::Fenced) => {
                session.end_ownership("fenced-by-worker");
                return;
            }
            Err(error) => {
                if !record_poll_failure(&session, &name, &error) {
                    return;
                }
                tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until an end is stored: a worker does not wait while it lists ends, so
/// that looking again before would only repeat the answer.
async fn wait_stored<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName, number: u64) {
    let stored = async {
        while session.planner.borrow().ack_up_to(name) < number {
            session.stored.notified().await;
        }
    };
    if tokio::time::timeout(limits::MAX_ACK_WAIT, stored).await.is_err() {
        log::debug!("ends not stored yet worker={name} number={number}");
    }
}

/// Leaves a worker that runs nothing alone for a while, so that the looks at the idle workers
/// of a large fleet do not take the owner's time; there is nothing to see and no lease to prolong.
async fn wait_started<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) {
    let (started, workers) = {
        let links = session.links.borrow();
        let Some(link) = links.get(name) else { return };
        (link.started.clone(), links.len())
    };
    let interval = Duration::from_secs(1) * u32::try_from(workers).unwrap_or(u32::MAX)
        / limits::MAX_IDLE_POLLS_PER_S;
    let pause = interval.min(limits::MAX_IDLE_POLL_INTERVAL).saturating_sub(limits::MAX_POLL_WAIT);
    if pause.is_zero() || session.planner.borrow().has_runs(name) {
        return;
    }
    if tokio::time::timeout(pause, started.notified()).await.is_ok() {
        log::debug!("idle worker gets work worker={name}");
    }
}

/// Logs and counts an end; only what did not go well is worth a line of its own.
fn record_end<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName, end: &EndedRun) {
    let level = if end.kind == EndKind::Done { log::Level::Debug } else { log::Level::Info };
    log::log!(
        level,
        "run ended job={} task={} run={} worker={name} end={:?} number={}",
        end.task.step.job,
        end.task,
        end.run,
        end.kind,
        end.number
    );
    let label = metrics::label("kind", format!("{:?}", end.kind));
    session.context.metrics.ends.add(1, &[label]);
}

fn next_poll<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<(ArcStr, PollOrder)> {
    if !session.may_extend_leases() {
        return None;
    }
    let now = session.context.clock.now();
    let mut links = session.links.borrow_mut();
    let link = links.get_mut(name)?;
    // A look that gets no answer may still prolong the lease, so that looks at a
    // worker out of reach carry no deadline: its runs must end at some time.
    let deadline_ms =
        if link.failing_since.is_none() { link.lease.next_deadline(now) } else { None };
    // A look that only asks for the worker's clock must not wait.
    let max_wait = if deadline_ms.is_some() { limits::MAX_POLL_WAIT } else { Duration::ZERO };
    let stamp = OrderStamp { fencing_token: session.term, deadline_ms };
    let ack_up_to = session.planner.borrow().ack_up_to(name);
    Some((link.address.clone(), PollOrder { stamp, ack_up_to, max_wait }))
}

/// Notes a failed look; false once the worker is gone for good.
fn record_poll_failure<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
    error: &error_stack::Report<link::failure::CallFailure>,
) -> bool {
    let now = session.context.clock.now();
    let (lapsed, listed) = {
        let mut links = session.links.borrow_mut();
        let Some(link) = links.get_mut(name) else { return false };
        if link.failing_since.is_none() {
            log::warn!(
                "worker does not answer worker={name} error=\"{}\"",
                failure::format_one_line(error)
            );
            link.failing_since = Some(now);
        }
        (link.lease.has_expired(now), link.listed)
    };
    let mut planner = session.planner.borrow_mut();
    planner.set_silent(name, true);
    if lapsed {
        planner.worker_lease_expired(name);
        session.wake.notify_one();
        if !listed {
            log::info!("worker gone worker={name}");
            if let Some(link) = session.links.borrow_mut().remove(name) {
                link.cancellation.cancel();
            }
            return false;
        }
    }
    true
}

/// Waits until an order to a worker may be sent; none if the worker is gone.
pub(crate) async fn order_permit<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<OwnedSemaphorePermit> {
    let orders_in_flight = session.links.borrow().get(name)?.orders_in_flight.clone();
    orders_in_flight.acquire_owned().await.ok()
}

/// Returns the address of a worker and a deadline for a start there.
pub(crate) fn order_stamp<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<(ArcStr, OrderStamp)> {
    let now = session.context.clock.now();
    let mut links = session.links.borrow_mut();
    let link = links.get_mut(name)?;
    let deadline_ms = link.lease.next_deadline(now);
    link.started.notify_one();
    Some((link.address.clone(), OrderStamp { fencing_token: session.term, deadline_ms }))
}
