//! Renews worker leases and sends task starts and stops to the workers of the owned domain.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::failure::CallFailure;
use model::authority::OwnerAuthority;
use model::job::JobRecord;
use model::name::{BootId, JobId, TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use model::time::{self, ClockMillis};
use policy::event::{CellEvent, EndKind, RunningTask, WorkerUpdate};
use policy::rules;
use wire::worker::{
    EndReport, RefusalReason, RenewCall, StartCall, StopCall, StopMode, TaskEnd, WorkerReport,
};

use crate::control::domain::DomainState;
use crate::control::{Control, cells, domain, requests};

/// Milliseconds between renewals of one worker's lease.
///
/// One renewal per second costs a node 565 B/s (docs/CAPACITY.md), and seven in a
/// row may be lost before the lease expires.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Milliseconds until a failed renewal is retried.
const RENEW_RETRY_DELAY_MS: u64 = 250;
/// Milliseconds from the loss of a slot to the report that may free it. Most attempts
/// are abandoned shortly before they end, so that an earlier report would still count them.
const LOST_SLOT_REPORT_DELAY_MS: u64 = 100;
/// Milliseconds without a report after which a worker is silent and gets no new work.
const SILENT_AFTER_MS: u64 = 2_500;
/// Milliseconds of the worker's clock within which a start must reach it.
const START_WINDOW_MS: u64 = 1_500;
/// Timeout of control calls to workers.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Most attempts to send one stop.
const MAX_STOP_ATTEMPTS: u32 = 4;
/// Delay before a failed stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A start of which it is not known yet whether it took effect.
#[derive(Clone, Debug)]
struct PendingStart {
    running: RunningTask,
    /// Instant of the worker's clock after which the start cannot take effect.
    not_after: ClockMillis,
    /// Whether the call ended without an answer.
    unanswered: bool,
}

/// State of a worker that was last passed to the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkHealth {
    /// The worker reports.
    Reporting,
    /// No report arrived for [`SILENT_AFTER_MS`].
    Silent,
    /// The worker's lease has expired.
    Lost,
}

/// Worker to which a request is sent: its address, boot and clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// Address of the endpoint.
    pub address: String,
    /// The worker's boot.
    pub boot: BootId,
    /// The worker's present clock, estimated from its last report.
    pub clock: ClockMillis,
}

/// What the owner knows of one worker, and its calls to it.
#[derive(Debug)]
pub struct WorkerLink {
    /// Address of the worker.
    pub address: String,
    /// Whether the configuration no longer names this worker at this address. Its
    /// lease is not renewed, and the link is dropped once the lease has certainly expired.
    pub removed: bool,
    /// Boot of the worker in its last report.
    boot: Option<BootId>,
    /// The worker's clock in its last report, and when the report was received.
    last_report: Option<(ClockMillis, ClockMillis)>,
    /// Whether a renewal has no answer yet.
    call_in_flight: bool,
    next_renewal: ClockMillis,
    /// Whether the next report must list all tasks.
    needs_full_report: bool,
    health: LinkHealth,
    /// Highest number of an ended task that was processed.
    last_end_number: u64,
    /// Done tasks whose job's progress is not durable yet: number of the end, job, task index.
    unrecorded_ends: Vec<(u64, JobId, u32)>,
    pending_starts: Vec<PendingStart>,
}

impl WorkerLink {
    /// Creates the link to a worker that has not been called yet.
    #[must_use]
    pub const fn new(address: String, now: ClockMillis) -> Self {
        Self {
            address,
            removed: false,
            boot: None,
            last_report: None,
            call_in_flight: false,
            next_renewal: now,
            needs_full_report: true,
            health: LinkHealth::Reporting,
            last_end_number: 0,
            unrecorded_ends: Vec::new(),
            pending_starts: Vec::new(),
        }
    }

    /// Returns the number up to which ended tasks are durable and may be acknowledged.
    fn ack_up_to(&self) -> u64 {
        self.unrecorded_ends.first().map_or(self.last_end_number, |(number, _, _)| number - 1)
    }

    /// Records that the given done tasks of a job are durable.
    pub fn record_durable_ends(&mut self, job: &JobId, is_done: impl Fn(u32) -> bool) {
        self.unrecorded_ends.retain(|(_, ended, index)| ended != job || !is_done(*index));
    }

    /// Returns the target for a request, if the worker has reported.
    #[must_use]
    pub fn request_target(&self, now: ClockMillis) -> Option<RequestTarget> {
        Some(RequestTarget {
            address: self.address.clone(),
            boot: self.boot.clone()?,
            clock: self.estimate_clock(now)?,
        })
    }

    /// Estimates the worker's present clock; behind by the report's network delay.
    fn estimate_clock(&self, now: ClockMillis) -> Option<ClockMillis> {
        self.last_report.map(|(clock, received)| clock + now.since(received))
    }
}

/// Renews the leases that are due and detects silent and lost workers.
pub fn renew_due_leases(control: &Control) {
    let Some(authority) = control.leased_authority() else { return };
    let now = control.now();
    let mut due = Vec::new();
    let mut events = Vec::new();
    {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        if domain.authority != authority {
            return;
        }
        let acquired_at = domain.acquired_at;
        request_reports_for_lost_slots(domain, now);
        for (name, link) in &mut domain.links {
            let last_report_at = link.last_report.map_or(acquired_at, |(_, received)| received);
            let silent_ms = now.since(last_report_at);
            if silent_ms > time::with_clock_margin(rules::WORKER_LEASE_MS)
                && link.health != LinkHealth::Lost
            {
                link.health = LinkHealth::Lost;
                link.pending_starts.clear();
                events.push(CellEvent::WorkerLost(name.clone()));
            } else if silent_ms > SILENT_AFTER_MS && link.health == LinkHealth::Reporting {
                link.health = LinkHealth::Silent;
                events.push(CellEvent::WorkerSilent(name.clone()));
            }
            if !link.removed && !link.call_in_flight && link.next_renewal <= now {
                link.call_in_flight = true;
                due.push((name.clone(), build_renewal(link, authority), link.address.clone()));
            }
        }
    }
    for event in events {
        if let CellEvent::WorkerLost(worker) = &event {
            log::warn!("worker lost worker={worker}: its lease has expired");
            requests::drop_grants(control, worker);
        }
        cells::apply_event(control, event);
    }
    drop_removed_links(control);
    for (name, call, address) in due {
        control.spawn(renew_lease(Rc::clone(control), name, call, address));
    }
}

/// Drops the links of removed workers that are lost, so that a new VM may have the same name.
fn drop_removed_links(control: &Control) {
    let has_dropped = {
        let mut state = control.state_mut();
        let Some(domain) = state.domain.as_mut() else { return };
        let before = domain.links.len();
        domain.links.retain(|_, link| !link.removed || link.health != LinkHealth::Lost);
        domain.links.len() != before
    };
    if has_dropped {
        domain::sync_links(control);
    }
}

/// Brings forward the reports by which lost slots are reclaimed.
///
/// Under overload, attempts are abandoned all the time; if their slots stayed
/// taken until the next renewal, few slots would do useful work. Each grant
/// brings forward one report at most. A request that merely runs long does so
/// only while others wait, so that long requests do not raise the control traffic.
fn request_reports_for_lost_slots(domain: &mut DomainState, now: ClockMillis) {
    let has_waiting = !domain.waiting_requests.is_empty();
    for grant in domain.grants.values_mut() {
        let is_long = has_waiting && now.since(grant.granted_at) > requests::GRANT_WINDOW_MS;
        let lost_at = grant.abandoned_at.or(is_long.then_some(grant.granted_at));
        let is_due = lost_at.is_some_and(|at| now.since(at) >= LOST_SLOT_REPORT_DELAY_MS);
        if grant.report_requested || !is_due {
            continue;
        }
        grant.report_requested = true;
        if let Some(link) = domain.links.get_mut(&grant.worker) {
            link.next_renewal = link.next_renewal.min(now);
        }
    }
}

fn build_renewal(link: &WorkerLink, authority: OwnerAuthority) -> RenewCall {
    RenewCall {
        authority,
        boot: link.boot.clone(),
        not_after: link.last_report.map(|(clock, _)| clock + rules::WORKER_LEASE_MS),
        ack: link.ack_up_to(),
        full: link.needs_full_report || !link.pending_starts.is_empty(),
    }
}

async fn renew_lease(control: Control, name: WorkerName, call: RenewCall, address: String) {
    let sent_at = control.now();
    let authority = call.authority;
    let reply = control.workers.renew(&address, &call, CALL_TIMEOUT).await;
    let now = control.now();
    if control.leased_authority() != Some(authority) {
        return;
    }
    let report = match reply {
        Ok(report) if report.authority == authority => report,
        other => {
            match other {
                Ok(report) => log::warn!(
                    "worker {name} follows authority {}, above {authority} of this owner",
                    report.authority
                ),
                Err(report) => log::debug!("worker {name} did not report: {report:#}"),
            }
            with_link(&control, &name, |link| {
                link.call_in_flight = false;
                link.next_renewal = now + RENEW_RETRY_DELAY_MS;
            });
            return;
        }
    };
    apply_report(&control, &name, report, &call, sent_at);
}

fn with_link<T>(
    control: &Control,
    name: &WorkerName,
    change: impl FnOnce(&mut WorkerLink) -> T,
) -> Option<T> {
    let mut state = control.state_mut();
    let link = state.domain.as_mut()?.links.get_mut(name)?;
    Some(change(link))
}

/// Consequences of a report, applied after the link is updated.
#[derive(Default)]
struct ReportEffects {
    events: Vec<CellEvent>,
    /// Whether the worker restarted since its last report.
    restarted: bool,
}

fn apply_report(
    control: &Control,
    name: &WorkerName,
    report: WorkerReport,
    call: &RenewCall,
    sent_at: ClockMillis,
) {
    let now = control.now();
    let (clock, slots) = (report.clock, report.slots_by_team.clone());
    let effects = with_link(control, name, |link| {
        link.call_in_flight = false;
        let restarted = link.boot.as_ref().is_some_and(|boot| *boot != report.boot);
        let leased = call.boot.as_ref() == Some(&report.boot) && call.not_after.is_some();
        if link.boot.as_ref() != Some(&report.boot) {
            link.boot = Some(report.boot.clone());
            link.last_end_number = 0;
            link.unrecorded_ends.clear();
            link.pending_starts.clear();
            link.needs_full_report = true;
        }
        link.last_report = Some((report.clock, now));
        let mut effects = ReportEffects { restarted, ..ReportEffects::default() };
        effects.events.extend(record_ends(link, name, &report.ended));
        if !leased {
            // The worker has no lease of this owner yet and would refuse a start.
            link.next_renewal = now;
            return effects;
        }
        link.health = LinkHealth::Reporting;
        link.next_renewal = now + RENEW_INTERVAL_MS;
        effects.events.extend(resolve_pending_starts(link, &report));
        if report.tasks.is_some() {
            link.needs_full_report = false;
        }
        effects.events.push(CellEvent::WorkerReported(build_update(link, name, report, sent_at)));
        effects
    });
    let Some(effects) = effects else { return };
    if effects.restarted {
        log::warn!("worker restarted worker={name}: its earlier tasks and requests have ended");
        requests::drop_grants(control, name);
    }
    for event in effects.events {
        cells::apply_event(control, event);
    }
    requests::reclaim_slots(control, name, clock, &slots);
}

/// Records the task ends that were not processed before and returns their events.
fn record_ends(link: &mut WorkerLink, name: &WorkerName, ended: &[EndReport]) -> Vec<CellEvent> {
    let mut events = Vec::new();
    for report in ended.iter().filter(|report| report.number > link.last_end_number) {
        let end = match report.end {
            TaskEnd::Done => EndKind::Done,
            TaskEnd::Failed => EndKind::Failed,
            TaskEnd::Stopped | TaskEnd::LeaseExpired => EndKind::Stopped,
            TaskEnd::Checkpointed => EndKind::Checkpointed,
        };
        if end == EndKind::Done {
            link.unrecorded_ends.push((report.number, report.task.job.clone(), report.task.index));
        }
        link.pending_starts.retain(|pending| {
            pending.running.task != report.task || pending.running.attempt != report.attempt
        });
        events.push(CellEvent::TaskEnded {
            task: report.task.clone(),
            attempt: report.attempt,
            worker: name.clone(),
            end,
        });
    }
    if let Some(report) = ended.last() {
        link.last_end_number = link.last_end_number.max(report.number);
    }
    events
}

/// Resolves pending starts by a report that lists all tasks; returns the events.
fn resolve_pending_starts(link: &mut WorkerLink, report: &WorkerReport) -> Vec<CellEvent> {
    let Some(tasks) = &report.tasks else { return Vec::new() };
    let mut events = Vec::new();
    link.pending_starts.retain(|pending| {
        let (task, attempt) = (pending.running.task.clone(), pending.running.attempt);
        if tasks.iter().any(|listed| listed.task == task && listed.attempt == attempt) {
            events.push(CellEvent::StartConfirmed { task, attempt });
            return false;
        }
        let is_void = pending.unanswered && report.clock > pending.not_after;
        if is_void {
            events.push(CellEvent::StartRefused { task, attempt });
        }
        !is_void
    });
    events
}

fn build_update(
    link: &WorkerLink,
    name: &WorkerName,
    report: WorkerReport,
    sent_at: ClockMillis,
) -> WorkerUpdate {
    let tasks = report.tasks.map(|tasks| {
        let mut running: Vec<_> = tasks
            .into_iter()
            .map(|task| RunningTask {
                task: task.task,
                attempt: task.attempt,
                team: task.team,
                amounts: task.amounts,
                usage: task.usage,
            })
            .collect();
        // A start in flight may take effect after the report was written.
        running.extend(link.pending_starts.iter().map(|pending| pending.running.clone()));
        running
    });
    WorkerUpdate {
        worker: name.clone(),
        boot: report.boot,
        tasks,
        slots_used: report.slots_used,
        leaving: report.leaving,
        sent_at,
    }
}

/// A task to start.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Worker that runs it.
    pub worker: WorkerName,
    /// Team whose allotment it uses.
    pub team: TeamName,
    /// Resources to reserve.
    pub amounts: ResourceAmounts,
    /// The job that contains the payload.
    pub job: Arc<JobRecord>,
}

/// Starts a task on its worker, if this entry still holds the lease.
pub fn start_task(control: &Control, start: TaskStart) {
    let refused = CellEvent::StartRefused { task: start.task.clone(), attempt: start.attempt };
    let now = control.now();
    let authority = control.leased_authority();
    let call = with_link(control, &start.worker, |link| {
        let clock = link.estimate_clock(now)?;
        let call = StartCall {
            authority: authority?,
            boot: link.boot.clone()?,
            not_after: clock + START_WINDOW_MS,
            task: start.task.clone(),
            attempt: start.attempt,
            team: start.team.clone(),
            amounts: start.amounts,
            payload: start.job.spec.payload.clone(),
        };
        link.pending_starts.push(PendingStart {
            running: RunningTask {
                task: start.task.clone(),
                attempt: start.attempt,
                team: start.team.clone(),
                amounts: start.amounts,
                usage: ResourceAmounts::ZERO,
            },
            not_after: call.not_after,
            unanswered: false,
        });
        Some((call, link.address.clone()))
    });
    if let Some((call, address)) = call.flatten() {
        control.spawn(send_start(Rc::clone(control), start.worker, call, address));
    } else {
        let caller = Rc::clone(control);
        control.spawn(async move { cells::apply_event(&caller, refused) });
    }
}

async fn send_start(control: Control, worker: WorkerName, call: StartCall, address: String) {
    // The process may have been paused since the decision, and the lease have expired.
    if control.leased_authority() != Some(call.authority) {
        return;
    }
    let reply = control.workers.start(&address, &call, CALL_TIMEOUT).await;
    let (task, attempt) = (call.task.clone(), call.attempt);
    let event = match reply {
        Ok(reply) => match reply.refusal {
            None => Some(CellEvent::StartConfirmed { task, attempt }),
            Some(RefusalReason::Duplicate) => None,
            Some(reason) => {
                log::info!("worker {worker} refused the start of task {task}: {reason:?}");
                Some(CellEvent::StartRefused { task, attempt })
            }
        },
        Err(report) if *report.current_context() == CallFailure::NotDone => {
            Some(CellEvent::StartRefused { task, attempt })
        }
        Err(report) => {
            log::debug!("start of {task} on {worker} got no answer: {report:#}");
            None
        }
    };
    let now = control.now();
    with_link(&control, &worker, |link| {
        let is_this_start = |pending: &PendingStart| {
            pending.running.task == call.task && pending.running.attempt == call.attempt
        };
        if event.is_some() {
            link.pending_starts.retain(|pending| !is_this_start(pending));
        } else if let Some(pending) =
            link.pending_starts.iter_mut().find(|pending| is_this_start(pending))
        {
            pending.unanswered = true;
            link.needs_full_report = true;
            link.next_renewal = link.next_renewal.min(now + RENEW_RETRY_DELAY_MS);
        }
    });
    if let Some(event) = event {
        cells::apply_event(&control, event);
    }
}

/// Stops or checkpoints a task; failed calls are retried a few times.
pub fn stop_task(control: &Control, task: TaskId, worker: &WorkerName, mode: StopMode) {
    let Some(address) = with_link(control, worker, |link| link.address.clone()) else { return };
    let caller = Rc::clone(control);
    let worker = worker.clone();
    control.spawn(async move {
        for _ in 0..MAX_STOP_ATTEMPTS {
            let Some(authority) = caller.leased_authority() else { return };
            let call = StopCall { authority, task: task.clone(), mode };
            match caller.workers.stop(&address, &call, CALL_TIMEOUT).await {
                Ok(_) => break,
                Err(report) => {
                    log::debug!("stop of {task} on {worker} failed: {report:#}");
                    tokio::time::sleep(STOP_RETRY_DELAY).await;
                }
            }
        }
        let now = caller.now();
        // The end of the task is read from a report, which is requested early.
        with_link(&caller, &worker, |link| {
            link.needs_full_report = true;
            link.next_renewal = link.next_renewal.min(now + RENEW_RETRY_DELAY_MS);
        });
    });
}
