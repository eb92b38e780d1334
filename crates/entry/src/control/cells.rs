//! Applies events to the placement logic and executes its decisions.

use std::time::Instant;

use model::kind::ErrorKind;
use model::name::{TeamName, WorkerName};
use policy::event::{CellDecision, CellEvent, PlacementReason};
use wire::peer::{PeerRefusal, SlotGrant};
use wire::worker::StopMode;

use crate::control::jobs::{progress, transfer};
use crate::control::requests::GrantRecord;
use crate::control::{Control, allot, requests, workers};
use crate::metrics::label;

/// Applies an event to the cell and executes its decisions.
pub fn apply_event(control: &Control, event: CellEvent) {
    let now = control.now();
    let decisions = {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        let start = Instant::now();
        let decisions = domain.cell.apply(now, event);
        let micros = start.elapsed().as_secs_f64() * 1e6;
        control.metrics.decision_time_us.record(micros, &[]);
        decisions
    };
    for decision in decisions {
        execute_decision(control, decision);
    }
}

/// Advances the cell to the present time.
pub fn advance_time(control: &Control) {
    hold_unconfirmed_starts(control);
    apply_event(control, CellEvent::Tick);
}

/// Holds starts while the configuration is not confirmed, and resumes them afterwards.
fn hold_unconfirmed_starts(control: &Control) {
    let is_confirmed = control.state().config.is_confirmed(control.now());
    apply_event(control, CellEvent::StartsHeld(!is_confirmed));
}

fn execute_decision(control: &Control, decision: CellDecision) {
    match decision {
        CellDecision::StartTask { task, attempt, worker, team, amounts, job, reason } => {
            log::info!(
                target: "placement",
                "task start task={task} attempt={attempt} team={team} domain={} worker={worker} {}",
                control.settings.domain,
                describe_reason(&reason)
            );
            count_placement(control, "task", &reason);
            let start = workers::TaskStart { task, attempt, worker, team, amounts, job };
            workers::start_task(control, start);
        }
        CellDecision::StopTask { task, worker, checkpoint, reason } => {
            log::info!(
                target: "placement",
                "task stop task={task} worker={worker} checkpoint={checkpoint} reason={reason}"
            );
            let mode = if checkpoint { StopMode::Checkpoint } else { StopMode::Stop };
            workers::stop_task(control, task, &worker, mode);
        }
        CellDecision::GrantRequest { ticket, worker, team, reason } => {
            count_placement(control, "slot", &reason);
            grant_slot(control, ticket, worker, &team, &reason);
        }
        CellDecision::RefuseRequest { ticket, kind } => refuse_request(control, ticket, kind),
        CellDecision::JobChanged { job, state, done } => {
            progress::record_change(control, &job, state, &done);
        }
        CellDecision::MoveJob(job) => transfer::move_job(control, &job),
        CellDecision::RequestAllotment { team, amounts } => {
            allot::request_allotment(control, team, amounts);
        }
    }
}

fn count_placement(control: &Control, what: &str, reason: &PlacementReason) {
    control.metrics.placements.add(1, &[label("what", what), label("rule", reason.rule)]);
}

fn describe_reason(reason: &PlacementReason) -> String {
    format!(
        "rule={} considered={} full={} unavailable={} avoided={}",
        reason.rule, reason.considered, reason.full, reason.unavailable, reason.avoided
    )
}

fn grant_slot(
    control: &Control,
    ticket: u64,
    worker: WorkerName,
    team: &TeamName,
    reason: &PlacementReason,
) {
    let now = control.now();
    let authority = control.leased_authority();
    let mut state = control.state_mut();
    let Some(domain) = state.domain.as_mut() else { return };
    let Some(waiting) = domain.waiting_requests.remove(&ticket) else { return };
    let target = domain.links.get(&worker).and_then(|link| link.request_target(now));
    log::info!(
        target: "placement",
        "slot grant request={} team={team} domain={} worker={worker} wait_ms={} {}",
        waiting.request,
        control.settings.domain,
        now.since(waiting.arrived_at),
        describe_reason(reason)
    );
    #[expect(clippy::cast_precision_loss, reason = "waits stay far below 2^52 ms")]
    control.metrics.slot_wait_ms.record(now.since(waiting.arrived_at) as f64, &[]);
    let is_delivered = match (authority, target) {
        (Some(authority), Some(target)) if authority == domain.authority => {
            let not_after = target.clock + requests::GRANT_WINDOW_MS;
            let record = GrantRecord {
                worker: worker.clone(),
                team: team.clone(),
                not_after,
                granted_at: now,
                start_by: waiting.start_by,
                abandoned_at: None,
                report_requested: false,
            };
            domain.grants.insert(ticket, record);
            waiting.grant(SlotGrant {
                id: ticket,
                worker,
                address: target.address,
                authority,
                domain: control.settings.domain.clone(),
                boot: target.boot,
                not_after,
            })
        }
        _ => {
            waiting.refuse_no_owner();
            false
        }
    };
    drop(state);
    if !is_delivered {
        // The requester no longer waits, so that nobody else would release the slot.
        requests::end_ticket(control, ticket, true);
    }
}

fn refuse_request(control: &Control, ticket: u64, kind: ErrorKind) {
    let waiting = {
        let mut state = control.state_mut();
        state.domain.as_mut().and_then(|domain| domain.waiting_requests.remove(&ticket))
    };
    if let Some(waiting) = waiting {
        log::info!(
            target: "placement",
            "slot refuse request={} domain={} kind={kind}",
            waiting.request,
            control.settings.domain
        );
        let message = match kind {
            ErrorKind::QueueFull => "the queue is full; retry later",
            ErrorKind::TeamLimit => "the team is at its limit; retry later or raise the limit",
            ErrorKind::DeadlineNotMet => "no slot becomes free before the deadline",
            ErrorKind::DomainOut => "the failure domain is out of service",
            _ => "the request was refused before running",
        };
        waiting.refuse(PeerRefusal::new(kind, message));
    }
}
