//! Feeds the placement logic and carries out its decisions.

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

/// Tells the cell something and carries out what it decides.
pub fn feed(control: &Control, event: CellEvent) {
    let now = control.now();
    let decisions = {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        let start = Instant::now();
        let decisions = domain.cell.apply(now, event);
        let micros = start.elapsed().as_secs_f64() * 1e6;
        control.metrics.decision_time.record(micros, &[]);
        decisions
    };
    for decision in decisions {
        carry_out(control, decision);
    }
}

/// Lets time pass for the cell.
pub fn tick(control: &Control) {
    hold_if_stale(control);
    feed(control, CellEvent::Tick);
}

/// Stops starts while the configuration is not confirmed, and resumes them after.
fn hold_if_stale(control: &Control) {
    let fresh = control.state().config.is_confirmed(control.now());
    feed(control, CellEvent::StartsHeld(!fresh));
}

fn carry_out(control: &Control, decision: CellDecision) {
    match decision {
        CellDecision::StartTask { task, attempt, worker, team, amounts, job, reason } => {
            log::info!(
                target: "placement",
                "task start task={task} attempt={attempt} team={team} domain={} worker={worker} {}",
                control.settings.domain,
                describe(&reason)
            );
            count(control, "task", &reason);
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
            count(control, "slot", &reason);
            grant(control, ticket, worker, &team, &reason);
        }
        CellDecision::RefuseRequest { ticket, kind } => refuse(control, ticket, kind),
        CellDecision::JobChanged { job, state, done } => {
            progress::note_change(control, &job, state, &done);
        }
        CellDecision::MoveJob(job) => transfer::move_job(control, &job),
        CellDecision::RequestAllotment { team, amounts } => allot::want(control, team, amounts),
    }
}

fn count(control: &Control, what: &str, reason: &PlacementReason) {
    control.metrics.placements.add(1, &[label("what", what), label("rule", reason.rule)]);
}

fn describe(reason: &PlacementReason) -> String {
    format!(
        "rule={} considered={} full={} unavailable={} avoided={}",
        reason.rule, reason.considered, reason.full, reason.unavailable, reason.avoided
    )
}

fn grant(
    control: &Control,
    ticket: u64,
    worker: WorkerName,
    team: &TeamName,
    reason: &PlacementReason,
) {
    let now = control.now();
    let authority = control.lease();
    let mut state = control.state_mut();
    let Some(domain) = state.domain.as_mut() else { return };
    let Some(waiting) = domain.tickets.remove(&ticket) else { return };
    let place = domain.links.get(&worker).and_then(|link| link.place(now));
    log::info!(
        target: "placement",
        "slot grant request={} team={team} domain={} worker={worker} wait_ms={} {}",
        waiting.request,
        control.settings.domain,
        now.since(waiting.arrived_at),
        describe(reason)
    );
    #[expect(clippy::cast_precision_loss, reason = "waits stay far below 2^52 ms")]
    control.metrics.slot_wait.record(now.since(waiting.arrived_at) as f64, &[]);
    let sent = match (authority, place) {
        (Some(authority), Some(place)) if authority == domain.authority => {
            let not_after = place.clock + requests::GRANT_WINDOW_MS;
            let record = GrantRecord {
                worker: worker.clone(),
                team: team.clone(),
                not_after,
                granted_at: now,
                start_by: waiting.start_by,
                abandoned_at: None,
                report_asked: false,
            };
            domain.grants.insert(ticket, record);
            waiting.grant(SlotGrant {
                id: ticket,
                worker,
                address: place.address,
                authority,
                domain: control.settings.domain.clone(),
                boot: place.boot,
                not_after,
            })
        }
        _ => {
            waiting.refuse_no_owner();
            false
        }
    };
    drop(state);
    if !sent {
        // The requester is gone, so that nobody else would give the slot back.
        requests::end_ticket(control, ticket, true);
    }
}

fn refuse(control: &Control, ticket: u64, kind: ErrorKind) {
    let waiting = {
        let mut state = control.state_mut();
        state.domain.as_mut().and_then(|domain| domain.tickets.remove(&ticket))
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
