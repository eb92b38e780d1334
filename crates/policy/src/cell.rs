//! The cell: the scheduling state of one failure domain, and how it handles an event.

use std::collections::{BTreeSet, VecDeque};

use model::job::JobRecord;
use model::name::{DomainName, JobId, TaskId, TeamName};
use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::attempt::StopBatch;
use crate::catalog::Catalog;
use crate::event::{CellDecision, CellEvent, SlotRequest, TicketNumber};
use crate::gang::GangReservation;
use crate::hold::HoldTable;
use crate::job::JobTable;
use crate::map::FixedMap;
use crate::placement::{BestFit, PlacementRule};
use crate::pool::WorkerPool;
use crate::request::RequestTable;
use crate::rules::PolicyRules;
use crate::team::TeamLedger;
use crate::timer::TimerQueue;

/// Scheduling state of one failure domain: workers, queues, jobs and teams.
#[derive(Debug)]
pub struct Cell<R: PlacementRule = BestFit> {
    pub(crate) domain: DomainName,
    pub(crate) placement_rule: R,
    pub(crate) rules: PolicyRules,
    /// Highest attempt number that an earlier owner may have used for any task.
    pub(crate) attempt_base: u32,
    pub(crate) now: ClockMillis,
    pub(crate) catalog: Catalog,
    pub(crate) pool: WorkerPool,
    pub(crate) teams: TeamLedger,
    pub(crate) holds: HoldTable,
    pub(crate) requests: RequestTable,
    pub(crate) jobs: JobTable,
    /// Workers that are reserved for a gang, if any.
    pub(crate) gang_reservation: Option<GangReservation>,
    pub(crate) timers: TimerQueue,
    /// Stops to order in this and later events.
    pub(crate) pending_stops: VecDeque<StopBatch>,
    /// Jobs to move to other domains, because this one is out.
    pub(crate) pending_moves: VecDeque<JobId>,
    pub(crate) domain_out_since: Option<ClockMillis>,
    /// Whether every worker of the first configuration has reported or was lost.
    /// A worker that is added later cannot run tasks of jobs that come later.
    pub(crate) had_all_reports: bool,
    /// Sum of the weights of active teams, computed once in each placement pass.
    pub(crate) active_weight: Option<f64>,
    /// Whether waiting work may fit that did not fit before.
    pub(crate) needs_placement: bool,
    /// Tasks and requests that the current placement pass may still start.
    pub(crate) starts_left: usize,
    /// Whether no task may be started now, by [`CellEvent::StartsHeld`].
    pub(crate) starts_held: bool,
    /// Preemptions that have not ended, one for each request or task that gets the room.
    pub(crate) preemptions_in_flight: usize,
    /// No share is reclaimed before this instant.
    pub(crate) next_reclaim_at: ClockMillis,
    /// Requests of an earlier owner that wait for the configuration.
    pub(crate) imported_requests: VecDeque<SlotRequest>,
    /// Milliseconds since the start of attempts that an earlier owner started.
    pub(crate) imported_ages: FixedMap<(TaskId, u32), u64>,
    /// Request that arrived in this event; it is refused if its deadline cannot be met.
    pub(crate) arrived_ticket: Option<TicketNumber>,
    pub(crate) decisions: Vec<CellDecision>,
}

impl Cell {
    /// Creates the cell of a domain that knows no configuration yet.
    ///
    /// `attempt_base` must not be below any attempt that an earlier owner of the
    /// domain may have used for a task that no worker reports; 0 for the first owner.
    ///
    /// The cell cannot know of workers that were removed from the configuration
    /// before its first event. Until their leases have expired, what they run is
    /// counted only if the earlier owner handed over with [`Cell::export`].
    #[must_use]
    pub fn new(domain: DomainName, seed: u64, attempt_base: u32) -> Self {
        Self::with_rule(domain, seed, attempt_base, BestFit, PolicyRules::ALL)
    }
}

impl<R: PlacementRule> Cell<R> {
    /// Creates a cell with a placement rule and with some policy rules switched off.
    #[must_use]
    pub fn with_rule(
        domain: DomainName,
        seed: u64,
        attempt_base: u32,
        rule: R,
        rules: PolicyRules,
    ) -> Self {
        Self {
            domain,
            placement_rule: rule,
            rules,
            attempt_base,
            now: ClockMillis(0),
            catalog: Catalog::default(),
            pool: WorkerPool::new(seed),
            teams: TeamLedger::default(),
            holds: HoldTable::default(),
            requests: RequestTable::default(),
            jobs: JobTable::default(),
            gang_reservation: None,
            timers: TimerQueue::default(),
            pending_stops: VecDeque::new(),
            pending_moves: VecDeque::new(),
            domain_out_since: None,
            had_all_reports: false,
            active_weight: None,
            needs_placement: false,
            starts_left: 0,
            starts_held: false,
            preemptions_in_flight: 0,
            next_reclaim_at: ClockMillis(0),
            imported_requests: VecDeque::new(),
            imported_ages: FixedMap::default(),
            arrived_ticket: None,
            decisions: Vec::new(),
        }
    }

    /// Applies one event and returns the resulting decisions in order.
    ///
    /// Large amounts of work are spread over several events to keep each call short;
    /// a [`CellEvent::Tick`] every 50 ms or so continues them.
    pub fn apply(&mut self, now: ClockMillis, event: CellEvent) -> Vec<CellDecision> {
        // A clock value that goes back must not prolong leases or waits.
        self.now = self.now.max(now);
        self.apply_event(event);
        self.run_timers();
        self.refuse_expired_requests();
        self.run_stops();
        self.run_moves();
        if self.needs_placement {
            self.place_waiting_work();
        }
        self.refuse_late_arrival();
        std::mem::take(&mut self.decisions)
    }

    fn apply_event(&mut self, event: CellEvent) {
        match event {
            CellEvent::Config(set) => self.apply_config(&set),
            CellEvent::Allotment { team, amounts } => self.apply_allotment(&team, amounts),
            CellEvent::WorkerReported(update) => self.apply_report(update),
            CellEvent::WorkerSilent(worker) => self.mark_worker_silent(&worker),
            CellEvent::WorkerLost(worker) => self.mark_worker_lost(&worker),
            CellEvent::WorkerLeaving(worker) => self.mark_worker_leaving(&worker),
            CellEvent::JobSubmitted(record) => self.submit_job(record),
            CellEvent::JobCancelled(job) => self.cancel_job(&job),
            CellEvent::StartConfirmed { task, attempt } => self.confirm_start(&task, attempt),
            CellEvent::StartRefused { task, attempt } => self.handle_start_refusal(&task, attempt),
            CellEvent::TaskEnded { task, attempt, worker, end } => {
                self.end_task(&task, attempt, &worker, end);
            }
            CellEvent::RequestArrived(request) => self.enqueue_request(request),
            CellEvent::RequestEnded { ticket, healthy } => self.end_request(ticket, healthy),
            CellEvent::StartsHeld(held) => {
                self.needs_placement |= self.starts_held && !held;
                self.starts_held = held;
            }
            CellEvent::Tick => {}
        }
    }

    /// Returns what a team may be using now: its running tasks, starts without confirmation
    /// and granted requests, and all that may run on workers that have not reported.
    #[must_use]
    pub fn team_usage(&self, team: &TeamName) -> ResourceAmounts {
        let used =
            self.teams.find(team).map_or(ResourceAmounts::ZERO, |index| self.teams.get(index).used);
        used.plus(self.unattributed_usage())
    }

    /// Returns what may be in use without a known team; it counts for every team.
    pub(crate) fn unattributed_usage(&self) -> ResourceAmounts {
        self.pool.unreported_capacity.plus(self.pool.inherited)
    }

    /// Returns the number of waiting requests and of jobs with tasks to start.
    #[must_use]
    pub fn waiting_len(&self, urgency: UrgencyLevel) -> usize {
        self.requests.waiting_count(urgency) + self.jobs.ready_len(urgency)
    }

    /// Returns a job's record with the tasks that are done, or `None` if the cell does
    /// not run the job or the job has ended.
    #[must_use]
    pub fn job_record(&self, job: &JobId) -> Option<JobRecord> {
        let entry = self.jobs.jobs.get(job)?;
        Some(JobRecord { done: entry.done_indices(), ..(*entry.record).clone() })
    }

    /// Returns whether the configuration is known and every worker has reported or is lost.
    #[must_use]
    pub fn has_all_reports(&self) -> bool {
        self.catalog.set.is_some() && self.pool.unreported_count == 0
    }

    /// Returns whether nothing may be granted or started: without a configuration, or
    /// while the domain is out.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.catalog.set.is_none() || self.domain_out_since.is_some()
    }

    /// Lets jobs start that waited for all workers to report, once these have.
    pub(crate) fn check_all_reports(&mut self) {
        self.needs_placement = true;
        if !self.has_all_reports() {
            return;
        }
        self.had_all_reports = true;
        let jobs: BTreeSet<JobId> =
            std::mem::take(&mut self.jobs.awaiting_reports).into_iter().collect();
        for id in jobs {
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.awaits_reports = false;
                self.jobs.refresh_ready(&id);
            }
        }
    }
}
