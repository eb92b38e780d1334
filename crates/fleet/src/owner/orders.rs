//! Sends starts, stops and the pace of runs to workers and reports the answers to the planner.

use link::failure;
use plan::decision::{PaceOrder, StartOrder, StopOrder};
use plan::worker::{RefusalKind, StartAnswer};
use plan::{drain, stall};

use crate::limits;
use crate::metrics;
use crate::owner::{OwnerPorts, SharedSession, workers};

/// Sends a start and applies the worker's answer to the planner.
pub(crate) async fn send_start<P: OwnerPorts>(session: SharedSession<P>, order: StartOrder) {
    let permit = workers::acquire_order_permit(&session, &order.worker).await;
    // Orders to a worker that does not answer wait for seconds, in which the job may have been
    // cancelled, or the worker or its domain may have been taken out of use.
    let is_wanted = session.planner.borrow().is_start_wanted(&order.worker, &order.task, order.run);
    let stamp = if is_wanted { workers::stamp_start(&session, &order.worker) } else { None };
    let answer = match stamp {
        None if !is_wanted => StartAnswer::Refused(RefusalKind::Withdrawn),
        // Checks the ownership again, as the process may have been suspended meanwhile.
        Some((address, stamp)) if session.is_held() && stamp.deadline_ms.is_some() => {
            let answer = session.context.ports.start(&address, &order, stamp).await;
            log::info!(
                "start job={} task={} run={} worker={} term={} config={} answer={answer:?}",
                order.job.id,
                order.task,
                order.run,
                order.worker,
                session.term,
                session
                    .context
                    .config_view
                    .borrow()
                    .config
                    .as_ref()
                    .map_or(0, |config| config.version),
            );
            answer
        }
        _ => StartAnswer::Refused(RefusalKind::Unhealthy),
    };
    drop(permit);
    let label = metrics::label("answer", format!("{answer:?}"));
    session.context.metrics.starts.add(1, &[label]);
    if answer == StartAnswer::Refused(RefusalKind::Fenced) {
        session.end_ownership("fenced-by-worker");
        return;
    }
    let now = session.context.clock.now();
    session.planner.borrow_mut().apply_start_answer(
        &order.worker,
        &order.task,
        order.run,
        answer,
        now.0,
    );
    if answer != StartAnswer::Started {
        session.decide_notify.notify_one();
    }
}

/// Sends the pace of a run. An order that is lost or carried out late shows in the worker's next
/// report, upon which the planner orders it again.
pub(crate) async fn send_pace<P: OwnerPorts>(session: SharedSession<P>, order: PaceOrder) {
    let permit = workers::acquire_order_permit(&session, &order.worker).await;
    if !session.planner.borrow().may_be_present(&order.worker, &order.task, order.run) {
        return;
    }
    let address = session.links.borrow().get(&order.worker).map(|link| link.address.clone());
    let Some(address) = address.filter(|_| session.is_held()) else { return };
    let answer = session.context.ports.pace(&address, &order, session.term).await;
    drop(permit);
    let error = answer.as_ref().err().map(failure::format_one_line).unwrap_or_default();
    log::info!(
        "pace task={} run={} worker={} percent={} confirmed={} error=\"{error}\"",
        order.task,
        order.run,
        order.worker,
        order.percent,
        answer.is_ok()
    );
}

/// Sends a stop and reports the answer to the planner. After an unanswered stop, the planner is
/// informed after a delay and orders another one.
pub(crate) async fn send_stop<P: OwnerPorts>(session: SharedSession<P>, order: StopOrder) {
    let permit = workers::acquire_order_permit(&session, &order.worker).await;
    // The start was withdrawn before it was sent, or the run has ended.
    if !session.planner.borrow().may_be_present(&order.worker, &order.task, order.run) {
        return;
    }
    let address = session.links.borrow().get(&order.worker).map(|link| link.address.clone());
    let Some(address) = address else { return };
    let answer = session.context.ports.stop(&address, &order, session.term).await;
    drop(permit);
    log::info!(
        "stop task={} run={} worker={} reason={} confirmed={}",
        order.task,
        order.run,
        order.worker,
        order.reason,
        answer.is_ok()
    );
    session.context.metrics.stops.add(1, &[metrics::label("reason", order.reason)]);
    match order.reason {
        drain::STOP_REASON => session.context.metrics.early_moves.add(1, &[]),
        stall::STOP_REASON => session.context.metrics.stalled_runs.add(1, &[]),
        _ => {}
    }
    match answer {
        Ok(()) => {
            let now = session.context.clock.now();
            let mut planner = session.planner.borrow_mut();
            planner.apply_stop_confirmation(&order.worker, &order.task, order.run, now.0);
        }
        Err(error) => {
            log::warn!(
                "stop not answered task={} worker={} error=\"{}\"",
                order.task,
                order.worker,
                failure::format_one_line(&error)
            );
            tokio::time::sleep(limits::STOP_RETRY_DELAY).await;
            let mut planner = session.planner.borrow_mut();
            planner.apply_stop_failure(&order.worker, &order.task, order.run);
            session.decide_notify.notify_one();
        }
    }
}
