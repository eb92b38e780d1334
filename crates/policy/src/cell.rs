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
    pub(crate) rule: R,
    pub(crate) rules: PolicyRules,
    pub(crate) attempt_base: u32,
    pub(crate) now: ClockMillis,
    pub(crate) catalog: Catalog,
    pub(crate) pool: WorkerPool,
    pub(crate) teams: TeamLedger,
    pub(crate) holds: HoldTable,
    pub(crate) requests: RequestTable,
    pub(crate) jobs: JobTable,
    pub(crate) gang: Option<GangReservation>,
    pub(crate) timers: TimerQueue,
    pub(crate) stops: VecDeque<StopBatch>,
    /// Jobs that leave a domain that was taken out.
    pub(crate) moves: VecDeque<JobId>,
    pub(crate) out_since: Option<ClockMillis>,
    /// Whether every worker of the first configuration has reported or was lost.
    /// A worker that is added later cannot run tasks of jobs that come later.
    pub(crate) settled_once: bool,
    /// Sum of the weights of active teams in the present pass.
    pub(crate) active_weight: Option<f64>,
    /// Whether waiting work may fit that did not fit before.
    pub(crate) stale: bool,
    pub(crate) starts_left: usize,
    /// Whether no task may be started at present.
    pub(crate) starts_held: bool,
    /// Preemptions in flight, counted by the work for which they make room.
    pub(crate) relief: usize,
    /// No share is reclaimed before this instant.
    pub(crate) reclaim_after: ClockMillis,
    /// Requests of an earlier owner that wait for the configuration.
    pub(crate) imported: VecDeque<SlotRequest>,
    /// Milliseconds that tasks of an earlier owner had run.
    pub(crate) ages: FixedMap<(TaskId, u32), u64>,
    /// Request of this event, for the check of its deadline.
    pub(crate) arrived: Option<TicketNumber>,
    pub(crate) decisions: Vec<CellDecision>,
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
            rule,
            rules,
            attempt_base,
            now: ClockMillis(0),
            catalog: Catalog::default(),
            pool: WorkerPool::new(seed),
            teams: TeamLedger::default(),
            holds: HoldTable::default(),
            requests: RequestTable::default(),
            jobs: JobTable::default(),
            gang: None,
            timers: TimerQueue::default(),
            stops: VecDeque::new(),
            moves: VecDeque::new(),
            out_since: None,
            settled_once: false,
            active_weight: None,
            stale: false,
            starts_left: 0,
            starts_held: false,
            relief: 0,
            reclaim_after: ClockMillis(0),
            imported: VecDeque::new(),
            ages: FixedMap::default(),
            arrived: None,
            decisions: Vec::new(),
        }
    }

    /// Takes one event and returns what is decided now, in order.
    ///
    /// Large amounts of work are spread over several events, so that one call
    /// stays short; a [`CellEvent::Tick`] every 50 ms or so takes it further.
    pub fn apply(&mut self, now: ClockMillis, event: CellEvent) -> Vec<CellDecision> {
        // A clock that seems to go back must not make leases or waits longer.
        self.now = self.now.max(now);
        self.take_event(event);
        self.run_timers();
        self.refuse_expired();
        self.run_stops();
        self.run_moves();
        if self.stale {
            self.place_waiting();
        }
        self.refuse_late_arrival();
        std::mem::take(&mut self.decisions)
    }

    fn take_event(&mut self, event: CellEvent) {
        match event {
            CellEvent::Config(set) => self.apply_config(&set),
            CellEvent::Allotment { team, amounts } => self.apply_allotment(&team, amounts),
            CellEvent::WorkerReported(update) => self.worker_reported(update),
            CellEvent::WorkerSilent(worker) => self.worker_silent(&worker),
            CellEvent::WorkerLost(worker) => self.worker_lost(&worker),
            CellEvent::WorkerLeaving(worker) => self.worker_leaving(&worker),
            CellEvent::JobSubmitted(record) => self.job_submitted(record),
            CellEvent::JobCancelled(job) => self.job_cancelled(&job),
            CellEvent::StartConfirmed { task, attempt } => self.start_confirmed(&task, attempt),
            CellEvent::StartRefused { task, attempt } => self.start_refused(&task, attempt),
            CellEvent::TaskEnded { task, attempt, worker, end } => {
                self.task_ended(&task, attempt, &worker, end);
            }
            CellEvent::RequestArrived(ask) => self.request_arrived(ask),
            CellEvent::RequestEnded { ticket, healthy } => self.request_ended(ticket, healthy),
            CellEvent::StartsHeld(held) => {
                self.stale |= self.starts_held && !held;
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
        used.plus(self.unattributed())
    }

    /// Returns what may be in use without being known to belong to one team.
    pub(crate) fn unattributed(&self) -> ResourceAmounts {
        self.pool.uncertain.plus(self.pool.foreign)
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
        self.catalog.set.is_some() && self.pool.uncertain_count == 0
    }

    /// Tells whether nothing may be granted or started.
    pub(crate) fn takes_no_work(&self) -> bool {
        self.catalog.set.is_none() || self.out_since.is_some()
    }

    pub(crate) fn settled_changed(&mut self) {
        self.stale = true;
        if !self.is_settled() {
            return;
        }
        self.settled_once = true;
        let waiting: BTreeSet<JobId> =
            std::mem::take(&mut self.jobs.recovered).into_iter().collect();
        for id in waiting {
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.recovered = false;
                self.jobs.refresh(&id);
            }
        }
    }
}
