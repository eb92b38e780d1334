//! The placement pass: starts waiting jobs and grants waiting requests in policy order.

use model::name::{JobId, QueueName};
use model::object::{ClassKind, UrgencyLevel};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::catalog::{URGENCIES, urgency_rank};
use crate::cell::Cell;
use crate::event::{CellDecision, PlacementReason, SlotRequest, TicketNumber};
use crate::index::WorkerIndex;
use crate::job::JobEntry;
use crate::placement::PlacementRule;
use crate::pool::{WorkerChoice, WorkerIndexList, WorkerQuery};
use crate::preempt::BlockedWork;
use crate::quarantine::WorkerProbe;
use crate::request::RequestGrant;
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;

/// Result of an attempt to place a request, a task or a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceOutcome {
    Placed,
    /// No worker has enough free resources.
    NoRoom,
    /// The team's allotment has no room for it.
    NoAllotment,
}

/// The teams that one step of the pass serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TeamFilter {
    /// Teams that use less than their share.
    BelowShare,
    All,
}

/// The oldest ready jobs of one team, which are tried in turn.
type JobList = SmallVec<[JobId; rules::PLACEMENT_LOOKAHEAD]>;

impl<R: PlacementRule> Cell<R> {
    /// Runs one placement pass. Work that does not fit waits until capacity is freed.
    pub(crate) fn place_waiting_work(&mut self) {
        self.needs_placement = false;
        if self.is_out_of_service() {
            return;
        }
        self.active_weight = None;
        self.release_stale_gang();
        self.starts_left = rules::MAX_STARTS_PER_EVENT;
        for urgency in URGENCIES {
            self.place_requests(urgency);
            if urgency == UrgencyLevel::Urgent {
                self.place_jobs(urgency, TeamFilter::All);
            }
        }
        // Requests and urgent jobs, for which a person waits, are placed by now. For
        // the rest, shares come before urgency: a team below its share is served
        // before a team that borrows unused capacity of others.
        let filters: &[TeamFilter] = if self.rules.fair_share {
            &[TeamFilter::BelowShare, TeamFilter::All]
        } else {
            &[TeamFilter::All]
        };
        for filter in filters {
            self.place_jobs(UrgencyLevel::Normal, *filter);
            self.place_jobs(UrgencyLevel::Batch, *filter);
        }
        if self.starts_left == 0 {
            self.needs_placement = true;
        }
    }

    /// Returns the sort key of a team; the team with the lowest key is served first.
    fn team_sort_key(&self, team: TeamIndex) -> f64 {
        if self.rules.fair_share {
            self.teams.weighted_share(team, self.pool.total_capacity)
        } else {
            0.0
        }
    }

    /// Grants waiting requests of one urgency, by team sort key and arrival.
    fn place_requests(&mut self, urgency: UrgencyLevel) {
        let mut blocked: SmallVec<[QueueName; 8]> = SmallVec::new();
        while self.starts_left > 0 {
            let Some(name) = self.next_queue(urgency_rank(urgency), &blocked) else { return };
            if self.grant_from_queue(&name) != PlaceOutcome::Placed {
                blocked.push(name);
            }
        }
    }

    /// Returns the queue to serve next, except those in `blocked`.
    fn next_queue(&self, rank: usize, blocked: &[QueueName]) -> Option<QueueName> {
        let unblocked = self.requests.active_queues(rank).filter(|name| !blocked.contains(name));
        let keyed = unblocked.filter_map(|name| {
            let queue = self.requests.queues.get(name)?;
            let (arrival, _) = queue.tickets().next()?;
            Some((self.team_sort_key(queue.team), arrival, name))
        });
        let first = keyed
            .min_by(|left, right| left.0.total_cmp(&right.0).then_with(|| left.1.cmp(&right.1)));
        first.map(|(_, _, name)| name.clone())
    }

    /// Grants the first request of a queue for which a worker is found.
    fn grant_from_queue(&mut self, name: &QueueName) -> PlaceOutcome {
        let Some(queue) = self.requests.queues.get(name) else { return PlaceOutcome::NoRoom };
        let (team, urgency, amounts) = (queue.team, queue.urgency, queue.amounts);
        let (waiting, tickets) = (self.requests.queue_len(name), {
            let first = queue.tickets().take(rules::PLACEMENT_LOOKAHEAD);
            first.map(|(_, ticket)| ticket).collect::<SmallVec<[TicketNumber; 8]>>()
        });
        let work = BlockedWork { team, urgency, amounts, waiting, is_request: true, group_size: 1 };
        if !self.has_headroom(team, amounts) {
            self.handle_missing_allotment(&work);
            return PlaceOutcome::NoAllotment;
        }
        for ticket in tickets {
            if self.try_grant(ticket, team, amounts) {
                return PlaceOutcome::Placed;
            }
        }
        self.make_room(&work);
        PlaceOutcome::NoRoom
    }

    /// Grants a waiting request if a worker is found for it.
    fn try_grant(
        &mut self,
        ticket: TicketNumber,
        team: TeamIndex,
        amounts: ResourceAmounts,
    ) -> bool {
        let Some(waiting) = self.requests.waiting.get(&ticket) else { return false };
        let names = waiting.request.avoid.iter();
        let avoid: WorkerIndexList = names.filter_map(|name| self.pool.find(name)).collect();
        let query = self.worker_query(amounts, true, &avoid);
        let Some((worker, reason)) = self.pool.choose_slot(&query).or_else(|| {
            // A person waits for the answer, so a quarantined worker is better than none.
            self.pool.find_probe_worker(amounts, &avoid).map(|worker| (worker, probe_reason()))
        }) else {
            return false;
        };
        let Some(waiting) = self.requests.remove(ticket) else { return false };
        self.grant_request(&waiting.request, team, amounts, worker, reason);
        true
    }

    /// Reserves a slot for a request on a worker and grants it.
    fn grant_request(
        &mut self,
        request: &SlotRequest,
        team: TeamIndex,
        amounts: ResourceAmounts,
        worker: WorkerIndex,
        reason: PlacementReason,
    ) {
        let ticket = request.ticket;
        if self.arrived_ticket != Some(ticket) {
            self.requests.record_grant(&request.queue, self.now);
        }
        let settled_at = request.start_by.max(self.now) + rules::GRANT_SETTLE_MS;
        self.requests
            .grants
            .insert(ticket, RequestGrant { worker, team, amounts, settled_at, holds_slot: true });
        self.pool.edit(worker, |entry| {
            entry.reserved = entry.reserved.plus(amounts);
            entry.grants.insert(ticket, settled_at);
            if let Some(state) = &mut entry.quarantine {
                state.probe = WorkerProbe::Request(ticket);
            }
        });
        let account = self.teams.get_mut(team);
        account.used = account.used.plus(amounts);
        self.starts_left -= 1;
        let (team, worker) = (account.name.clone(), self.pool.get(worker).name.clone());
        self.decisions.push(CellDecision::GrantRequest { ticket, worker, team, reason });
    }

    /// Places tasks and gangs of one urgency, by team sort key and arrival.
    fn place_jobs(&mut self, urgency: UrgencyLevel, filter: TeamFilter) {
        if self.starts_held {
            return;
        }
        let rank = urgency_rank(urgency);
        let mut blocked: SmallVec<[TeamIndex; 16]> = SmallVec::new();
        // Cleared once a single task found no room: a gang that comes later must not
        // reserve the workers that this task waits for.
        let mut may_reserve = true;
        while self.starts_left > 0 && self.jobs.ready_len(urgency) > 0 {
            let Some(team) = self.next_team(rank, &blocked, filter) else { return };
            if !self.place_for_team(team, urgency, &mut may_reserve) {
                blocked.push(team);
            }
        }
    }

    /// Returns the team to serve next, except those in `blocked`.
    fn next_team(
        &mut self,
        rank: usize,
        blocked: &[TeamIndex],
        filter: TeamFilter,
    ) -> Option<TeamIndex> {
        let active = self.active_weight();
        let unblocked = self.teams.indices().filter(|team| !blocked.contains(team));
        let unblocked = unblocked
            .filter(|team| filter == TeamFilter::All || self.is_below_share(*team, active));
        let keyed = unblocked.filter_map(|team| {
            let (arrival, _) = self.jobs.ready_jobs(team, rank).next()?;
            Some((self.team_sort_key(team), arrival, team))
        });
        let first = keyed
            .min_by(|left, right| left.0.total_cmp(&right.0).then_with(|| left.1.cmp(&right.1)));
        first.map(|(_, _, team)| team)
    }

    /// Places one task or gang of the team's oldest ready jobs; returns false if none fits.
    ///
    /// Clears `may_reserve` when a single task finds no room.
    fn place_for_team(
        &mut self,
        team: TeamIndex,
        urgency: UrgencyLevel,
        may_reserve: &mut bool,
    ) -> bool {
        let ready =
            self.jobs.ready_jobs(team, urgency_rank(urgency)).take(rules::PLACEMENT_LOOKAHEAD);
        let jobs: JobList = ready.map(|(_, job)| job.clone()).collect();
        let mut first_blocked: Option<(BlockedWork, PlaceOutcome)> = None;
        for id in jobs {
            let Some((amounts, waiting, is_gang)) = self.job_needs(&id) else { continue };
            let outcome = if is_gang {
                self.try_start_gang(&id, amounts, *may_reserve)
            } else {
                self.try_start_task(&id, amounts)
            };
            if outcome == PlaceOutcome::Placed {
                return true;
            }
            *may_reserve &= is_gang || outcome != PlaceOutcome::NoRoom;
            // For a gang, tasks are preempted on its reserved workers instead.
            if !is_gang || outcome == PlaceOutcome::NoAllotment {
                let group_size = if is_gang { waiting as u64 } else { 1 };
                let work =
                    BlockedWork { team, urgency, amounts, waiting, is_request: false, group_size };
                first_blocked.get_or_insert((work, outcome));
            }
        }
        match first_blocked {
            Some((work, PlaceOutcome::NoAllotment)) => self.handle_missing_allotment(&work),
            Some((work, _)) => self.make_room(&work),
            None => {}
        }
        false
    }

    /// Returns what one task of a job reserves, how many tasks wait, and whether the job is a gang.
    fn job_needs(&self, id: &JobId) -> Option<(ResourceAmounts, usize, bool)> {
        let job = self.jobs.jobs.get(id)?;
        Some((self.task_amounts(job), job.waiting as usize, job.is_gang()))
    }

    /// Returns what a task of the job reserves, corrected by measured usage.
    fn task_amounts(&self, job: &JobEntry) -> ResourceAmounts {
        let declared = job.record.spec.amounts;
        if self.rules.usage_correction {
            job.usage.correct_amounts(declared, self.pool.max_worker_capacity)
        } else {
            declared
        }
    }

    /// Starts the next waiting task of a job if a worker has room for it.
    fn try_start_task(&mut self, id: &JobId, amounts: ResourceAmounts) -> PlaceOutcome {
        let Some(job) = self.jobs.jobs.get_mut(id) else { return PlaceOutcome::NoRoom };
        let Some(index) = job.next_waiting() else { return PlaceOutcome::NoRoom };
        let team = job.team;
        if !self.has_headroom(team, amounts) {
            return PlaceOutcome::NoAllotment;
        }
        let Some((worker, reason)) = self.choose_worker(id, index, amounts) else {
            return PlaceOutcome::NoRoom;
        };
        self.start_task(id, index, worker, amounts, reason);
        PlaceOutcome::Placed
    }

    /// Chooses the worker for a task. A quarantined worker that is due for a probe comes
    /// first, unless the task is urgent.
    fn choose_worker(
        &mut self,
        id: &JobId,
        index: u32,
        amounts: ResourceAmounts,
    ) -> Option<WorkerChoice> {
        let job = self.jobs.jobs.get(id)?;
        let class = job.class?;
        let failed_workers = job.failed_workers.get(&index);
        let avoid: WorkerIndexList = failed_workers.into_iter().flatten().copied().collect();
        if class.urgency != UrgencyLevel::Urgent
            && let Some(worker) = self.pool.find_probe_worker(amounts, &avoid)
        {
            return Some((worker, probe_reason()));
        }
        let query = self.worker_query(amounts, self.can_backfill(job), &avoid);
        if class.kind == ClassKind::Service && R::SPREADS_OVER_RACKS {
            let rack_offset = job.arrival.wrapping_add(u64::from(index));
            self.pool.choose_spread(&self.placement_rule, &query, &job.tasks_by_rack, rack_offset)
        } else {
            self.pool.choose(&self.placement_rule, &query)
        }
        .or_else(|| {
            // If only quarantined workers have room, the task can run only as a probe.
            // That may be a worker on which it failed before.
            self.pool.find_probe_worker(amounts, &[]).map(|worker| (worker, probe_reason()))
        })
    }

    /// Returns whether a task of the job may run on workers that are reserved for a gang:
    /// it does not have to wait for the gang, or would end before the gang can start.
    fn can_backfill(&self, job: &JobEntry) -> bool {
        let run_ms = job.record.spec.run_ms;
        let Some(gang) = &self.gang_reservation else { return true };
        // A reservation holds against work of the same or lower urgency only.
        if job.class.is_some_and(|class| class.urgency < gang.urgency) {
            return true;
        }
        self.rules.backfill && run_ms > 0 && self.now + run_ms <= gang.expected_start_at
    }

    pub(crate) fn worker_query<'a>(
        &self,
        amounts: ResourceAmounts,
        allow_gang_reserved: bool,
        avoid: &'a [WorkerIndex],
    ) -> WorkerQuery<'a> {
        let spare_accelerators = self.rules.accelerator_keeping;
        WorkerQuery { amounts, allow_gang_reserved, avoid, spare_accelerators }
    }

    /// Returns whether the team's allotment has room for so much more.
    pub(crate) fn has_headroom(&self, team: TeamIndex, amounts: ResourceAmounts) -> bool {
        let account = self.teams.get(team);
        let unattributed = self.unattributed_usage();
        account.allotment.is_some_and(|allotment| {
            account.used.plus(unattributed).plus(amounts).fits_in(allotment)
        })
    }

    /// Preempts the team's own tasks for urgent work, and requests more allotment
    /// if nothing but the allotment keeps the work from starting.
    fn handle_missing_allotment(&mut self, work: &BlockedWork) {
        self.make_room_in_team(work);
        let account = self.teams.get(work.team);
        let allotment = account.allotment.unwrap_or_default();
        let allotment_requested_at = account.allotment_requested_at;
        let used = account.used;
        let is_too_early = allotment_requested_at
            .is_some_and(|at| self.now.since(at) < rules::ALLOTMENT_REQUEST_INTERVAL_MS);
        // If the team's own usage leaves enough of the allotment, only capacity counted
        // for workers that have not reported blocks the work; their reports will free it.
        if is_too_early || used.plus(work.amounts.times(work.group_size)).fits_in(allotment) {
            return;
        }
        let query = self.worker_query(work.amounts, true, &[]);
        let fits = if work.is_request {
            self.pool.choose_slot(&query).is_some()
        } else {
            self.pool.choose(&self.placement_rule, &query).is_some()
        };
        if !fits {
            return;
        }
        let wanted = used.plus(work.amounts.times(work.waiting as u64)).minus(allotment);
        let account = self.teams.get_mut(work.team);
        account.allotment_requested_at = Some(self.now);
        let team = account.name.clone();
        self.decisions.push(CellDecision::RequestAllotment { team, amounts: wanted });
        self.timers.set(self.now + rules::ALLOTMENT_REQUEST_INTERVAL_MS, TimerKind::Placement);
    }
}

fn probe_reason() -> PlacementReason {
    PlacementReason { rule: "quarantine-probe", considered: 1, ..PlacementReason::default() }
}
