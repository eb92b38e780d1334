//! Polls each worker, which extends its lease and reports its runs and run ends.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use link::failure;
use model::name::WorkerName;
use model::time::ClockMillis;
use plan::worker::{EndKind, EndedRun, InheritedRuns, RunReport, WorkerInfo};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::lease::{ExpiringLease, ServiceClock, WorkerLease};
use crate::limits;
use crate::metrics;
use crate::owner::{OwnerPorts, SharedSession};
use crate::ports::{EndAck, OrderStamp, PollAnswer, PollOrder, TableRow};
use crate::row::LeasedWorkers;

/// The registration of a worker as it was last read.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRegistration {
    info: WorkerInfo,
    address: ArcStr,
    /// Version of the row.
    version: u64,
    /// When the row was read.
    read_at: ClockMillis,
    /// How long before it may have been written at most, in milliseconds.
    max_age_ms: u64,
}

/// How a poll of a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollFailure {
    /// There was no answer: the worker may be out of reach.
    Unanswered,
    /// Its address answered with an error. The worker is not out of reach of this entry, and no
    /// other one would do better.
    Rejected,
}

/// Connection state of one worker: address, lease and reachability.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) address: ArcStr,
    pub(crate) lease: WorkerLease,
    /// Permits that bound the orders in flight.
    pub(crate) orders_in_flight: Arc<Semaphore>,
    is_registered: bool,
    is_draining: bool,
    /// Number of the last list of leased workers that was made before starts on the worker became
    /// possible, for the first time or again; none once a later list is stored. Until then the
    /// stored list does not name the worker, or names it with some jobs only, and nothing may be
    /// started there.
    held_since: Option<u64>,
    /// Whether polls do not extend the lease until then, as the stored list may name an end of it.
    is_extension_held: bool,
    /// How the last poll failed; none if it succeeded.
    poll_failure: Option<PollFailure>,
    /// Notified when a task is started on the worker.
    started_notify: Rc<Notify>,
    /// Ends the polls of this worker.
    cancellation: CancellationToken,
}

impl WorkerLink {
    /// Returns whether tasks may be started on the worker, as far as the planner has been told.
    const fn takes_starts(&self) -> bool {
        self.is_registered && !self.is_draining && self.poll_failure.is_none()
    }
}

/// Holds starts on a worker back until the leased workers have been stored.
fn hold_starts<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
    link: &mut WorkerLink,
) {
    link.held_since = Some(session.lease_lists.get());
    session.planner.borrow_mut().hold_starts(name, true);
    if session.is_loaded.get() {
        session.renew_notify.notify_one();
    }
}

/// Returns whether starts on any worker wait until the leased workers are stored.
pub(crate) fn has_held_starts<P: OwnerPorts>(session: &SharedSession<P>) -> bool {
    session.links.borrow().values().any(|link| link.held_since.is_some())
}

/// Applies a row of the workers' table that was written at most `max_age_ms` ago.
pub(crate) fn apply_registration<P: OwnerPorts>(
    session: &SharedSession<P>,
    row: &TableRow,
    max_age_ms: u64,
) {
    let name = WorkerName::from(row.key.as_str());
    let Some((info, address)) = session.context.ports.decode_worker_row(row) else {
        session.registrations.borrow_mut().remove(&name);
        deregister(session, &name);
        return;
    };
    let read_at = session.context.clock.now();
    let registration =
        WorkerRegistration { info, address, version: row.version, read_at, max_age_ms };
    register_if_member(session, &registration);
    let known = session.registrations.borrow_mut().insert(name, registration.clone());
    let WorkerInfo { name, pool, .. } = &registration.info;
    let is_changed = known.is_none_or(|known| !known.info.agrees_with(&registration.info));
    if is_changed && !session.context.config_view.borrow().has_pool(pool) {
        log::warn!("registration in an unknown pool ignored worker={name} pool={pool}");
    }
}

/// Applies all registrations again after a change of the configuration, which may have added
/// their pools or removed them.
pub(crate) fn reapply_registrations<P: OwnerPorts>(session: &SharedSession<P>) {
    for registration in session.registrations.borrow().values() {
        register_if_member(session, registration);
    }
}

/// Registers a worker if its pool belongs to the fleet, and deregisters it otherwise.
fn register_if_member<P: OwnerPorts>(
    session: &SharedSession<P>,
    registration: &WorkerRegistration,
) {
    if session.context.config_view.borrow().has_pool(&registration.info.pool) {
        register(session, registration.clone());
    } else {
        deregister(session, &registration.info.name);
    }
}

fn register<P: OwnerPorts>(session: &SharedSession<P>, registration: WorkerRegistration) {
    let WorkerRegistration { info, address, version, read_at, max_age_ms } = registration;
    let name = info.name.clone();
    let remaining = info.remaining_ms.map(|remaining_ms| format!(" remaining_ms={remaining_ms}"));
    let remaining = remaining.unwrap_or_default();
    let text =
        format!("worker={name} domain={} draining={}{remaining}", info.domain, info.draining);
    let is_draining = info.draining;
    // Each heartbeat writes the row; only changes that decisions depend on are logged.
    if session.planner.borrow_mut().set_worker(info) {
        log::info!("worker registered {text} version={version}");
    }
    session.planner.borrow_mut().record_departure(&name, read_at.0, max_age_ms);
    let mut links = session.links.borrow_mut();
    if let Some(link) = links.get_mut(&name) {
        link.address = address;
        if !link.takes_starts() {
            hold_starts(session, &name, link);
            link.is_extension_held = link.lease.inherited_end().is_some()
                && session.stored_leases.borrow().may_name_end(&name);
        }
        link.is_registered = true;
        link.is_draining = is_draining;
        return;
    }
    let cancellation = session.cancellation.child_token();
    let lease = WorkerLease::inherited(session.context.bounds.worker_lease_ms, session.claimed_at);
    let mut link = WorkerLink {
        address,
        lease,
        orders_in_flight: Arc::new(Semaphore::new(limits::MAX_ORDERS_IN_FLIGHT)),
        is_registered: true,
        is_draining,
        held_since: None,
        is_extension_held: session.stored_leases.borrow().may_name_end(&name),
        poll_failure: None,
        started_notify: Rc::default(),
        cancellation: cancellation.clone(),
    };
    if link.is_extension_held || !session.stored_leases.borrow().allows_any_run(&name) {
        hold_starts(session, &name, &mut link);
    }
    links.insert(name.clone(), link);
    let polls = poll_repeatedly(session.clone(), name);
    actix_rt::spawn(async move {
        cancellation.run_until_cancelled(polls).await;
    });
}

/// Deregisters all workers that are not among `registered`.
pub(crate) fn deregister_others<P: OwnerPorts>(session: &SharedSession<P>, registered: &[ArcStr]) {
    let names: Vec<_> = session
        .links
        .borrow()
        .keys()
        .filter(|name| !registered.iter().any(|key| key == name.as_str()))
        .cloned()
        .collect();
    for name in names {
        deregister(session, &name);
    }
    let mut registrations = session.registrations.borrow_mut();
    registrations.retain(|name, _| registered.iter().any(|key| key == name.as_str()));
}

fn deregister<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) {
    if let Some(link) = session.links.borrow_mut().get_mut(name) {
        if link.is_registered {
            log::info!("worker not registered any more worker={name}");
        }
        link.is_registered = false;
    }
    session.planner.borrow_mut().deregister_worker(name);
}

/// Returns the workers that may run tasks of this or an earlier owner.
pub(crate) fn list_leased_workers<P: OwnerPorts>(session: &SharedSession<P>) -> LeasedWorkers {
    let planner = session.planner.borrow();
    let links = session.links.borrow();
    let linked = links.iter().map(|(name, link)| {
        let runs =
            if link.takes_starts() { InheritedRuns::Any } else { planner.possible_runs(name) };
        (name.clone(), runs)
    });
    let mut leased = LeasedWorkers {
        runs: linked.collect(),
        until_ms: BTreeMap::new(),
        largest: planner.largest_capacity(),
    };
    let clock = session.service_clock.get();
    for (name, link) in links.iter().filter(|(_, link)| !link.is_registered) {
        let until = link.lease.inherited_end().and_then(|end| clock?.latest_service_time(end));
        leased.until_ms.extend(until.map(|until| (name.clone(), until)));
    }
    for (name, lease) in &*session.expiring_workers.borrow() {
        if links.contains_key(name) {
            continue;
        }
        leased.runs.insert(name.clone(), planner.possible_runs(name));
        leased.until_ms.extend(lease.service_until_ms.map(|until| (name.clone(), until)));
    }
    leased.limit_size();
    leased
}

/// Allows starts on workers that had become usable when list `number` was made, which is stored.
pub(crate) fn release_starts<P: OwnerPorts>(session: &SharedSession<P>, number: u64) {
    for (name, link) in session.links.borrow_mut().iter_mut() {
        if link.held_since.is_some_and(|held_since| held_since < number) {
            link.held_since = None;
            link.is_extension_held = false;
            session.planner.borrow_mut().hold_starts(name, false);
            session.decide_notify.notify_one();
        }
    }
}

/// Counts the registrations in pools that do not belong to the fleet.
pub(crate) fn count_foreign_registrations<P: OwnerPorts>(session: &SharedSession<P>) -> usize {
    let view = session.context.config_view.borrow();
    let registrations = session.registrations.borrow();
    registrations.values().filter(|registration| !view.has_pool(&registration.info.pool)).count()
}

/// Numbers of registered workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerCounts {
    pub(crate) registered: usize,
    /// Workers whose last poll failed.
    pub(crate) silent: usize,
    /// Workers whose last poll had no answer.
    pub(crate) unanswered: usize,
}

/// Counts the registered workers.
pub(crate) fn count_workers<P: OwnerPorts>(session: &SharedSession<P>) -> WorkerCounts {
    let links = session.links.borrow();
    let registered = links.values().filter(|link| link.is_registered);
    registered.fold(WorkerCounts::default(), |counts, link| WorkerCounts {
        registered: counts.registered + 1,
        silent: counts.silent + usize::from(link.poll_failure.is_some()),
        unanswered: counts.unanswered
            + usize::from(link.poll_failure == Some(PollFailure::Unanswered)),
    })
}

/// Starts waiting for the leases that an earlier owner gave to workers which are not registered
/// now.
pub(crate) fn await_unregistered_leases<P: OwnerPorts>(
    session: &SharedSession<P>,
    leased: &LeasedWorkers,
    clock: &ServiceClock,
) {
    let max_lease_ms = session.context.bounds.worker_lease_ms;
    let links = session.links.borrow();
    let unregistered = leased.runs.keys().filter(|name| !links.contains_key(*name));
    let expiring: BTreeMap<_, _> = unregistered
        .map(|name| {
            let stored_until_ms = leased.until_ms.get(name).copied();
            let lease =
                ExpiringLease::new(stored_until_ms, max_lease_ms, session.claimed_at, clock);
            (name.clone(), lease)
        })
        .collect();
    drop(links);
    session.service_clock.set(Some(*clock));
    let Some(last) = expiring.values().map(|lease| lease.until).max() else { return };
    log::info!(
        "waiting for leases of unregistered workers term={} workers={} longest_ms={}",
        session.term,
        expiring.len(),
        last.since(session.context.clock.now())
    );
    *session.expiring_workers.borrow_mut() = expiring;
    session.spawn(wait_for_leases(session.clone()));
}

/// Waits until the inherited leases of unregistered workers have expired, and reports that to
/// the planner for those that have not registered meanwhile.
async fn wait_for_leases<P: OwnerPorts>(session: SharedSession<P>) {
    while !session.expiring_workers.borrow().is_empty() {
        let now = session.context.clock.now();
        let expired = take_expired(&mut session.expiring_workers.borrow_mut(), now);
        for name in &expired {
            if !session.links.borrow().contains_key(name) {
                session.planner.borrow_mut().worker_lease_expired(name);
            }
        }
        if !expired.is_empty() {
            session.decide_notify.notify_one();
        }
        tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
    }
}

/// Removes the leases that have expired and returns their workers.
fn take_expired(
    leases: &mut BTreeMap<WorkerName, ExpiringLease>,
    now: ClockMillis,
) -> Vec<WorkerName> {
    leases.extract_if(.., |_, lease| lease.until <= now).map(|(name, _)| name).collect()
}

/// Polls a worker until it is deregistered and its lease has expired.
async fn poll_repeatedly<P: OwnerPorts>(session: SharedSession<P>, name: WorkerName) {
    loop {
        let Some((address, order)) = next_poll(&session, &name) else {
            tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
            continue;
        };
        let sent_at = session.context.clock.now();
        let answer = session.context.ports.poll(&address, &name, order).await;
        match answer {
            Ok(PollAnswer::Report { clock_ms, report }) => {
                let now = session.context.clock.now();
                if let Some(link) = session.links.borrow_mut().get_mut(&name) {
                    link.lease.observe(clock_ms, report.incarnation, now);
                    if link.poll_failure.take().is_some() {
                        hold_starts(&session, &name, link);
                    }
                }
                for end in &report.ended {
                    record_run_end(&session, &name, end);
                }
                session.planner.borrow_mut().apply_report(&name, &report, sent_at.0, now.0);
                session.decide_notify.notify_one();
                if needs_no_polls(&session, &name, &report) {
                    log::info!("worker without runs not polled any more worker={name}");
                    remove_link(&session, &name);
                    return;
                }
                if let Some(last) = report.ended.last() {
                    wait_until_stored(&session, &name, last.number).await;
                } else if report.running.is_empty() {
                    wait_while_idle(&session, &name).await;
                }
                // Such polls are not held by the worker.
                if is_extension_held(&session, &name) {
                    tokio::time::sleep(limits::MIN_RENEW_INTERVAL).await;
                }
            }
            Ok(PollAnswer::Fenced) => {
                session.end_ownership("fenced-by-worker");
                return;
            }
            Ok(PollAnswer::Rejected(reason)) => {
                if !record_poll_failure(&session, &name, PollFailure::Rejected, &reason) {
                    return;
                }
                tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
            }
            Err(error) => {
                let reason = failure::format_one_line(&error);
                if !record_poll_failure(&session, &name, PollFailure::Unanswered, &reason) {
                    return;
                }
                tokio::time::sleep(limits::POLL_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether a worker that has just reported needs no further polls: it is not registered,
/// and nothing of any owner can be present on it.
fn needs_no_polls<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
    report: &RunReport,
) -> bool {
    let is_registered = session.links.borrow().get(name).is_some_and(|link| link.is_registered);
    let is_empty = !report.is_partial && report.running.is_empty() && report.ended.is_empty();
    let no_runs = InheritedRuns::OfJobs(BTreeSet::new());
    !is_registered && is_empty && session.planner.borrow().possible_runs(name) == no_runs
}

/// Ends the polls of a worker on which nothing can be present.
fn remove_link<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) {
    session.planner.borrow_mut().worker_lease_expired(name);
    if let Some(link) = session.links.borrow_mut().remove(name) {
        link.cancellation.cancel();
    }
}

fn is_extension_held<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) -> bool {
    session.links.borrow().get(name).is_some_and(|link| link.is_extension_held)
}

/// Waits until a run end may be acknowledged. A worker answers a poll at once while it has
/// ends that are not acknowledged, so an earlier poll would only return the same report.
async fn wait_until_stored<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
    number: u64,
) {
    let stored = async {
        while session.planner.borrow().ack_up_to(name) < number {
            session.stored_notify.notified().await;
        }
    };
    if tokio::time::timeout(limits::MAX_ACK_WAIT, stored).await.is_err() {
        log::debug!("run ends not stored yet worker={name} number={number}");
    }
}

/// Waits before the next poll of an idle worker, so that idle workers of a large fleet do not
/// take the owner's time. Until a task is started there, nothing needs a report or a lease.
async fn wait_while_idle<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName) {
    let (started_notify, workers) = {
        let links = session.links.borrow();
        let Some(link) = links.get(name) else { return };
        (link.started_notify.clone(), links.len())
    };
    let interval = Duration::from_secs(1) * u32::try_from(workers).unwrap_or(u32::MAX)
        / limits::MAX_IDLE_POLLS_PER_S;
    let pause = interval.min(limits::MAX_IDLE_POLL_INTERVAL).saturating_sub(limits::MAX_POLL_WAIT);
    if pause.is_zero() || session.planner.borrow().has_runs(name) {
        return;
    }
    if tokio::time::timeout(pause, started_notify.notified()).await.is_ok() {
        log::debug!("task started on idle worker worker={name}");
    }
}

/// Logs and counts a run end. Tasks that are done get a debug line only.
fn record_run_end<P: OwnerPorts>(session: &SharedSession<P>, name: &WorkerName, end: &EndedRun) {
    let level = if end.kind == EndKind::Done { log::Level::Debug } else { log::Level::Info };
    log::log!(
        level,
        "run ended job={} task={} run={} worker={name} end={:?} number={}",
        end.task.step.job,
        end.task,
        end.run,
        end.kind,
        end.number
    );
    let label = metrics::label("kind", format!("{:?}", end.kind));
    session.context.metrics.run_ends.add(1, &[label]);
}

/// Returns the next poll of a worker and its address; none while leases may not be extended.
fn next_poll<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<(ArcStr, PollOrder)> {
    if !session.may_extend_leases() {
        return None;
    }
    let now = session.context.clock.now();
    let mut links = session.links.borrow_mut();
    let link = links.get_mut(name)?;
    // A poll without an answer may still extend the lease. Polls of an unreachable worker
    // carry no deadline, as its lease must expire at some time.
    let may_extend = link.poll_failure.is_none() && !link.is_extension_held;
    let deadline_ms = if may_extend { link.lease.next_deadline(now) } else { None };
    // Without a deadline the poll only reads the worker's clock and must not be held.
    let max_wait = if deadline_ms.is_some() { limits::MAX_POLL_WAIT } else { Duration::ZERO };
    let stamp = OrderStamp { fencing_token: session.term, deadline_ms };
    let planner = session.planner.borrow();
    let ack = planner
        .incarnation(name)
        .map(|incarnation| EndAck { incarnation, up_to: planner.ack_up_to(name) })
        .filter(|ack| ack.up_to > 0);
    Some((link.address.clone(), PollOrder { stamp, ack, max_wait }))
}

/// Records a failed poll. Returns false when the worker is deregistered and its lease has
/// expired, after which it needs no further polls.
fn record_poll_failure<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
    poll_failure: PollFailure,
    reason: &str,
) -> bool {
    let now = session.context.clock.now();
    let (expired, is_registered) = {
        let mut links = session.links.borrow_mut();
        let Some(link) = links.get_mut(name) else { return false };
        if link.poll_failure.replace(poll_failure).is_none() {
            log::warn!("worker does not answer worker={name} error=\"{reason}\"");
        }
        (link.lease.has_expired(now), link.is_registered)
    };
    session.planner.borrow_mut().set_silent(name, true);
    if !expired {
        return true;
    }
    session.decide_notify.notify_one();
    if is_registered {
        session.planner.borrow_mut().worker_lease_expired(name);
        return true;
    }
    log::info!("worker lease expired after deregistration worker={name}");
    remove_link(session, name);
    false
}

/// Waits until an order to a worker may be sent; none if the worker is not known any more.
pub(crate) async fn acquire_order_permit<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<OwnedSemaphorePermit> {
    let orders_in_flight = session.links.borrow().get(name)?.orders_in_flight.clone();
    orders_in_flight.acquire_owned().await.ok()
}

/// Returns a worker's address and the fencing token and lease deadline for a start there.
pub(crate) fn stamp_start<P: OwnerPorts>(
    session: &SharedSession<P>,
    name: &WorkerName,
) -> Option<(ArcStr, OrderStamp)> {
    let now = session.context.clock.now();
    let mut links = session.links.borrow_mut();
    let link = links.get_mut(name)?;
    if link.held_since.is_some() {
        return None;
    }
    let deadline_ms = link.lease.next_deadline(now);
    link.started_notify.notify_one();
    Some((link.address.clone(), OrderStamp { fencing_token: session.term, deadline_ms }))
}
