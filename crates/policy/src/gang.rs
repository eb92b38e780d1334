//! Gangs: jobs whose tasks start all together or not at all.

use model::name::JobId;
use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::cell::Cell;
use crate::event::PlacementReason;
use crate::hold::{HoldId, VictimKey};
use crate::index::WorkerIndex;
use crate::job::JobEntry;
use crate::placement::PlacementRule;
use crate::rules;
use crate::schedule::PlaceOutcome;
use crate::team::TeamIndex;
use crate::timer::TimerKind;

/// Run time in milliseconds that is assumed for running tasks which declare none. While
/// a gang waits for such a task, no longer task may backfill the gang's workers.
const ASSUMED_RUN_MS: u64 = 3_600_000;

/// Workers that are reserved for one gang.
///
/// Only one gang of a domain has a reservation at a time; two could each hold a part
/// of the workers and keep each other from starting.
#[derive(Clone, Debug)]
pub(crate) struct GangReservation {
    pub(crate) job: JobId,
    pub(crate) urgency: UrgencyLevel,
    workers: Vec<WorkerIndex>,
    /// When the gang will fit on the reserved workers by the declared run times.
    pub(crate) expected_start_at: ClockMillis,
    refreshed_at: ClockMillis,
}

/// What a gang needs in order to start.
#[derive(Clone, Copy, Debug)]
struct GangRequest {
    team: TeamIndex,
    urgency: UrgencyLevel,
    /// What one task reserves.
    amounts: ResourceAmounts,
    /// Tasks that have to start.
    waiting: u64,
}

impl<R: PlacementRule> Cell<R> {
    /// Starts all waiting tasks of a gang if they fit together. Otherwise, stops its
    /// running tasks and reserves workers, a new reservation only if `may_reserve` is set.
    pub(crate) fn try_start_gang(
        &mut self,
        id: &JobId,
        amounts: ResourceAmounts,
        may_reserve: bool,
    ) -> PlaceOutcome {
        let now = self.now;
        let Some(job) = self.jobs.jobs.get_mut(id) else { return PlaceOutcome::NoRoom };
        if job.gang_tried_at.is_some_and(|at| now.since(at) < rules::GANG_RETRY_INTERVAL_MS) {
            return PlaceOutcome::NoRoom;
        }
        let Some(class) = job.class else { return PlaceOutcome::NoRoom };
        let waiting = u64::from(job.waiting);
        let request = GangRequest { team: job.team, urgency: class.urgency, amounts, waiting };
        if !self.has_headroom(request.team, amounts.times(waiting)) {
            self.stop_incomplete_gang(id);
            self.release_gang(id);
            return PlaceOutcome::NoAllotment;
        }
        if let Some(workers) = self.choose_gang_workers(id, &request) {
            self.start_gang(id, amounts, workers);
            return PlaceOutcome::Placed;
        }
        if let Some(job) = self.jobs.jobs.get_mut(id) {
            job.gang_tried_at = Some(now);
        }
        self.timers.set(now + rules::GANG_RETRY_INTERVAL_MS, TimerKind::Placement);
        self.stop_incomplete_gang(id);
        self.reserve_for_gang(id, &request, may_reserve);
        PlaceOutcome::NoRoom
    }

    /// Releases the reservation of a gang that has no waiting tasks any more.
    pub(crate) fn release_stale_gang(&mut self) {
        let Some(gang) = &self.gang_reservation else { return };
        let id = gang.job.clone();
        let job = self.jobs.jobs.get(&id);
        if !job.is_some_and(|job| job.is_gang() && job.waiting > 0) {
            self.release_gang(&id);
        }
    }

    /// Returns a worker for each waiting task of a gang, or `None` if not all fit now.
    fn choose_gang_workers(
        &mut self,
        id: &JobId,
        request: &GangRequest,
    ) -> Option<Vec<(WorkerIndex, PlacementReason)>> {
        if !request.amounts.times(request.waiting).fits_in(self.pool.free) {
            return None;
        }
        let may_use_reserved = self
            .gang_reservation
            .as_ref()
            .is_none_or(|gang| gang.job == *id || request.urgency < gang.urgency);
        let query = self.worker_query(request.amounts, may_use_reserved, &[]);
        let mut choices = Vec::new();
        for _ in 0..request.waiting {
            let Some(choice) = self.pool.choose(&self.placement_rule, &query) else { break };
            self.pool.edit(choice.0, |entry| entry.reserved = entry.reserved.plus(request.amounts));
            choices.push(choice);
        }
        // These reservations served the search only; each task reserves when it starts.
        for (worker, _) in &choices {
            self.pool.edit(*worker, |entry| entry.reserved = entry.reserved.minus(request.amounts));
        }
        (choices.len() as u64 == request.waiting).then_some(choices)
    }

    fn start_gang(
        &mut self,
        id: &JobId,
        amounts: ResourceAmounts,
        workers: Vec<(WorkerIndex, PlacementReason)>,
    ) {
        for (worker, reason) in workers {
            let next = self.jobs.jobs.get_mut(id).and_then(JobEntry::next_waiting);
            let Some(index) = next else { break };
            self.start_task(id, index, worker, amounts, reason);
        }
        self.release_gang(id);
    }

    /// Stops the running tasks of a gang whose other tasks ended and cannot start again now.
    fn stop_incomplete_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.jobs.get(id) else { return };
        let running: Vec<HoldId> = job.running.values().copied().collect();
        for hold in running {
            self.stop_by_class(hold, "gang-incomplete");
        }
    }

    /// Reserves workers for a gang, or refreshes its reservation when that is due. Takes
    /// the place of a reservation for a less urgent gang.
    fn reserve_for_gang(&mut self, id: &JobId, request: &GangRequest, may_reserve: bool) {
        if !may_reserve && self.gang_reservation.as_ref().is_none_or(|gang| gang.job != *id) {
            return;
        }
        if let Some(gang) = &self.gang_reservation {
            if gang.job != *id && gang.urgency <= request.urgency {
                return;
            }
            let is_fresh = self.now.since(gang.refreshed_at) < rules::GANG_RESERVATION_REFRESH_MS;
            if gang.job == *id && is_fresh {
                return;
            }
            let holder = gang.job.clone();
            let is_usable = gang.workers.iter().all(|worker| self.pool.get(*worker).takes_work());
            if holder == *id && is_usable {
                self.refresh_reservation(request);
                return;
            }
            self.release_gang(&holder);
        }
        let Some(workers) = self.choose_reserved_workers(request) else { return };
        for worker in &workers {
            self.pool.edit(*worker, |entry| entry.is_gang_reserved = true);
        }
        let now = self.now;
        self.gang_reservation = Some(GangReservation {
            job: id.clone(),
            urgency: request.urgency,
            workers,
            expected_start_at: now,
            refreshed_at: now,
        });
        self.refresh_reservation(request);
    }

    /// Chooses workers that could hold the gang [`rules::GANG_RESERVATION_FACTOR`] times once
    /// drained, or all workers if they hold it fewer times. Returns `None` if they do
    /// not hold it once.
    fn choose_reserved_workers(&self, request: &GangRequest) -> Option<Vec<WorkerIndex>> {
        let mut workers = Vec::new();
        let mut tasks: u64 = 0;
        for worker in self.pool.workers_by_free_cpu(request.amounts) {
            let entry = self.pool.get(worker);
            tasks = tasks.saturating_add(count_fitting(
                request.amounts,
                entry.capacity.minus(entry.service_reserved),
            ));
            workers.push(worker);
            if tasks >= request.waiting.saturating_mul(rules::GANG_RESERVATION_FACTOR) {
                break;
            }
        }
        (tasks >= request.waiting).then_some(workers)
    }

    /// Preempts tasks on the reserved workers until the gang will fit, and estimates
    /// from the declared run times when it can start.
    fn refresh_reservation(&mut self, request: &GangRequest) {
        let Some(gang) = &self.gang_reservation else { return };
        let now = self.now;
        let mut capacity = GangCapacity::new(request);
        let mut tasks: Vec<(VictimKey, usize, HoldId)> = Vec::new();
        for (position, worker) in gang.workers.iter().enumerate() {
            let entry = self.pool.get(*worker);
            capacity.add_worker(entry.free());
            for id in entry.tasks.values() {
                let Some(hold) = self.holds.get(*id) else { continue };
                if hold.stop.is_some() {
                    capacity.add_freed(position, hold.amounts);
                } else {
                    tasks.push((hold.victim_key(*id), position, *id));
                }
            }
        }
        tasks.sort_unstable();
        let active = self.active_weight();
        let mut rest: Vec<(ClockMillis, usize, ResourceAmounts)> = Vec::new();
        for (_, position, id) in tasks {
            let Some(hold) = self.holds.get(id) else { continue };
            let amounts = hold.amounts;
            let ends_at = hold.ends_at.unwrap_or(hold.started_at + ASSUMED_RUN_MS);
            if !capacity.is_enough() && self.can_preempt_for_gang(id, request, active) {
                self.preempt_task(id, "preempted-by-gang", None);
                capacity.add_freed(position, amounts);
            } else {
                rest.push((ends_at.max(now), position, amounts));
            }
        }
        rest.sort_unstable_by_key(|(ends_at, position, _)| (*ends_at, *position));
        let mut expected_start_at = now;
        for (ends_at, position, amounts) in rest {
            if capacity.is_enough() {
                break;
            }
            expected_start_at = ends_at;
            capacity.add_freed(position, amounts);
        }
        if let Some(gang) = &mut self.gang_reservation {
            gang.expected_start_at = expected_start_at;
            gang.refreshed_at = now;
        }
    }

    /// Returns whether a running task may be preempted for the gang.
    fn can_preempt_for_gang(&self, id: HoldId, request: &GangRequest, active: f64) -> bool {
        let Some(hold) = self.holds.get(id) else { return false };
        let can_stop = hold.stop.is_none() && hold.protected_until <= self.now;
        if !self.rules.preemption || !hold.class.preemptible || !can_stop {
            return false;
        }
        if request.urgency == UrgencyLevel::Urgent && hold.class.urgency > request.urgency {
            return true;
        }
        let account = self.teams.get(request.team);
        let with_gang = account.used.plus(request.amounts.times(request.waiting));
        self.rules.fair_share
            && hold.team != request.team
            && hold.class.urgency >= request.urgency
            && with_gang.dominant_share(self.pool.total_capacity)
                <= self.entitlement(request.team, active)
            && self.stays_above_share(hold.team, hold.amounts, active)
    }

    /// Releases the reservation of a job, if it has one.
    pub(crate) fn release_gang(&mut self, id: &JobId) {
        if self.gang_reservation.as_ref().is_none_or(|gang| gang.job != *id) {
            return;
        }
        let Some(gang) = self.gang_reservation.take() else { return };
        for worker in gang.workers {
            self.pool.edit(worker, |entry| entry.is_gang_reserved = false);
        }
        self.needs_placement = true;
    }
}

/// How many tasks of a gang fit on its reserved workers.
#[derive(Debug)]
struct GangCapacity {
    amounts: ResourceAmounts,
    waiting: u64,
    /// Free resources of each reserved worker.
    free: Vec<ResourceAmounts>,
    /// Tasks that fit on all of them.
    tasks: u64,
}

impl GangCapacity {
    fn new(request: &GangRequest) -> Self {
        Self { amounts: request.amounts, waiting: request.waiting, free: Vec::new(), tasks: 0 }
    }

    fn add_worker(&mut self, free: ResourceAmounts) {
        self.free.push(free);
        self.tasks = self.tasks.saturating_add(count_fitting(self.amounts, free));
    }

    fn add_freed(&mut self, position: usize, amounts: ResourceAmounts) {
        let before = count_fitting(self.amounts, self.free[position]);
        self.free[position] = self.free[position].plus(amounts);
        let gained = count_fitting(self.amounts, self.free[position]).saturating_sub(before);
        self.tasks = self.tasks.saturating_add(gained);
    }

    fn is_enough(&self) -> bool {
        self.tasks >= self.waiting
    }
}

/// Returns how many times `amounts` fits into `free`.
fn count_fitting(amounts: ResourceAmounts, free: ResourceAmounts) -> u64 {
    let pairs = amounts.as_array().into_iter().zip(free.as_array());
    let counts = pairs.filter(|(amount, _)| *amount > 0).map(|(amount, free)| free / amount);
    counts.min().unwrap_or(u64::MAX)
}
