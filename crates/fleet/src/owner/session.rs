//! One ownership, from the claim to its end.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use arcstr::ArcStr;
use link::failure;
use model::name::{JobId, WorkerName};
use model::time::ClockMillis;
use plan::advice::AdviceDispatcher;
use plan::decision::PlanDecision;
use plan::planner::{PlanBounds, Planner};
use plan::progress::JobStatus;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::context::SharedContext;
use crate::desk;
use crate::limits;
use crate::metrics;
use crate::news::JobChangeLog;
use crate::owner::workers::WorkerLink;
use crate::owner::{
    HeldOwnership, OwnerPorts, SharedSession, advice, load, orders, progress, submits, workers,
    write_owner,
};
use crate::ports::OwnershipHandover;
use crate::row::{LeasedWorkers, OwnerRow};
use crate::strength::VmStrength;
use crate::submit::TermVersions;

/// Run numbers that one term leaves for the next; a task has far fewer runs in a term.
const RUNS_PER_TERM: u64 = 1_000;

/// A job that is over: time of its end, and version of its row.
pub(crate) type FinishedJob = (u64, JobId, u64);

/// State of an owner. It is borrowed between awaits only.
#[derive(Debug)]
pub(crate) struct OwnerSession<P> {
    pub(crate) context: SharedContext<P>,
    pub(crate) term: u64,
    pub(crate) claimed_at: ClockMillis,
    pub(crate) planner: RefCell<Planner>,
    pub(crate) dispatcher: RefCell<AdviceDispatcher>,
    pub(crate) links: RefCell<BTreeMap<WorkerName, WorkerLink>>,
    /// Workers of an earlier owner that are not registered and may still run tasks.
    pub(crate) expiring: RefCell<Vec<WorkerName>>,
    /// Versions of the progress rows that exist.
    pub(crate) progress_versions: RefCell<BTreeMap<JobId, u64>>,
    /// Jobs that are over.
    pub(crate) finished_jobs: RefCell<VecDeque<FinishedJob>>,
    /// Versions of the rows of this term, under which jobs and progress are stored.
    pub(crate) term_versions: Cell<TermVersions>,
    /// Whether jobs and workers are known.
    loaded: Cell<bool>,
    /// Workers that may run tasks, as stored.
    leased: RefCell<Option<LeasedWorkers>>,
    /// Whether another entry was told to claim.
    handed_over: Cell<bool>,
    /// Version of the ownership row.
    version: Cell<u64>,
    /// When the last renewal that was stored was sent.
    renewed_at: Cell<ClockMillis>,
    /// Changes of jobs, for the other entries.
    pub(crate) job_changes: Rc<RefCell<JobChangeLog>>,
    /// Rung when there are new changes.
    pub(crate) changes_notify: Rc<Notify>,
    /// Rung when something has changed that decisions depend on.
    pub(crate) wake: Notify,
    /// Rung when progress waits to be stored.
    pub(crate) progress_wake: Notify,
    /// Rung when progress was stored.
    pub(crate) stored: Notify,
    /// Ends everything that this ownership does.
    pub(crate) cancellation: CancellationToken,
}

impl<P: OwnerPorts> OwnerSession<P> {
    /// Tells whether nobody else can hold the fleet.
    pub(crate) fn is_held(&self) -> bool {
        let now = self.context.clock.now();
        now.since(self.renewed_at.get()) < limits::OWNER_TTL_MS
    }

    /// Tells whether the leases of running tasks may still be prolonged.
    pub(crate) fn may_extend_leases(&self) -> bool {
        let now = self.context.clock.now();
        now.since(self.renewed_at.get()) < limits::OWNER_TTL_MS + limits::LEASE_EXTENSION_GRACE_MS
    }

    /// Ends the ownership because a worker or the table service knows a newer one.
    pub(crate) fn end_ownership(&self, reason: &str) {
        if !self.cancellation.is_cancelled() {
            log::warn!("ownership over term={} reason={reason}", self.term);
            self.cancellation.cancel();
        }
    }

    /// Notes a change of a job for callers of this entry and of the others.
    pub(crate) fn publish(&self, id: &JobId, status: JobStatus) {
        self.context.statuses.borrow_mut().record_status(id.clone(), status);
        self.job_changes.borrow_mut().push(id.clone(), status);
        self.changes_notify.notify_waiters();
    }

    /// Runs a task until the ownership is over.
    pub(crate) fn spawn(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let cancellation = self.cancellation.clone();
        actix_rt::spawn(async move {
            cancellation.run_until_cancelled(work).await;
        });
    }
}

/// Runs the fleet until the ownership is lost or the entry stops.
pub(crate) async fn run<P: OwnerPorts>(
    context: &SharedContext<P>,
    held: HeldOwnership,
    retire: &CancellationToken,
) {
    context.metrics.is_owner.record(1, &[]);
    context.metrics.ownership.add(1, &[metrics::label("change", "acquired")]);
    let cancellation = retire.child_token();
    let first_run = u32::try_from((held.term - 1) * RUNS_PER_TERM + 1).unwrap_or(1);
    let session = Rc::new(OwnerSession {
        context: context.clone(),
        term: held.term,
        claimed_at: held.sent_at,
        planner: RefCell::new(Planner::new(PlanBounds { first_run, ..PlanBounds::default() })),
        dispatcher: RefCell::default(),
        links: RefCell::default(),
        expiring: RefCell::default(),
        progress_versions: RefCell::default(),
        finished_jobs: RefCell::default(),
        term_versions: Cell::default(),
        loaded: Cell::new(false),
        leased: RefCell::default(),
        handed_over: Cell::new(false),
        version: Cell::new(held.version),
        renewed_at: Cell::new(held.sent_at),
        job_changes: Rc::new(RefCell::new(JobChangeLog::new(held.term))),
        changes_notify: Rc::default(),
        wake: Notify::new(),
        progress_wake: Notify::new(),
        stored: Notify::new(),
        cancellation: cancellation.clone(),
    });
    // The hand-over goes on after the ownership has ended.
    actix_rt::spawn(renew(session.clone()));
    let loaded =
        cancellation.run_until_cancelled(load::load(&session, held.before.is_some())).await;
    if let Some(positions) = loaded {
        session.loaded.set(true);
        *context.waiting.borrow_mut() = session.planner.borrow().waiting_by_queue();
        session.spawn(load::follow_jobs(session.clone(), positions.jobs));
        session.spawn(load::follow_workers(session.clone(), positions.workers));
        session.spawn(progress::run(session.clone()));
        session.spawn(progress::sweep(session.clone()));
        session.spawn(watch_reachability(session.clone()));
        session.spawn(submits::run(session.clone()));
        cancellation.run_until_cancelled(decide(&session)).await;
    }
    cancellation.cancel();
    context.metrics.is_owner.record(0, &[]);
    context.metrics.ownership.add(1, &[metrics::label("change", "lost")]);
    context.owned.borrow_mut().take();
    release(&session).await;
}

/// Renews the ownership row, with what the next owner and callers need to know.
async fn renew<P: OwnerPorts>(session: SharedSession<P>) {
    let mut next = tokio::time::Instant::now();
    let mut looked_at = session.claimed_at;
    loop {
        // From send to send, so that a slow store does not stretch the interval.
        next = tokio::time::Instant::now().max(next + limits::RENEW_INTERVAL);
        tokio::time::sleep_until(next).await;
        if session.cancellation.is_cancelled() {
            return;
        }
        let sent_at = session.context.clock.now();
        *session.context.waiting.borrow_mut() = session.planner.borrow().waiting_by_queue();
        record_gauges(&session);
        let owner = owner_row(&session, session.context.identity.name.clone());
        let leased = changed_leases(&session);
        let version = session.version.get();
        let written = write_owner(&session.context, version, &owner, leased.as_ref()).await;
        if let Some(version) = written {
            if let Some(leased) = leased {
                *session.leased.borrow_mut() = Some(leased);
            }
            session.version.set(version);
            session.renewed_at.set(sent_at);
            // Between two renewals, so that the version that is offered is the row's.
            if sent_at.since(looked_at) >= limits::LARGER_OWNER_CHECK_INTERVAL_MS {
                looked_at = sent_at;
                hand_over(&session, larger_successors(&session.context)).await;
            }
        } else {
            adopt_row(&session);
            hand_over(&session, successors(&session.context)).await;
        }
        if !session.may_extend_leases() {
            session.end_ownership("lease-expired");
        }
    }
}

fn record_gauges<P: OwnerPorts>(session: &SharedSession<P>) {
    let metrics = &session.context.metrics;
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    let planner = session.planner.borrow();
    metrics.jobs_live.record(count(planner.unfinished_job_count()), &[]);
    metrics.runs_present.record(count(planner.present_run_count()), &[]);
    metrics.workers_silent.record(count(workers::count_silent(session).0), &[]);
}

/// Gives the fleet up to the first entry that the table service answers. After a renewal that
/// failed here, none means that the service is away for all, and this owner goes on
/// when it is back.
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
                log::debug!("no answer of a successor name={name} error={error:?}");
                continue;
            }
        }
        // Nothing is decided or sent any more before the other entry may claim.
        session.end_ownership("handed-over");
        session.handed_over.set(true);
        let answer = context.ports.hand_over(&address, handover).await;
        log::info!("fleet handed over term={} to={name} told={}", session.term, answer.is_ok());
        return;
    }
}

/// Takes the version of a renewal whose answer was lost, or ends the ownership.
fn adopt_row<P: OwnerPorts>(session: &SharedSession<P>) {
    let identity = &session.context.identity;
    let owner = session.context.owner.borrow();
    let Some((version, row)) = owner.row() else { return };
    if *version <= session.version.get() {
        return;
    }
    let mine = row.term == session.term
        && row.holder == identity.name
        && row.instance == identity.instance;
    if mine {
        session.version.set(*version);
    } else {
        session.end_ownership("claimed-by-another");
    }
}

fn owner_row<P: OwnerPorts>(session: &SharedSession<P>, holder: ArcStr) -> OwnerRow {
    OwnerRow { holder, instance: session.context.identity.instance.clone(), term: session.term }
}

/// Returns the workers that may run tasks if the stored ones differ; none before the fleet is
/// loaded, when the workers of the earlier owner are not all known.
fn changed_leases<P: OwnerPorts>(session: &SharedSession<P>) -> Option<LeasedWorkers> {
    let leased = LeasedWorkers(workers::leased(session));
    let stored = session.leased.borrow();
    (session.loaded.get() && stored.as_ref() != Some(&leased)).then_some(leased)
}

/// Gives the fleet up so that another entry need not wait for the lease to expire.
async fn release<P: OwnerPorts>(session: &SharedSession<P>) {
    if !session.is_held() || session.handed_over.get() {
        return;
    }
    let owner = owner_row(session, ArcStr::default());
    let now = session.context.clock.now();
    session.context.owner.borrow_mut().block_claims_until(now + limits::CLAIM_BACKOFF_MS);
    // One entry is told at once; the others see the row.
    let told = notify_successor(session);
    let written = write_owner(&session.context, session.version.get(), &owner, None);
    let ((), written) = futures_util::join!(told, written);
    log::info!("fleet released term={} written={}", session.term, written.is_some());
}

async fn notify_successor<P: OwnerPorts>(session: &SharedSession<P>) {
    let handover = OwnershipHandover { term: session.term, version: session.version.get() };
    let Some(Successor { name, address, .. }) = successors(&session.context).into_iter().next()
    else {
        return;
    };
    if let Err(error) = session.context.ports.hand_over(&address, handover).await {
        log::info!("no successor told name={name} error=\"{}\"", failure::format_one_line(&error));
    }
}

/// An entry that may own the fleet next.
#[derive(Debug)]
struct Successor {
    name: ArcStr,
    address: ArcStr,
    strength: VmStrength,
}

/// Returns the other entries: the strongest first, and equal ones in an order that
/// spreads the load.
fn successors<P>(context: &SharedContext<P>) -> Vec<Successor> {
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

/// Returns the entries on much larger VMs than this one.
fn larger_successors<P>(context: &SharedContext<P>) -> Vec<Successor> {
    let mut larger = successors(context);
    larger.retain(|successor| successor.strength.far_exceeds(context.identity.strength));
    larger
}

/// Gives the fleet up when most workers cannot be reached from here.
async fn watch_reachability<P: OwnerPorts>(session: SharedSession<P>) {
    let mut since: Option<ClockMillis> = None;
    loop {
        tokio::time::sleep(limits::RENEW_INTERVAL).await;
        let now = session.context.clock.now();
        let (silent, all) = workers::count_silent(&session);
        if silent * 2 <= all {
            since = None;
            continue;
        }
        let start = *since.get_or_insert(now);
        if now.since(start) >= limits::MAX_WORKERS_UNREACHABLE_MS {
            log::warn!("fleet given up term={} silent={silent} workers={all}", session.term);
            session.end_ownership("workers-out-of-reach");
        }
    }
}

/// Decides whenever something has changed, and sends what was decided.
async fn decide<P: OwnerPorts>(session: &SharedSession<P>) {
    let mut generation = None;
    let mut pause = limits::DECISION_DEBOUNCE;
    loop {
        tokio::select! {
            () = session.wake.notified() => {}
            () = session.context.changed.notified() => {}
            () = tokio::time::sleep(limits::MAX_DECISION_INTERVAL) => {}
        }
        tokio::time::sleep(pause).await;
        // A change during the last decision rings nobody.
        let current = session.context.view.borrow().generation;
        if generation != Some(current) {
            generation = Some(current);
            let plan = session.context.view.borrow().plan();
            session.planner.borrow_mut().set_config(plan);
        }
        advice::refresh_advice_entries(session);
        let now = session.context.clock.now();
        if !session.is_held() {
            continue;
        }
        let started = std::time::Instant::now();
        let decisions = session.planner.borrow_mut().decide(now.0, desk::unix_ms());
        let elapsed = started.elapsed();
        pause = limits::DECISION_DEBOUNCE.max(elapsed * limits::DECISION_PAUSE_FACTOR);
        let micros = elapsed.as_secs_f64() * 1e6;
        session.context.metrics.decision_time.record(micros, &[]);
        for decision in decisions {
            match decision {
                PlanDecision::Start(order) => orders::start(session, order),
                PlanDecision::Stop(order) => orders::stop(session, order),
                PlanDecision::RequestAdvice(ask) => session.dispatcher.borrow_mut().push(ask),
            }
        }
        advice::send_calls(session);
        if session.planner.borrow().has_progress() {
            session.progress_wake.notify_one();
        }
    }
}
