//! Sending starts and stops.

use link::failure;
use plan::decision::{StartOrder, StopOrder};
use plan::worker::{RefusalKind, StartAnswer};

use crate::limits;
use crate::metrics;
use crate::owner::{OwnerPorts, SharedSession, workers};

/// Sends a start; the planner learns the answer.
pub(crate) fn start<P: OwnerPorts>(session: &SharedSession<P>, order: StartOrder) {
    let sender = session.clone();
    session.spawn(async move {
        let permit = workers::order_permit(&sender, &order.worker).await;
        let stamp = workers::order_stamp(&sender, &order.worker);
        let answer = match stamp {
            // The lease is checked again at the last moment: the process may have been suspended.
            Some((address, stamp)) if sender.is_held() && stamp.deadline_ms.is_some() => {
                let answer = sender.context.ports.start(&address, &order, stamp).await;
                log::info!(
                    "start job={} task={} run={} worker={} term={} config={} answer={answer:?}",
                    order.job.id,
                    order.task,
                    order.run,
                    order.worker,
                    sender.term,
                    sender.context.view.borrow().config.as_ref().map_or(0, |config| config.version),
                );
                answer
            }
            _ => StartAnswer::Refused(RefusalKind::Unhealthy),
        };
        drop(permit);
        let label = metrics::label("answer", format!("{answer:?}"));
        sender.context.metrics.starts.add(1, &[label]);
        if answer == StartAnswer::Refused(RefusalKind::Fenced) {
            sender.end_ownership("fenced-by-worker");
            return;
        }
        let now = sender.context.clock.now();
        sender.planner.borrow_mut().apply_start_answer(
            &order.worker,
            &order.task,
            order.run,
            answer,
            now.0,
        );
        if answer != StartAnswer::Started {
            sender.wake.notify_one();
        }
    });
}

/// Sends a stop, again and again until it is answered.
pub(crate) fn stop<P: OwnerPorts>(session: &SharedSession<P>, order: StopOrder) {
    let sender = session.clone();
    session.spawn(async move {
        let permit = workers::order_permit(&sender, &order.worker).await;
        let address = sender.links.borrow().get(&order.worker).map(|link| link.address.clone());
        let Some(address) = address else { return };
        let answer = sender.context.ports.stop(&address, &order, sender.term).await;
        drop(permit);
        log::info!(
            "stop task={} run={} worker={} reason={} confirmed={}",
            order.task,
            order.run,
            order.worker,
            order.reason,
            answer.is_ok()
        );
        sender.context.metrics.stops.add(1, &[metrics::label("reason", order.reason)]);
        match answer {
            Ok(()) => {
                let now = sender.context.clock.now();
                let mut planner = sender.planner.borrow_mut();
                planner.stop_confirmed(&order.worker, &order.task, order.run, now.0);
            }
            Err(error) => {
                log::warn!(
                    "stop without answer task={} worker={} error=\"{}\"",
                    order.task,
                    order.worker,
                    failure::format_one_line(&error)
                );
                tokio::time::sleep(limits::STOP_RETRY_DELAY).await;
                let mut planner = sender.planner.borrow_mut();
                planner.stop_failed(&order.worker, &order.task, order.run);
                sender.wake.notify_one();
            }
        }
    });
}
