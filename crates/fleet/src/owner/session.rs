//! Runs one ownership of the fleet, from the claim to the release or the handover.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use model::name::{JobId, WorkerName};
use model::time::ClockMillis;
use plan::advice::{AdviceDispatcher, CallTimes};
use plan::decision::PlanDecision;
use plan::planner::{Planner, PlannerOptions};
use plan::preempt;
use plan::progress::JobStatus;
use plan::room::PendingRoom;
use rand::seq::SliceRandom;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::context::SharedContext;
use crate::desk;
use crate::lease::{ExpiringLease, ServiceClock};
use crate::limits;
use crate::metrics;
use crate::news::JobChangeLog;
use crate::owner::speeds::StoredSpeeds;
use crate::owner::workers::{WorkerCounts, WorkerLink, WorkerRegistration};
use crate::owner::{
    ClaimedOwnership, OwnerPorts, SharedSession, advice, load, orders, progress, speeds, submits,
    workers, write_owner,
};
use crate::ports::OwnershipHandover;
use crate::row::{self, LeasedWorkers, OwnerRow, StoredLeases};
use crate::strength::VmStrength;
use crate::submit::TermVersions;

/// Run numbers that each term reserves, so that the numbers of later terms are higher; a task
/// has far fewer runs in one term.
const RUNS_PER_TERM: u64 = 1_000;
/// Most reads of the inbox before refusals at the same time. In a burst, hundreds of jobs are refused
/// each second, and their reads must not delay the other calls of the store.
const MAX_REFUSAL_READS: usize = 16;

/// A finished job whose progress row is kept until its retention has passed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FinishedJob {
    /// Time of the job's end, in milliseconds since 1970; jobs are ordered by it.
    pub(crate) ended_ms: u64,
    pub(crate) id: JobId,
    /// Version of the progress row.
    pub(crate) version: u64,
}

/// State of an owner. No borrow of its cells is held across an await.
#[derive(Debug)]
pub(crate) struct OwnerSession<P> {
    pub(crate) context: SharedContext<P>,
    pub(crate) term: u64,
    pub(crate) claimed_at: ClockMillis,
    pub(crate) planner: RefCell<Planner>,
    pub(crate) dispatcher: RefCell<AdviceDispatcher>,
    /// First calls for the jobs that are being stored.
    pub(crate) storing_calls: RefCell<CallTimes>,
    /// Demands of the jobs that are being stored.
    pub(crate) storing_demands: RefCell<PendingRoom>,
    /// Jobs of which the demand is among these.
    pub(crate) storing_jobs: RefCell<BTreeSet<JobId>>,
    /// Permits for the reads of the inbox before refusals.
    pub(crate) refusal_reads: Semaphore,
    pub(crate) links: RefCell<BTreeMap<WorkerName, WorkerLink>>,
    /// Registrations of workers in all pools, also in those that do not belong to the fleet.
    pub(crate) registrations: RefCell<BTreeMap<WorkerName, WorkerRegistration>>,
    /// Workers that are not registered and may still run tasks of an earlier owner.
    pub(crate) expiring_workers: RefCell<BTreeMap<WorkerName, ExpiringLease>>,
    /// Reading of the table service's clock; none before the fleet was loaded.
    pub(crate) service_clock: Cell<Option<ServiceClock>>,
    /// Versions of the progress rows that exist.
    pub(crate) progress_versions: RefCell<BTreeMap<JobId, u64>>,
    /// Finished jobs, the earliest end first.
    pub(crate) finished_jobs: RefCell<VecDeque<FinishedJob>>,
    /// Jobs that were not known when their cancellations were first read, with the time of that.
    pub(crate) early_cancellations: RefCell<BTreeMap<JobId, ClockMillis>>,
    /// Versions of this term's rows, on which writes of jobs and progress are conditional.
    pub(crate) term_versions: Cell<TermVersions>,
    /// Whether jobs and workers have been loaded.
    pub(crate) is_loaded: Cell<bool>,
    /// Number of lists of leased workers that were made.
    pub(crate) lease_lists: Cell<u64>,
    /// Leased workers as the table service holds them.
    pub(crate) stored_leases: RefCell<StoredLeases>,
    /// What of the learned speeds of workers is stored.
    pub(crate) stored_speeds: Cell<StoredSpeeds>,
    /// Whether the fleet was handed over to another entry.
    is_handed_over: Cell<bool>,
    /// Version of the ownership row.
    version: Cell<u64>,
    /// When the last successful renewal was sent.
    renewed_at: Cell<ClockMillis>,
    /// When the state of the fleet was last logged.
    logged_at: Cell<ClockMillis>,
    /// Longest time that the planner took for a decision since then.
    longest_decision: Cell<Duration>,
    /// Log of job changes for the other entries.
    pub(crate) job_changes: Rc<RefCell<JobChangeLog>>,
    /// Notified when there are new job changes.
    pub(crate) changes_notify: Rc<Notify>,
    /// Notified when starts on a worker wait until the leased workers are stored.
    pub(crate) renew_notify: Notify,
    /// Notified when something has changed that decisions depend on.
    pub(crate) decide_notify: Notify,
    /// Notified when progress waits to be stored.
    pub(crate) progress_notify: Notify,
    /// Notified when progress was stored.
    pub(crate) stored_notify: Notify,
    /// Cancelled when this ownership ends; ends all of its tasks.
    pub(crate) cancellation: CancellationToken,
}

impl<P: OwnerPorts> OwnerSession<P> {
    /// Returns true while the owner's lease lasts, during which nobody else can own the fleet.
    pub(crate) fn is_held(&self) -> bool {
        let now = self.context.clock.now();
        now.since(self.renewed_at.get()) < limits::OWNER_TTL_MS
    }

    /// Returns true while the leases of running tasks may be extended, which is a little longer
    /// than the owner's own lease.
    pub(crate) fn may_extend_leases(&self) -> bool {
        let now = self.context.clock.now();
        now.since(self.renewed_at.get()) < limits::OWNER_TTL_MS + limits::LEASE_EXTENSION_GRACE_MS
    }

    /// Ends the ownership, for example because a worker or the table service knows a newer one.
    pub(crate) fn end_ownership(&self, reason: &str) {
        if !self.cancellation.is_cancelled() {
            log::warn!("ownership ended term={} reason={reason}", self.term);
            self.cancellation.cancel();
        }
    }

    /// Publishes the state of a job to callers of this entry and of the others.
    pub(crate) fn publish(&self, id: &JobId, status: JobStatus) {
        self.context.statuses.borrow_mut().record_status(id.clone(), status);
        self.job_changes.borrow_mut().push(id.clone(), status);
        self.changes_notify.notify_waiters();
    }

    /// Publishes the state of a job that this owner has published before, if it has changed.
    /// Every entry receives every change, and most progress of a job leaves its state as it is.
    pub(crate) fn publish_change(&self, id: &JobId, status: JobStatus) {
        let is_change = self.context.statuses.borrow_mut().record_status(id.clone(), status);
        if is_change {
            self.job_changes.borrow_mut().push(id.clone(), status);
            self.changes_notify.notify_waiters();
        }
    }

    /// Spawns a future that is dropped when the ownership ends.
    pub(crate) fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let cancellation = self.cancellation.clone();
        actix_rt::spawn(async move {
            cancellation.run_until_cancelled(work).await;
        });
    }
}

/// Runs the fleet until the ownership ends or the entry stops.
pub(crate) async fn run<P: OwnerPorts>(
    context: &SharedContext<P>,
    ownership: ClaimedOwnership,
    retire: &CancellationToken,
) {
    context.metrics.is_owner.record(1, &[]);
    context.metrics.ownership_changes.add(1, &[metrics::label("change", "acquired")]);
    let cancellation = retire.child_token();
    let first_run = u32::try_from((ownership.term - 1) * RUNS_PER_TERM + 1).unwrap_or(1);
    let session = Rc::new(OwnerSession {
        context: context.clone(),
        term: ownership.term,
        claimed_at: ownership.sent_at,
        planner: RefCell::new(Planner::new(PlannerOptions {
            first_run,
            features: context.bounds.features,
            ..PlannerOptions::default()
        })),
        dispatcher: RefCell::default(),
        storing_calls: RefCell::default(),
        storing_demands: RefCell::default(),
        storing_jobs: RefCell::default(),
        refusal_reads: Semaphore::new(MAX_REFUSAL_READS),
        links: RefCell::default(),
        registrations: RefCell::default(),
        expiring_workers: RefCell::default(),
        service_clock: Cell::default(),
        progress_versions: RefCell::default(),
        finished_jobs: RefCell::default(),
        early_cancellations: RefCell::default(),
        term_versions: Cell::default(),
        is_loaded: Cell::new(false),
        lease_lists: Cell::default(),
        stored_leases: RefCell::default(),
        stored_speeds: Cell::new(StoredSpeeds::new(ownership.sent_at)),
        is_handed_over: Cell::new(false),
        version: Cell::new(ownership.version),
        renewed_at: Cell::new(ownership.sent_at),
        logged_at: Cell::new(ownership.sent_at),
        longest_decision: Cell::default(),
        job_changes: Rc::new(RefCell::new(JobChangeLog::new(ownership.term))),
        changes_notify: Rc::default(),
        renew_notify: Notify::new(),
        decide_notify: Notify::new(),
        progress_notify: Notify::new(),
        stored_notify: Notify::new(),
        cancellation: cancellation.clone(),
    });
    // Not spawned by the session, as a handover continues after the ownership has ended.
    actix_rt::spawn(renew_repeatedly(session.clone()));
    let had_owner = ownership.previous.is_some();
    let loaded = cancellation.run_until_cancelled(load::load(&session, had_owner)).await;
    if let Some(positions) = loaded {
        session.is_loaded.set(true);
        if workers::has_held_starts(&session) {
            session.renew_notify.notify_one();
        }
        *context.waiting_by_queue.borrow_mut() = session.planner.borrow().waiting_by_queue();
        session.spawn(speeds::restore(session.clone()));
        session.spawn(load::follow_jobs(session.clone(), positions.inbox));
        session.spawn(load::follow_workers(session.clone(), positions.workers));
        session.spawn(progress::store_repeatedly(session.clone()));
        session.spawn(progress::remove_old_states(session.clone()));
        session.spawn(watch_reachability(session.clone()));
        session.spawn(submits::serve_submissions(session.clone()));
        cancellation.run_until_cancelled(decide_repeatedly(&session)).await;
    }
    cancellation.cancel();
    context.metrics.is_owner.record(0, &[]);
    context.metrics.ownership_changes.add(1, &[metrics::label("change", "lost")]);
    context.owned.borrow_mut().take();
    release(&session).await;
}

/// Renews the ownership row at intervals, together with the leased workers for the next owner,
/// and hands the fleet over after a failed renewal or to an entry on a much larger VM.
async fn renew_repeatedly<P: OwnerPorts>(session: SharedSession<P>) {
    let mut renewed_at = tokio::time::Instant::now();
    let mut checked_at = session.claimed_at;
    loop {
        // Measured from send to send, so that a slow table service does not stretch the interval.
        tokio::select! {
            () = tokio::time::sleep_until(renewed_at + limits::RENEW_INTERVAL) => {}
            () = session.renew_notify.notified() => {
                let workers = session.links.borrow().len();
                tokio::time::sleep_until(renewed_at + limits::min_renew_interval(workers)).await;
            }
        }
        renewed_at = tokio::time::Instant::now();
        if session.cancellation.is_cancelled() {
            return;
        }
        let sent_at = session.context.clock.now();
        *session.context.waiting_by_queue.borrow_mut() =
            session.planner.borrow().waiting_by_queue();
        record_gauges(&session);
        log_fleet_state(&session, sent_at);
        speeds::log_changes(&session);
        let owner = build_owner_row(&session, session.context.identity.name.clone());
        let changed_leases = find_changed_leases(&session);
        let list_number = session.lease_lists.get();
        let speeds = speeds::take_due_row(&session, sent_at);
        let version = session.version.get();
        let lease_write =
            changed_leases.as_ref().map(|leases| (row::lease_key(), row::encode(leases)));
        let speed_write =
            speeds.as_ref().map(|speeds| (row::speed_key(), row::encode(&speeds.row)));
        let others = lease_write.into_iter().chain(speed_write);
        let written = write_owner(&session.context, version, &owner, others).await;
        if let Some(version) = written {
            speeds::confirm_row(&session, speeds.as_ref());
            if let Some(leases) = changed_leases {
                session.stored_leases.borrow_mut().record(leases);
            }
            workers::release_starts(&session, list_number);
            session.version.set(version);
            session.renewed_at.set(sent_at);
            // No renewal is in flight here, so a handover names the row's present version.
            if sent_at.since(checked_at) >= limits::LARGER_OWNER_CHECK_INTERVAL_MS {
                checked_at = sent_at;
                hand_over(&session, list_larger_successors(&session.context)).await;
            }
        } else {
            resolve_renewal(&session);
            hand_over(&session, list_successors(&session.context)).await;
        }
        if !session.may_extend_leases() {
            session.end_ownership("lease-expired");
        }
    }
}

fn record_gauges<P: OwnerPorts>(session: &SharedSession<P>) {
    let instruments = &session.context.metrics;
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    let planner = session.planner.borrow();
    instruments.unfinished_jobs.record(count(planner.unfinished_job_count()), &[]);
    instruments.present_runs.record(count(planner.present_run_count()), &[]);
    instruments.silent_workers.record(count(workers::count_workers(session).silent), &[]);
    for (priority, wait_ms) in planner.room_wait_by_priority() {
        let labels = [metrics::label("priority", priority.to_string())];
        instruments.room_wait.record(wait_ms, &labels);
    }
    instruments.leaving_workers.record(count(planner.leaving_worker_count()), &[]);
    for (class, workers) in planner.count_by_speed() {
        let labels = [metrics::label("class", class.name())];
        instruments.workers_by_speed.record(count(workers), &labels);
    }
}

/// Logs the state of the fleet at intervals, with what a takeover still waits for.
fn log_fleet_state<P: OwnerPorts>(session: &SharedSession<P>, now: ClockMillis) {
    if now.since(session.logged_at.get()) < limits::FLEET_STATE_LOG_INTERVAL_MS {
        return;
    }
    session.logged_at.set(now);
    let planner = session.planner.borrow();
    let WorkerCounts { registered: workers, silent, .. } = workers::count_workers(session);
    let unservable_steps: Vec<_> = planner.unservable_steps().collect();
    if let Some(first) = unservable_steps.first() {
        log::warn!("no worker can run some steps steps={} first={first}", unservable_steps.len());
    }
    log::info!(
        "fleet state term={} loaded={} jobs={} inherited_jobs={} runs={} workers={workers} \
         silent={silent} foreign={} unreported_workers={} unservable_steps={} \
         reserved_workers={} advice_requests={} delayed_call_ms={:.0} call_slowdown={:.2} \
         short_of_room={} room_wait_ms={} longest_decision_us={}",
        session.term,
        session.is_loaded.get(),
        planner.unfinished_job_count(),
        planner.inherited_job_count(),
        planner.present_run_count(),
        workers::count_foreign_registrations(session),
        planner.unreported_worker_count(),
        unservable_steps.len(),
        planner.reserved_worker_count(),
        session.dispatcher.borrow().pending_count(),
        planner.delayed_call_ms(),
        session.dispatcher.borrow().slowdown(),
        planner.short_pool_count() > 0,
        format_room_waits(&planner.room_wait_by_priority()),
        session.longest_decision.take().as_micros(),
    );
}

/// Returns the waits by priority for a log line, as `0:12,1:340`.
fn format_room_waits(waits: &BTreeMap<u32, f64>) -> String {
    let waits: Vec<_> =
        waits.iter().map(|(priority, wait_ms)| format!("{priority}:{wait_ms:.0}")).collect();
    waits.join(",")
}

/// Hands the fleet over to the first of the entries that can reach the table service. If none
/// can after a failed renewal here, the table service is unreachable for all, and this owner
/// stays the owner and renews again.
async fn hand_over<P: OwnerPorts>(session: &SharedSession<P>, successors: Vec<Successor>) {
    let context = &session.context;
    let handover = OwnershipHandover { term: session.term, version: session.version.get() };
    for Successor { name, address, .. } in
        successors.into_iter().take(limits::MAX_SUCCESSORS_PROBED)
    {
        match context.ports.can_own(&address).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err(error) => {
                log::debug!("successor does not answer entry={name} error={error:?}");
                continue;
            }
        }
        // Ends all decisions and orders before the other entry may claim.
        session.end_ownership("handed-over");
        session.is_handed_over.set(true);
        let answer = context.ports.hand_over(&address, handover).await;
        log::info!("fleet handed over term={} to={name} answered={}", session.term, answer.is_ok());
        return;
    }
}

/// Compares the ownership row with this ownership after a failed renewal: adopts the version
/// of a renewal whose answer was lost, and ends the ownership if another entry has claimed.
fn resolve_renewal<P: OwnerPorts>(session: &SharedSession<P>) {
    let identity = &session.context.identity;
    let owner = session.context.owner.borrow();
    let Some((version, row)) = owner.row() else { return };
    if *version <= session.version.get() {
        return;
    }
    let is_own = row.term == session.term
        && row.holder == identity.name
        && row.instance == identity.instance;
    if is_own {
        session.version.set(*version);
    } else {
        session.end_ownership("claimed-by-another");
    }
}

/// Builds the ownership row of this term; an empty holder releases the fleet.
fn build_owner_row<P: OwnerPorts>(session: &SharedSession<P>, holder: ArcStr) -> OwnerRow {
    OwnerRow { holder, instance: session.context.identity.instance.clone(), term: session.term }
}

/// Returns the leased workers if they differ from the stored ones; none before the fleet is
/// loaded, as the workers of the earlier owner are not all known until then.
fn find_changed_leases<P: OwnerPorts>(session: &SharedSession<P>) -> Option<LeasedWorkers> {
    if !session.is_loaded.get() {
        return None;
    }
    session.lease_lists.set(session.lease_lists.get() + 1);
    let leased = workers::list_leased_workers(session);
    session.stored_leases.borrow_mut().begin_write(leased)
}

/// Releases the fleet, so that another entry need not wait for the lease to expire.
async fn release<P: OwnerPorts>(session: &SharedSession<P>) {
    if !session.is_held() || session.is_handed_over.get() {
        return;
    }
    let owner = build_owner_row(session, ArcStr::default());
    let now = session.context.clock.now();
    session.context.owner.borrow_mut().block_claims_until(now + limits::CLAIM_BACKOFF_MS);
    // One entry is notified at once; the others follow the row.
    let notified = notify_successor(session);
    let written = write_owner(&session.context, session.version.get(), &owner, []);
    let ((), written) = futures_util::join!(notified, written);
    log::info!("fleet released term={} written={}", session.term, written.is_some());
}

/// Notifies the strongest other entry that the fleet is released.
async fn notify_successor<P: OwnerPorts>(session: &SharedSession<P>) {
    let handover = OwnershipHandover { term: session.term, version: session.version.get() };
    let Some(Successor { name, address, .. }) =
        list_successors(&session.context).into_iter().next()
    else {
        return;
    };
    if let Err(error) = session.context.ports.hand_over(&address, handover).await {
        log::info!(
            "successor not notified entry={name} error=\"{}\"",
            failure::format_one_line(&error)
        );
    }
}

/// An entry that may own the fleet next.
#[derive(Debug)]
struct Successor {
    name: ArcStr,
    address: ArcStr,
    strength: VmStrength,
}

/// Returns the other entries: the strongest first, and equal ones in random order to spread
/// the load.
fn list_successors<P>(context: &SharedContext<P>) -> Vec<Successor> {
    let members = context.members.borrow();
    let mut others: Vec<_> = members
        .iter()
        .filter(|(name, _)| **name != context.identity.name)
        .map(|(name, member)| Successor {
            name: name.clone(),
            address: member.address.clone(),
            strength: member.strength,
        })
        .collect();
    others.shuffle(&mut rand::rng());
    others.sort_by_key(|successor| Reverse(successor.strength));
    others
}

/// Returns the entries on VMs that are much larger than this one.
fn list_larger_successors<P>(context: &SharedContext<P>) -> Vec<Successor> {
    let mut larger = list_successors(context);
    larger.retain(|successor| successor.strength.far_exceeds(context.identity.strength));
    larger
}

/// Ends the ownership when most workers are unreachable from here.
async fn watch_reachability<P: OwnerPorts>(session: SharedSession<P>) {
    let mut unreachable_since: Option<ClockMillis> = None;
    loop {
        tokio::time::sleep(limits::RENEW_INTERVAL).await;
        let now = session.context.clock.now();
        let WorkerCounts { registered, unanswered, .. } = workers::count_workers(&session);
        if unanswered * 2 <= registered {
            unreachable_since = None;
            continue;
        }
        let since = *unreachable_since.get_or_insert(now);
        if now.since(since) >= limits::MAX_WORKERS_UNREACHABLE_MS {
            log::warn!(
                "most workers unreachable term={} unanswered={unanswered} workers={registered}",
                session.term
            );
            session.end_ownership("workers-out-of-reach");
        }
    }
}

/// Runs the planner whenever something has changed, and carries out its decisions.
async fn decide_repeatedly<P: OwnerPorts>(session: &SharedSession<P>) {
    let mut generation = None;
    let mut pause = limits::DECISION_DEBOUNCE;
    loop {
        tokio::select! {
            () = session.decide_notify.notified() => {}
            () = session.context.changed_notify.notified() => {}
            () = tokio::time::sleep(limits::MAX_DECISION_INTERVAL) => {}
        }
        tokio::time::sleep(pause).await;
        // Compared on every pass: `changed_notify` wakes only current waiters, so it does not
        // report a change that was made while this task was not waiting.
        let current = session.context.config_view.borrow().generation;
        if generation != Some(current) {
            generation = Some(current);
            let plan = session.context.config_view.borrow().planner_config();
            session.planner.borrow_mut().set_config(plan);
            workers::reapply_registrations(session);
        }
        advice::refresh_advice_entries(session);
        let now = session.context.clock.now();
        if !session.is_held() {
            continue;
        }
        let started = std::time::Instant::now();
        let queue = session.dispatcher.borrow().queue();
        session.planner.borrow_mut().set_call_queue(queue);
        let decisions = session.planner.borrow_mut().decide(now.0, desk::unix_ms());
        let elapsed = started.elapsed();
        pause = limits::DECISION_DEBOUNCE.max(elapsed * limits::DECISION_PAUSE_FACTOR);
        let micros = elapsed.as_secs_f64() * 1e6;
        session.context.metrics.decision_time.record(micros, &[]);
        session.longest_decision.set(session.longest_decision.get().max(elapsed));
        for decision in decisions {
            match decision {
                PlanDecision::Start(order) => {
                    session.spawn(orders::send_start(session.clone(), order));
                }
                PlanDecision::Stop(order) => {
                    if order.reason == preempt::PREEMPTED_REASON {
                        session.context.metrics.preemptions.add(1, &[]);
                    }
                    session.spawn(orders::send_stop(session.clone(), order));
                }
                PlanDecision::Pace(order) => {
                    session.spawn(orders::send_pace(session.clone(), order));
                }
                PlanDecision::RequestAdvice(request) => {
                    session.dispatcher.borrow_mut().push(request, now.0);
                }
            }
        }
        advice::send_requests(session);
        if session.planner.borrow().has_progress() {
            session.progress_notify.notify_one();
        }
    }
}
