//! Executes the actions of the ownership state machine.

use std::rc::Rc;
use std::time::Duration;

use coord::owner::{CallToken, OwnerAction, OwnerEvent, WriteResult};
use coord::row::{self, EntryMember, OwnerRow};
use link::failure::CallFailure;
use model::authority::OwnerAuthority;
use wire::peer::HandoverRequest;
use wire::platform::{RowCheck, RowPut, TableRead, TableTxn};

use crate::control::{Control, domain};
use crate::metrics::label;

/// Timeout of calls about the ownership row; well below the renewal interval.
const ROW_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a request for a promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request to prepare for a handover.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a handover, which contains the whole configuration.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Applies an event to the ownership state machine and executes the resulting actions.
pub fn handle_event(control: &Control, event: OwnerEvent) {
    let now = control.now();
    let actions = control.state_mut().ownership.handle_event(now, event);
    execute_actions(control, actions);
}

/// Executes actions in order.
pub fn execute_actions(control: &Control, actions: impl IntoIterator<Item = OwnerAction>) {
    for action in actions {
        execute_action(control, action);
    }
}

fn execute_action(control: &Control, action: OwnerAction) {
    match action {
        OwnerAction::Read { token } => control.spawn(read_row(Rc::clone(control), token)),
        OwnerAction::Write { token, version, row } => {
            control.spawn(write_row(Rc::clone(control), token, version, row));
        }
        OwnerAction::RequestPromise { token, voter, authority, ttl_ms } => {
            control.spawn(request_promise(Rc::clone(control), token, voter, authority, ttl_ms));
        }
        OwnerAction::Prepare { to, authority } => {
            control.spawn(request_preparation(Rc::clone(control), to, authority));
        }
        OwnerAction::HandOver { to, authority, version, row, lease_age_ms } => {
            let state = domain::export_handover(control, authority, version, &row, lease_age_ms);
            control.spawn(hand_over(Rc::clone(control), to, authority, state));
        }
        OwnerAction::Acquired { authority, handed_over } => {
            log::info!(
                "ownership acquired domain={} authority={authority} handed_over={handed_over}",
                control.settings.domain
            );
            control.metrics.ownership_changes.add(1, &[label("change", "acquired")]);
            control.metrics.is_owner.record(1, &[]);
            let state = control.state_mut().pending_handover.take();
            let state = state.filter(|state| handed_over && state.authority == authority);
            if let Some(state) = state {
                domain::install_state(control, state);
            } else {
                control.spawn(domain::load_state(Rc::clone(control), authority));
            }
        }
        OwnerAction::Lost => {
            log::warn!("ownership lost domain={}", control.settings.domain);
            control.metrics.ownership_changes.add(1, &[label("change", "lost")]);
            control.metrics.is_owner.record(0, &[]);
            domain::discard_state(control);
        }
    }
}

async fn read_row(control: Control, token: CallToken) {
    let key = row::owner_key(&control.settings.domain);
    let read = TableRead { keys: vec![key], prefixes: Vec::new() };
    let event = match control.platform.read(&read, ROW_TIMEOUT).await {
        Ok(reply) => {
            let now = control.now();
            control.state_mut().platform_answered_at = Some(now);
            let row = reply.rows.into_iter().next().and_then(|row| {
                let value: OwnerRow = serde_json::from_value(row.value).ok()?;
                Some((row.version, Box::new(value)))
            });
            OwnerEvent::ReadDone { token, row }
        }
        Err(report) => {
            log::debug!("ownership row cannot be read: {report:#}");
            OwnerEvent::ReadFailed { token }
        }
    };
    handle_event(&control, event);
}

async fn write_row(control: Control, token: CallToken, version: u64, row: Box<OwnerRow>) {
    let sent_at = control.now();
    let key = row::owner_key(&control.settings.domain);
    let Ok(value) = serde_json::to_value(&*row) else { return };
    let txn = TableTxn {
        checks: vec![RowCheck { key: key.clone(), version }],
        puts: vec![RowPut { key, value }],
        deletes: Vec::new(),
    };
    let result = match control.platform.transact(&txn, ROW_TIMEOUT).await {
        Ok(reply) if reply.committed => WriteResult::Committed { version: reply.version },
        Ok(reply) => {
            let (version, row) = reply.into_conflict();
            WriteResult::Conflict { version, row: row.map(Box::new) }
        }
        Err(report) => {
            log::debug!("ownership row cannot be written: {report:#}");
            WriteResult::Unknown
        }
    };
    if result != WriteResult::Unknown {
        let now = control.now();
        let mut state = control.state_mut();
        state.platform_answered_at = Some(now);
        if matches!(result, WriteResult::Committed { .. }) {
            state.renewed_at = Some(sent_at);
        }
    }
    handle_event(&control, OwnerEvent::WriteDone { token, result });
}

async fn request_promise(
    control: Control,
    token: CallToken,
    voter: EntryMember,
    authority: OwnerAuthority,
    ttl_ms: u64,
) {
    let ttl = u32::try_from(ttl_ms).unwrap_or(u32::MAX);
    let domain = control.settings.domain.as_str();
    let holder = control.member.entry.as_str();
    let reply = control
        .peers
        .promise(&voter.address, domain, holder, authority, ttl, PROMISE_TIMEOUT)
        .await;
    match reply {
        Ok(promised) => {
            handle_event(
                &control,
                OwnerEvent::PromiseReply { token, voter: voter.entry.clone(), promised },
            );
        }
        Err(report) => {
            log::debug!("voter {} did not answer a request for a promise: {report:#}", voter.entry);
        }
    }
}

async fn request_preparation(control: Control, to: EntryMember, authority: OwnerAuthority) {
    let request = HandoverRequest::Prepare { to: to.clone(), authority };
    let Ok(request) = serde_json::to_string(&request) else { return };
    let reply = control.peers.handover(&to.address, &request, PREPARE_TIMEOUT).await;
    // If only the answer was lost, the peer waits for a handover that never comes, which is
    // harmless.
    let prepared = reply.unwrap_or_else(|report| {
        log::debug!("entry {} did not prepare for a handover: {report:?}", to.entry);
        false
    });
    handle_event(&control, OwnerEvent::PrepareDone { authority, prepared });
}

async fn hand_over(
    control: Control,
    to: EntryMember,
    authority: OwnerAuthority,
    state: Option<String>,
) {
    let accepted = match state {
        None => Some(false),
        Some(state) => match control.peers.handover(&to.address, &state, HANDOVER_TIMEOUT).await {
            Ok(accepted) => Some(accepted),
            Err(report) if *report.current_context() == CallFailure::NotDone => Some(false),
            Err(report) => {
                log::warn!("handover to {} got no answer: {report:#}", to.entry);
                None
            }
        },
    };
    log::info!("handover to={} accepted={accepted:?}", to.entry);
    handle_event(&control, OwnerEvent::HandoverDone { authority, accepted });
}
