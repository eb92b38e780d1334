//! Having entries ask the advice service.

use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use plan::decision::{AdviceAnswer, AdviceRequest};

use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};

/// Sets the entries that make calls to those that are known now.
pub(crate) fn refresh_advice_entries<P: OwnerPorts>(session: &SharedSession<P>) {
    let members = session.context.members.borrow();
    let mut names: Vec<ArcStr> = members.keys().cloned().collect();
    if !names.contains(&session.context.identity.name) {
        names.push(session.context.identity.name.clone());
    }
    session.dispatcher.borrow_mut().set_entries(names.iter());
}

/// Sends the calls for which an entry is free.
pub(crate) fn send_calls<P: OwnerPorts>(session: &SharedSession<P>) {
    let now = session.context.clock.now();
    loop {
        let next = session.dispatcher.borrow_mut().next_call(now.0);
        let Some((caller, ask)) = next else { return };
        session.spawn(call(session.clone(), caller, ask));
    }
}

async fn call<P: OwnerPorts>(session: SharedSession<P>, caller: ArcStr, ask: AdviceRequest) {
    let started = session.context.clock.now();
    let answer = ask_through(&session, &caller, &ask).await;
    let now = session.context.clock.now();
    #[expect(clippy::cast_precision_loss, reason = "calls take seconds at most")]
    session.context.metrics.advice_time.record(now.since(started) as f64, &[]);
    session.dispatcher.borrow_mut().record_result(&caller, answer.is_some(), now.0);
    let answer = answer.unwrap_or_else(|| AdviceAnswer {
        step: ask.step.clone(),
        considered: Vec::new(),
        eligible: Vec::new(),
    });
    log::info!(
        "advice step={} caller={caller} asked={} good={}",
        answer.step,
        answer.considered.len(),
        answer.eligible.len()
    );
    session.planner.borrow_mut().apply_advice(&answer, now.0);
    session.wake.notify_one();
}

async fn ask_through<P: OwnerPorts>(
    session: &SharedSession<P>,
    caller: &ArcStr,
    ask: &AdviceRequest,
) -> Option<AdviceAnswer> {
    let context = &session.context;
    let expected = Duration::from_secs_f64(ask.duration_ms / 1_000.0);
    let address = context.members.borrow().get(caller).map(|member| member.address.clone());
    let own = *caller == context.identity.name;
    let work = async {
        match address {
            Some(address) if !own => context.ports.request_advice_through(&address, ask).await,
            _ => context.ports.request_advice(ask).await,
        }
    };
    match tokio::time::timeout(expected + limits::ADVICE_TIMEOUT_MARGIN, work).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::warn!(
                "advice failed step={} caller={caller} error=\"{}\"",
                ask.step,
                failure::format_one_line(&error)
            );
            None
        }
        Err(_) => {
            log::warn!("advice without answer step={} caller={caller}", ask.step);
            None
        }
    }
}
