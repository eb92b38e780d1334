//! Sends advice requests to the advice service through the entries.

use std::ops::Bound;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use plan::decision::{AdviceAnswer, AdviceRequest};

use crate::limits;
use crate::owner::{OwnerPorts, SharedSession};

/// Updates the entries that may call the advice service to the present ones.
pub(crate) fn refresh_advice_entries<P: OwnerPorts>(session: &SharedSession<P>) {
    let members = session.context.members.borrow();
    let own_name = &session.context.identity.name;
    let others_before = members.range::<ArcStr, _>(..own_name).map(|(name, _)| name);
    let after = (Bound::Excluded(own_name), Bound::Unbounded);
    let others_after = members.range::<ArcStr, _>(after).map(|(name, _)| name);
    let names = others_before.chain(std::iter::once(own_name)).chain(others_after);
    session.dispatcher.borrow_mut().set_entries(names);
}

/// Sends the pending advice requests for which an entry is free.
pub(crate) fn send_requests<P: OwnerPorts>(session: &SharedSession<P>) {
    let now = session.context.clock.now();
    loop {
        let next = session.dispatcher.borrow_mut().next_call(now.0);
        let Some((entry, request)) = next else { return };
        session.spawn(handle_request(session.clone(), entry, request));
    }
}

/// Sends one request and hands the answer to the planner; a failed one counts as an answer
/// without workers.
async fn handle_request<P: OwnerPorts>(
    session: SharedSession<P>,
    entry: ArcStr,
    request: AdviceRequest,
) {
    let started = session.context.clock.now();
    let answer = send_request(&session, &entry, &request).await;
    let now = session.context.clock.now();
    #[expect(clippy::cast_precision_loss, reason = "calls take seconds at most")]
    session.context.metrics.advice_time.record(now.since(started) as f64, &[]);
    session.dispatcher.borrow_mut().record_result(&entry, answer.is_some(), now.0);
    let answer = answer.unwrap_or_else(|| AdviceAnswer {
        step: request.step.clone(),
        considered: Vec::new(),
        eligible: Vec::new(),
    });
    log::info!(
        "advice step={} caller={entry} asked={} good={}",
        answer.step,
        answer.considered.len(),
        answer.eligible.len()
    );
    session.planner.borrow_mut().apply_advice(&answer, now.0);
    // The entry is free now, and the next decision may be tens of milliseconds away.
    send_requests(&session);
    session.decide_notify.notify_one();
}

/// Sends a request from this VM or through another entry; none without a usable answer.
async fn send_request<P: OwnerPorts>(
    session: &SharedSession<P>,
    entry: &ArcStr,
    request: &AdviceRequest,
) -> Option<AdviceAnswer> {
    let context = &session.context;
    let expected_duration = Duration::from_secs_f64(request.duration_ms / 1_000.0);
    let address = context.members.borrow().get(entry).map(|member| member.address.clone());
    let is_own = *entry == context.identity.name;
    let call = async {
        match address {
            Some(address) if !is_own => {
                context.ports.request_advice_through(&address, request).await
            }
            _ => context.ports.request_advice(request).await,
        }
    };
    match tokio::time::timeout(expected_duration + limits::ADVICE_TIMEOUT_MARGIN, call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::warn!(
                "advice request failed step={} caller={entry} error=\"{}\"",
                request.step,
                failure::format_one_line(&error)
            );
            None
        }
        Err(_) => {
            log::warn!("advice request timed out step={} caller={entry}", request.step);
            None
        }
    }
}
