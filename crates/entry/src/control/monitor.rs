//! Logs and measures conditions that operators act on.
//!
//! Conditions are compared with those of the previous check, so that each change
//! is logged once, however long it lasts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::owner::OWNER_TTL_MS;
use model::name::{TeamName, WorkerName};
use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::status::WorkerState;

use crate::control::{Control, ControlState, status};
use crate::metrics::{EntryMetrics, label};

/// Interval between checks; each iterates over all workers and teams of the domain.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Value of an age gauge before the first contact, in milliseconds.
const UNKNOWN_AGE_MS: u64 = u64::MAX / 2;

const URGENCIES: [(UrgencyLevel, &str); 3] = [
    (UrgencyLevel::Urgent, "urgent"),
    (UrgencyLevel::Normal, "normal"),
    (UrgencyLevel::Batch, "batch"),
];

/// Conditions found by the previous check.
#[derive(Debug, Default)]
struct MonitorState {
    /// Whether the ownership rested on promises of voters.
    by_promises: bool,
    /// Whether starts were held.
    starts_held: bool,
    workers: BTreeMap<WorkerName, WorkerState>,
    teams: BTreeSet<TeamName>,
}

/// Checks the conditions periodically until the process stops.
pub async fn watch_loop(control: Control) {
    let mut last = MonitorState::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = control.now();
        let state = control.state();
        watch_ownership(&control, &state, &mut last, now);
        watch_starts(&control, &state, &mut last, now);
        watch_workers(&control, &state, &mut last);
        record_waiting(&control.metrics, &state);
        record_teams(&control.metrics, &state, &mut last);
    }
}

/// Logs when the ownership starts or stops resting on promises of voters.
///
/// It rests on them while the lease is held for longer than its last renewal is valid.
fn watch_ownership(
    control: &Control,
    state: &ControlState,
    last: &mut MonitorState,
    now: ClockMillis,
) {
    let domain = &control.settings.domain;
    let leased_authority = state.ownership.leased_authority(now);
    let age = state.renewed_at.map_or(UNKNOWN_AGE_MS, |at| now.since(at));
    let by_promises = leased_authority.is_some() && age > OWNER_TTL_MS;
    if by_promises && !last.by_promises {
        log::warn!(
            "ownership goes on by promises domain={domain}: the platform took no renewal for {age} ms"
        );
    } else if last.by_promises && !by_promises && leased_authority.is_some() {
        log::info!("ownership renewed on the platform again domain={domain}");
    }
    last.by_promises = by_promises;
    control.metrics.owner_by_promises.record(u64::from(by_promises), &[]);
    let age = state.platform_answered_at.map_or(UNKNOWN_AGE_MS, |at| now.since(at));
    control.metrics.platform_contact_age_ms.record(age, &[]);
}

fn watch_starts(
    control: &Control,
    state: &ControlState,
    last: &mut MonitorState,
    now: ClockMillis,
) {
    let domain = &control.settings.domain;
    let starts_held = state.domain.is_some() && !state.config.is_confirmed(now);
    let age = state.config.confirmation_age(now).unwrap_or(UNKNOWN_AGE_MS);
    if starts_held && !last.starts_held {
        log::warn!(
            "starts and keyed requests held domain={domain} version={}: the platform has not \
             confirmed the configuration for {age} ms, the bound is {} s",
            state.config.version(),
            control.settings.config_contact_bound_s
        );
    } else if last.starts_held && !starts_held {
        log::info!("starts and keyed requests resumed domain={domain}");
    }
    last.starts_held = starts_held;
    control.metrics.starts_held.record(u64::from(starts_held), &[]);
    control.metrics.config_contact_age_ms.record(age, &[]);
}

fn watch_workers(control: &Control, state: &ControlState, last: &mut MonitorState) {
    let mut counts = status::WORKER_STATES.map(|state| (state, 0_u64));
    let mut tasks = 0;
    let mut present = BTreeMap::new();
    for worker in state.domain.iter().flat_map(|domain| domain.cell.workers()) {
        tasks += worker.tasks as u64;
        if let Some((_, count)) = counts.iter_mut().find(|(state, _)| *state == worker.state) {
            *count += 1;
        }
        present.insert(worker.worker, worker.state);
    }
    for (name, after) in &present {
        let before = last.workers.get(name).copied().unwrap_or(WorkerState::Reported);
        log_worker(control, name, before, *after);
    }
    last.workers = present;
    let metrics = &control.metrics;
    metrics.tasks_running.record(tasks, &[]);
    for (state, count) in counts {
        metrics.workers.record(count, &[label("state", status::state_name(state))]);
    }
}

/// Logs a change of state, except to `Unreported`, which every worker of a new owner passes.
fn log_worker(control: &Control, name: &WorkerName, before: WorkerState, after: WorkerState) {
    if before == after || after == WorkerState::Unreported {
        return;
    }
    let domain = &control.settings.domain;
    let (old, new) = (status::state_name(before), status::state_name(after));
    if after == WorkerState::Reported {
        if before != WorkerState::Unreported {
            log::info!("worker gets work again worker={name} domain={domain} was={old}");
        }
    } else {
        log::warn!("worker gets no new work worker={name} domain={domain} state={new} was={old}");
    }
}

fn record_waiting(metrics: &EntryMetrics, state: &ControlState) {
    for (urgency, name) in URGENCIES {
        let tickets = state.domain.iter().flat_map(|domain| domain.waiting_requests.values());
        let count = tickets.filter(|ticket| ticket.urgency == urgency).count();
        metrics.requests_waiting.record(count as u64, &[label("urgency", name)]);
    }
}

/// Records usage and allotment of each team; zero after this entry lost the domain.
fn record_teams(metrics: &EntryMetrics, state: &ControlState, last: &mut MonitorState) {
    let mut present = BTreeSet::new();
    if let Some(domain) = &state.domain {
        for (team, used) in domain.cell.teams() {
            let usable = domain.allotments.usable_amounts(team);
            record_amounts(metrics, team, used, usable);
            present.insert(team.clone());
        }
    }
    for team in last.teams.difference(&present) {
        record_amounts(metrics, team, ResourceAmounts::ZERO, ResourceAmounts::ZERO);
    }
    last.teams = present;
}

fn record_amounts(
    metrics: &EntryMetrics,
    team: &TeamName,
    used: ResourceAmounts,
    usable: ResourceAmounts,
) {
    for (resource, used, usable) in [
        ("cpu_millis", used.cpu_millis, usable.cpu_millis),
        ("memory_mb", used.memory_mb, usable.memory_mb),
        ("accelerators", used.accelerators, usable.accelerators),
        ("slots", used.slots, usable.slots),
    ] {
        let labels = [label("team", team.as_str()), label("resource", resource)];
        metrics.team_used.record(used, &labels);
        metrics.team_allotment.record(usable, &labels);
    }
}
