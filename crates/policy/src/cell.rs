//! The cell: workers, queues, jobs and teams of one failure domain.

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

/// All control state of one failure domain.
#[derive(Debug)]
pub struct Cell<R: PlacementRule = BestFit> {
    pub(crate) domain: DomainName,
    pub(crate) placement_rule: R,
    pub(crate) rules: PolicyRules,
    pub(crate) attempt_base: u32,
    pub(crate) now: ClockMillis,
    pub(crate) catalog: Catalog,
    pub(crate) pool: WorkerPool,
    pub(crate) teams: TeamLedger,
    pub(crate) holds: HoldBook,
    pub(crate) requests: RequestDesk,
    pub(crate) jobs: JobBook,
    pub(crate) gang_reservation: Option<GangReservation>,
    pub(crate) timers: TimerQueue,
    pub(crate) pending_stops: VecDeque<StopBatch>,
    /// Jobs that leave a domain that was taken out.
    pub(crate) pending_moves: VecDeque<JobId>,
    pub(crate) domain_out_since: Option<ClockMillis>,
    /// Whether every worker of the first configuration has reported or was lost.
    /// A worker that is added later cannot run tasks of jobs that come later.
    pub(crate) was_settled: bool,
    /// Sum of the weights of active teams in the present pass.
    pub(crate) active_weight: Option<f64>,
    /// Whether waiting work may fit that did not fit before.
    pub(crate) needs_placement: bool,
    pub(crate) starts_left: usize,
    /// Whether no task may be started at present.
    pub(crate) starts_held: bool,
    /// Preemptions in flight, counted by the work for which they make room.
    pub(crate) preemptions_in_flight: usize,
    /// No share is reclaimed before this instant.
    pub(crate) next_reclaim_at: ClockMillis,
    /// Requests of an earlier owner that wait for the configuration.
    pub(crate) imported_requests: VecDeque<RequestAsk>,
    /// Milliseconds that tasks of an earlier owner had run.
    pub(crate) imported_ages: FixedMap<(TaskId, u32), u64>,
    /// Request of this event, for the check of its deadline.
    pub(crate) arrived_ticket: Option<TicketNumber>,
    pub(crate) out: Vec<CellDecision>,
}

impl Cell {
    /// Creates the cell of a domain that knows no configuration yet.
    ///
    /// `attempt_base` must be above every attempt that an earlier owner of the
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
    /// Creates a cell that places by `rule` and follows only the `rules` that are on.
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
            holds: HoldBook::default(),
            requests: RequestDesk::default(),
            jobs: JobBook::default(),
            gang_reservation: None,
            timers: TimerQueue::default(),
            pending_stops: VecDeque::new(),
            pending_moves: VecDeque::new(),
            domain_out_since: None,
            was_settled: false,
            active_weight: None,
            needs_placement: false,
            starts_left: 0,
            starts_held: false,
            preemptions_in_flight: 0,
            next_reclaim_at: ClockMillis(0),
            imported_requests: VecDeque::new(),
            imported_ages: FixedMap::default(),
            arrived_ticket: None,
            out: Vec::new(),
        }
    }

    /// Takes one event and returns what is decided now, in order.
    ///
    /// Large amounts of work are spread over several events, so that one call
    /// stays short; a [`CellEvent::Tick`] every 50 ms or so takes it further.
    pub fn apply(&mut self, now: ClockMillis, event: CellEvent) -> Vec<CellDecision> {
        // A clock that seems to go back must not make leases or waits longer.
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

    /// Returns what a team uses now: running, started and not confirmed, granted,
    /// and what may run on workers that have not reported.
    #[must_use]
    pub fn team_usage(&self, team: &TeamName) -> ResourceAmounts {
        let used =
            self.teams.find(team).map_or(ResourceAmounts::ZERO, |index| self.teams.get(index).used);
        used.plus(self.unattributed_usage())
    }

    /// Returns what may be in use without being known to belong to one team.
    pub(crate) fn unattributed_usage(&self) -> ResourceAmounts {
        self.pool.unreported_capacity.plus(self.pool.inherited)
    }

    /// Returns how much work of an urgency waits: requests, and jobs with tasks to start.
    #[must_use]
    pub fn waiting_len(&self, urgency: UrgencyLevel) -> usize {
        self.requests.active_len(urgency) + self.jobs.ready_len(urgency)
    }

    /// Returns a job's record with the tasks that have ended well; none if the
    /// cell does not run the job or it is over.
    #[must_use]
    pub fn job_record(&self, job: &JobId) -> Option<JobRecord> {
        let entry = self.jobs.jobs.get(job)?;
        Some(JobRecord { done: entry.done_indices(), ..(*entry.record).clone() })
    }

    /// Tells whether the configuration is known and every worker has reported or is lost.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.catalog.set.is_some() && self.pool.unreported_count == 0
    }

    /// Tells whether nothing may be granted or started.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.catalog.set.is_none() || self.domain_out_since.is_some()
    }

    pub(crate) fn recheck_settled(&mut self) {
        self.needs_placement = true;
        if !self.is_settled() {
            return;
        }
        self.was_settled = true;
        let jobs: BTreeSet<JobId> =
            std::mem::take(&mut self.jobs.awaiting_reports).into_iter().collect();
        for id in jobs {
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.awaits_reports = false;
                self.jobs.refresh(&id);
            }
        }
    }
}
