//! Promises about capacity, placement and limits: 1, 2, 4, 5 and 9.

use std::collections::BTreeMap;

use model::name::{TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use wire::history::{WorkerEvent, WorkerRecord};
use wire::worker::RefusalReason;

use super::timeline::ConfigTimeline;
use super::work::{WorkId, WorkRun};
use super::{SETTLE_US, Violation};

/// Capacity of one worker and the work on it.
#[derive(Default)]
struct WorkerLoad {
    capacity: ResourceAmounts,
    connections: u32,
    tasks: BTreeMap<(TaskId, u32), ResourceAmounts>,
    requests: u32,
}

impl WorkerLoad {
    fn used_amounts(&self) -> ResourceAmounts {
        let tasks = self.tasks.values().fold(ResourceAmounts::ZERO, |sum, it| sum.plus(*it));
        tasks.plus(ResourceAmounts { slots: u64::from(self.requests), ..ResourceAmounts::ZERO })
    }
}

/// Promise 1: no worker holds more work than its capacity.
pub fn check_capacity(records: &[WorkerRecord]) -> Vec<Violation> {
    let mut loads: BTreeMap<&WorkerName, WorkerLoad> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        let load = loads.entry(&record.worker).or_default();
        match &record.event {
            WorkerEvent::Booted { capacity, connections } => {
                *load = WorkerLoad {
                    capacity: *capacity,
                    connections: *connections,
                    ..WorkerLoad::default()
                };
            }
            WorkerEvent::TaskStarted { task, attempt, amounts, .. } => {
                load.tasks.insert((task.clone(), *attempt), *amounts);
            }
            WorkerEvent::TaskEnded { task, attempt, .. } => {
                load.tasks.remove(&(task.clone(), *attempt));
            }
            WorkerEvent::RequestStarted { .. } => load.requests += 1,
            WorkerEvent::RequestEnded { .. } => load.requests = load.requests.saturating_sub(1),
            _ => {}
        }
        if let Some(message) = find_excess(load, &record.event) {
            let message = format!("worker {}: {message}", record.worker);
            violations.push(Violation::new(1, record.at_us, message).with_record(record));
        }
    }
    violations
}

/// Describes by how much a start exceeds the worker's capacity, if it does.
///
/// A request also carries the slots and connections that the worker itself counted.
fn find_excess(load: &WorkerLoad, event: &WorkerEvent) -> Option<String> {
    let (slots, connections) = match event {
        WorkerEvent::TaskStarted { .. } => (0, 0),
        WorkerEvent::RequestStarted { slots_used, connections, .. } => (*slots_used, *connections),
        _ => return None,
    };
    let used = load.used_amounts();
    if !used.fits_in(load.capacity) {
        return Some(format!("holds {used:?} of {:?}", load.capacity));
    }
    if u64::from(slots) > load.capacity.slots {
        return Some(format!("reports {slots} slots in use of {}", load.capacity.slots));
    }
    let connections = connections.max(load.requests);
    (connections > load.connections)
        .then(|| format!("has {connections} connections of {}", load.connections))
}

/// Promise 2: no task runs in two places at once.
pub fn check_overlap(runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let mut latest: BTreeMap<&TaskId, &WorkRun<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in runs {
        let WorkId::Task(task) = &run.id else { continue };
        let Some(other) = latest.insert(task, run) else { continue };
        if other.end > run.start {
            let message = format!(
                "task {task} attempt {} started on {} while attempt {} ran on {}",
                run.attempt, run.worker, other.attempt, other.worker
            );
            let violation = Violation::new(2, run.start, message);
            violations.push(violation.with_record(other.record).with_record(run.record));
        }
        if other.end > run.end {
            latest.insert(task, other);
        }
    }
    violations
}

/// Promise 4: no team has more running than its limit.
pub fn check_limits(timeline: &ConfigTimeline<'_>, runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let mut teams: BTreeMap<&TeamName, Vec<&WorkRun<'_>>> = BTreeMap::new();
    for run in runs {
        teams.entry(run.team).or_default().push(run);
    }
    teams.into_iter().flat_map(|(team, runs)| check_limit(timeline, team, &runs)).collect()
}

/// Reports each instant at which the usage of one team rises above its limit.
///
/// The limit can only be exceeded when a run starts or a change takes effect, so
/// only these instants are examined.
fn check_limit(
    timeline: &ConfigTimeline<'_>,
    team: &TeamName,
    runs: &[&WorkRun<'_>],
) -> Vec<Violation> {
    let starts = runs.iter().map(|run| run.start);
    let mut instants: Vec<u64> = starts.chain(timeline.settle_instants()).collect();
    instants.sort_unstable();
    instants.dedup();
    let mut pending = runs.iter().peekable();
    let mut active: Vec<&WorkRun<'_>> = Vec::new();
    let mut was_above = false;
    let mut violations = Vec::new();
    for at in instants {
        while let Some(run) = pending.next_if(|run| run.start <= at) {
            active.push(run);
        }
        active.retain(|run| run.end > at);
        let used = active.iter().fold(ResourceAmounts::ZERO, |sum, run| sum.plus(run.amounts));
        let limit = timeline.highest_limit(team, at);
        let is_above = !used.fits_in(limit);
        if is_above && !was_above {
            let message = format!("team {team} has {used:?} running, limit {limit:?}");
            let violation = Violation::new(4, at, message);
            let add = |violation: Violation, run: &&WorkRun<'_>| violation.with_record(run.record);
            violations.push(active.iter().fold(violation, add));
        }
        was_above = is_above;
    }
    violations
}

/// Promise 5: nothing starts in a domain that was taken out of service.
pub fn check_domains(timeline: &ConfigTimeline<'_>, runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let started_late = runs.iter().filter(|run| timeline.is_certainly_out(run.domain, run.start));
    let describe = |run: &WorkRun<'_>| {
        let message = format!("{:?} started in domain {}, which is out", run.id, run.domain);
        Violation::new(5, run.start, message).with_record(run.record)
    };
    started_late.map(describe).collect()
}

/// Promise 9: a worker that is leaving gets no new work.
///
/// A leaving worker refuses new work, so a refusal for that reason also proves
/// that work was sent to it.
pub fn check_leaving(records: &[WorkerRecord]) -> Vec<Violation> {
    let mut leaving: BTreeMap<&WorkerName, &WorkerRecord> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        let is_new_work = match &record.event {
            WorkerEvent::Leaving => {
                leaving.entry(&record.worker).or_insert(record);
                false
            }
            WorkerEvent::Booted { .. } => {
                leaving.remove(&record.worker);
                false
            }
            WorkerEvent::TaskStarted { .. } | WorkerEvent::RequestStarted { .. } => true,
            WorkerEvent::StartRefused { reason, .. }
            | WorkerEvent::RequestRefused { reason, .. } => *reason == RefusalReason::Leaving,
            WorkerEvent::TaskEnded { .. } | WorkerEvent::RequestEnded { .. } => false,
        };
        let Some(announced) = leaving.get(&record.worker).filter(|_| is_new_work) else { continue };
        if record.at_us > announced.at_us + SETTLE_US {
            let message = format!("worker {} got work while it was leaving", record.worker);
            let violation = Violation::new(9, record.at_us, message);
            violations.push(violation.with_record(*announced).with_record(record));
        }
    }
    violations
}
