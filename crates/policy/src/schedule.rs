//! One pass over the work that waits, in policy order.

use model::name::{JobId, QueueName};
use model::object::{ClassKind, UrgencyLevel};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::catalog::{URGENCIES, rank};
use crate::cell::Cell;
use crate::event::{CellDecision, PlacementReason, SlotRequest, TicketNumber};
use crate::index::WorkerIndex;
use crate::job::JobEntry;
use crate::placement::PlacementRule;
use crate::pool::{AvoidList, WorkerChoice, WorkerQuery};
use crate::preempt::RoomRequest;
use crate::quarantine::WorkerProbe;
use crate::request::RequestGrant;
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;

/// What became of an attempt to place a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceOutcome {
    Placed,
    /// No worker has room.
    NoRoom,
    /// The team may not run more.
    NoAllotment,
}

/// The teams that are served in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShareSide {
    /// Those that use less than their share.
    Within,
    Any,
}

/// The jobs of one team that are tried in one step.
type JobList = SmallVec<[JobId; rules::JOB_LOOKAHEAD]>;

impl<R: PlacementRule> Cell<R> {
    /// Places what fits; the rest waits until something is freed.
    pub(crate) fn place_waiting(&mut self) {
        self.stale = false;
        if self.takes_no_work() {
            return;
        }
        self.active_weight = None;
        self.check_gang();
        self.starts_left = rules::MAX_STARTS_PER_EVENT;
        for urgency in URGENCIES {
            self.place_requests(urgency);
            if urgency == UrgencyLevel::Urgent {
                self.place_jobs(urgency, ShareSide::Any);
            }
        }
        // A share bounds what urgency is worth: a team within its share is served
        // before one that lives on lent capacity, unless a person waits.
        let sides: &[ShareSide] = if self.rules.fair_share {
            &[ShareSide::Within, ShareSide::Any]
        } else {
            &[ShareSide::Any]
        };
        for side in sides {
            self.place_jobs(UrgencyLevel::Normal, *side);
            self.place_jobs(UrgencyLevel::Batch, *side);
        }
        if self.starts_left == 0 {
            self.stale = true;
        }
    }

    /// Returns the key by which teams are served: the lowest first.
    fn team_order(&self, team: TeamIndex) -> f64 {
        if self.rules.fair_share { self.teams.weighted_share(team, self.pool.total) } else { 0.0 }
    }

    fn place_requests(&mut self, urgency: UrgencyLevel) {
        let mut blocked: SmallVec<[QueueName; 8]> = SmallVec::new();
        while self.starts_left > 0 {
            let Some(name) = self.next_queue(rank(urgency), &blocked) else { return };
            if self.try_queue(&name) != PlaceOutcome::Placed {
                blocked.push(name);
            }
        }
    }

    fn next_queue(&self, level: usize, blocked: &[QueueName]) -> Option<QueueName> {
        let open = self.requests.active(level).filter(|name| !blocked.contains(name));
        let keyed = open.filter_map(|name| {
            let queue = self.requests.queues.get(name)?;
            let (arrival, _) = queue.tickets().next()?;
            Some((self.team_order(queue.team), arrival, name))
        });
        let first = keyed
            .min_by(|left, right| left.0.total_cmp(&right.0).then_with(|| left.1.cmp(&right.1)));
        first.map(|(_, _, name)| name.clone())
    }

    /// Grants the first request of a queue for which a worker can be found.
    fn try_queue(&mut self, name: &QueueName) -> PlaceOutcome {
        let Some(queue) = self.requests.queues.get(name) else { return PlaceOutcome::NoRoom };
        let (team, urgency, amounts) = (queue.team, queue.urgency, queue.amounts);
        let (waiting, tickets) = (self.requests.len(name), {
            let first = queue.tickets().take(rules::JOB_LOOKAHEAD);
            first.map(|(_, ticket)| ticket).collect::<SmallVec<[TicketNumber; 8]>>()
        });
        let room = RoomRequest { team, urgency, amounts, waiting, in_slot: true, together: 1 };
        if !self.has_headroom(team, amounts) {
            self.blocked_by_allotment(&room);
            return PlaceOutcome::NoAllotment;
        }
        for ticket in tickets {
            if self.try_request(ticket, team, amounts) {
                return PlaceOutcome::Placed;
            }
        }
        self.make_room(&room);
        PlaceOutcome::NoRoom
    }

    fn try_request(
        &mut self,
        ticket: TicketNumber,
        team: TeamIndex,
        amounts: ResourceAmounts,
    ) -> bool {
        let Some(request) = self.requests.waiting.get(&ticket) else { return false };
        let names = request.ask.avoid.iter();
        let avoid: AvoidList = names.filter_map(|name| self.pool.find(name)).collect();
        let ask = self.worker_query(amounts, true, &avoid);
        let Some((worker, reason)) = self.pool.choose_slot(&ask).or_else(|| {
            // A person waits: a doubtful worker is better than none.
            self.pool.probe_for(amounts, &avoid).map(|worker| (worker, probe_reason()))
        }) else {
            return false;
        };
        let Some(request) = self.requests.remove(ticket) else { return false };
        self.grant(&request.ask, team, amounts, worker, reason);
        true
    }

    fn grant(
        &mut self,
        ask: &SlotRequest,
        team: TeamIndex,
        amounts: ResourceAmounts,
        worker: WorkerIndex,
        reason: PlacementReason,
    ) {
        let ticket = ask.ticket;
        if self.arrived != Some(ticket) {
            self.requests.note_grant(&ask.queue, self.now);
        }
        let settled_at = ask.start_by.max(self.now) + rules::GRANT_SETTLE_MS;
        self.requests
            .grants
            .insert(ticket, RequestGrant { worker, team, amounts, settled_at, held: true });
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

    fn place_jobs(&mut self, urgency: UrgencyLevel, side: ShareSide) {
        if self.starts_held {
            return;
        }
        let level = rank(urgency);
        let mut blocked: SmallVec<[TeamIndex; 16]> = SmallVec::new();
        // A gang whose turn comes after a task that waits must not take its room.
        let mut may_reserve = true;
        while self.starts_left > 0 && self.jobs.ready_len(urgency) > 0 {
            let Some(team) = self.next_team(level, &blocked, side) else { return };
            if !self.try_team(team, urgency, &mut may_reserve) {
                blocked.push(team);
            }
        }
    }

    fn next_team(
        &mut self,
        level: usize,
        blocked: &[TeamIndex],
        side: ShareSide,
    ) -> Option<TeamIndex> {
        let active = self.active_weight();
        let open = self.teams.indices().filter(|team| !blocked.contains(team));
        let open =
            open.filter(|team| side == ShareSide::Any || self.is_within_share(*team, active));
        let keyed = open.filter_map(|team| {
            let (arrival, _) = self.jobs.ready(team, level).next()?;
            Some((self.team_order(team), arrival, team))
        });
        let first = keyed
            .min_by(|left, right| left.0.total_cmp(&right.0).then_with(|| left.1.cmp(&right.1)));
        first.map(|(_, _, team)| team)
    }

    /// Places a task or a gang of the team's first jobs; false if none fits.
    fn try_team(&mut self, team: TeamIndex, urgency: UrgencyLevel, may_reserve: &mut bool) -> bool {
        let ready = self.jobs.ready(team, rank(urgency)).take(rules::JOB_LOOKAHEAD);
        let jobs: JobList = ready.map(|(_, job)| job.clone()).collect();
        let mut first_blocked: Option<(RoomRequest, PlaceOutcome)> = None;
        for id in jobs {
            let Some((amounts, waiting, gang)) = self.job_shape(&id) else { continue };
            let outcome = if gang {
                self.try_gang(&id, amounts, *may_reserve)
            } else {
                self.try_task(&id, amounts)
            };
            if outcome == PlaceOutcome::Placed {
                return true;
            }
            *may_reserve &= gang || outcome != PlaceOutcome::NoRoom;
            // Room for a gang is made on the workers that are reserved for it.
            if !gang || outcome == PlaceOutcome::NoAllotment {
                let together = if gang { waiting as u64 } else { 1 };
                let room =
                    RoomRequest { team, urgency, amounts, waiting, in_slot: false, together };
                first_blocked.get_or_insert((room, outcome));
            }
        }
        match first_blocked {
            Some((room, PlaceOutcome::NoAllotment)) => self.blocked_by_allotment(&room),
            Some((room, _)) => self.make_room(&room),
            None => {}
        }
        false
    }

    /// Returns what each task of a job reserves, how many wait, and whether they start together.
    fn job_shape(&self, id: &JobId) -> Option<(ResourceAmounts, usize, bool)> {
        let job = self.jobs.jobs.get(id)?;
        Some((self.task_amounts(job), job.waiting as usize, job.is_gang()))
    }

    fn task_amounts(&self, job: &JobEntry) -> ResourceAmounts {
        let declared = job.record.spec.amounts;
        if self.rules.usage_correction {
            job.usage.correct(declared, self.pool.largest)
        } else {
            declared
        }
    }

    fn try_task(&mut self, id: &JobId, amounts: ResourceAmounts) -> PlaceOutcome {
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

    fn choose_worker(
        &mut self,
        id: &JobId,
        index: u32,
        amounts: ResourceAmounts,
    ) -> Option<WorkerChoice> {
        let job = self.jobs.jobs.get(id)?;
        let class = job.class?;
        let failures = job.failures.get(&index);
        let avoid: AvoidList = failures.into_iter().flatten().copied().collect();
        if class.urgency != UrgencyLevel::Urgent
            && let Some(worker) = self.pool.probe_for(amounts, &avoid)
        {
            return Some((worker, probe_reason()));
        }
        let ask = self.worker_query(amounts, self.may_backfill(job), &avoid);
        if class.kind == ClassKind::Service && R::SPREADS_OVER_RACKS {
            let turn = job.arrival.wrapping_add(u64::from(index));
            self.pool.choose_spread(&self.rule, &ask, &job.racks, turn)
        } else {
            self.pool.choose(&self.rule, &ask)
        }
        .or_else(|| {
            // If only failing workers have room, a probe is the one way to go on.
            self.pool.probe_for(amounts, &[]).map(|worker| (worker, probe_reason()))
        })
    }

    /// Tells whether a task would end before the reserved workers are needed.
    fn may_backfill(&self, job: &JobEntry) -> bool {
        let run = job.record.spec.run_ms;
        let Some(gang) = &self.gang else { return true };
        // Workers are kept from work of the same and lower urgency only.
        if job.class.is_some_and(|class| class.urgency < gang.urgency) {
            return true;
        }
        self.rules.backfill && run > 0 && self.now + run <= gang.start_at
    }

    pub(crate) fn worker_query<'a>(
        &self,
        amounts: ResourceAmounts,
        with_reserved: bool,
        avoid: &'a [WorkerIndex],
    ) -> WorkerQuery<'a> {
        let keep_accelerators = self.rules.accelerator_keeping;
        WorkerQuery { amounts, with_reserved, avoid, keep_accelerators }
    }

    /// Tells whether the team may use so much more.
    pub(crate) fn has_headroom(&self, team: TeamIndex, amounts: ResourceAmounts) -> bool {
        let account = self.teams.get(team);
        let uncertain = self.unattributed();
        account
            .allotment
            .is_some_and(|allotment| account.used.plus(uncertain).plus(amounts).fits_in(allotment))
    }

    /// Asks for allotment if nothing else keeps the work from starting.
    fn blocked_by_allotment(&mut self, room: &RoomRequest) {
        self.make_room_in_team(room);
        let account = self.teams.get(room.team);
        let allotment = account.allotment.unwrap_or_default();
        let wanted_at = account.wanted_at;
        let used = account.used;
        let later =
            wanted_at.is_some_and(|at| self.now.since(at) < rules::ALLOTMENT_REQUEST_INTERVAL_MS);
        // Workers that report soon will free what is counted for them.
        if later || used.plus(room.amounts.times(room.together)).fits_in(allotment) {
            return;
        }
        let ask = self.worker_query(room.amounts, true, &[]);
        let fits = if room.in_slot {
            self.pool.choose_slot(&ask).is_some()
        } else {
            self.pool.choose(&self.rule, &ask).is_some()
        };
        if !fits {
            return;
        }
        let wanted = used.plus(room.amounts.times(room.waiting as u64)).minus(allotment);
        let account = self.teams.get_mut(room.team);
        account.wanted_at = Some(self.now);
        let team = account.name.clone();
        self.decisions.push(CellDecision::RequestAllotment { team, amounts: wanted });
        self.timers.set(self.now + rules::ALLOTMENT_REQUEST_INTERVAL_MS, TimerKind::Pass);
    }
}

fn probe_reason() -> PlacementReason {
    PlacementReason { rule: "quarantine-probe", considered: 1, ..PlacementReason::default() }
}
