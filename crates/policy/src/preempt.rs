//! Preemption: running tasks are checkpointed to make room for waiting work.

use std::cmp::Reverse;

use model::object::UrgencyLevel;
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::hold::{HoldId, TaskHold, VictimKey};
use crate::index::WorkerIndex;
use crate::placement::PlacementRule;
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;

/// Waiting requests of one queue, or tasks of one job, for which there is no room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockedWork {
    pub(crate) team: TeamIndex,
    pub(crate) urgency: UrgencyLevel,
    /// What one request or task reserves.
    pub(crate) amounts: ResourceAmounts,
    /// How many requests or tasks wait.
    pub(crate) waiting: usize,
    /// Whether requests wait, not tasks.
    pub(crate) is_request: bool,
    /// How many tasks must start together; 1 unless the job is a gang.
    pub(crate) group_size: u64,
}

/// Why tasks may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreemptCause {
    /// Urgent work waits; less urgent tasks of any team may be preempted.
    Urgent,
    /// A team below its share waits; tasks of teams above their share may be preempted.
    Reclaim,
    /// The team's allotment is used up; its own less urgent tasks may be preempted.
    OwnTeam,
}

/// Tasks of one worker that are preempted together.
type VictimList = SmallVec<[HoldId; 4]>;

impl<R: PlacementRule> Cell<R> {
    /// Preempts tasks so that waiting work fits once they have been checkpointed.
    pub(crate) fn make_room(&mut self, work: &BlockedWork) {
        if work.urgency == UrgencyLevel::Urgent {
            self.preempt(work, PreemptCause::Urgent, rules::MAX_URGENT_PREEMPTIONS);
        } else if self.rules.fair_share && self.stays_within_share(work) {
            self.preempt(work, PreemptCause::Reclaim, rules::MAX_RECLAIM_PREEMPTIONS);
        }
    }

    /// Preempts tasks of the same team for its urgent work when its allotment is used up.
    pub(crate) fn make_room_in_team(&mut self, work: &BlockedWork) {
        if work.urgency == UrgencyLevel::Urgent {
            self.preempt(work, PreemptCause::OwnTeam, rules::MAX_URGENT_PREEMPTIONS);
        }
    }

    /// Preempts tasks for `cause` until enough preemptions are in flight for the waiting
    /// work, or the limit is reached. A share is reclaimed by one preemption at a time.
    fn preempt(&mut self, work: &BlockedWork, cause: PreemptCause, max_in_flight: usize) {
        if !self.rules.preemption
            || self.now < self.teams.get(work.team).next_preemption_at[cause as usize]
        {
            return;
        }
        while self.teams.get(work.team).preemptions_in_flight < work.waiting
            && self.preemptions_in_flight < max_in_flight
        {
            let Some(victims) = self.find_victims(work, cause) else {
                // The next event changes little, so the search is repeated only after
                // a delay. The delay is kept for each team and cause, because other
                // tasks may be preempted for other teams.
                let retry_at = self.now + rules::PREEMPTION_RETRY_MS;
                self.teams.get_mut(work.team).next_preemption_at[cause as usize] = retry_at;
                self.timers.set(retry_at, TimerKind::Placement);
                return;
            };
            self.checkpoint_victims(&victims, work.team, cause);
            if cause == PreemptCause::Reclaim {
                self.next_reclaim_at = self.now + rules::RECLAIM_INTERVAL_MS;
                self.timers.set(self.next_reclaim_at, TimerKind::Placement);
                return;
            }
        }
    }

    /// Checkpoints tasks of one worker that together make room for one request or task.
    fn checkpoint_victims(&mut self, victims: &[HoldId], team: TeamIndex, cause: PreemptCause) {
        let reason = match cause {
            PreemptCause::Urgent | PreemptCause::OwnTeam => "preempted-by-urgent",
            PreemptCause::Reclaim => "share-reclaimed",
        };
        for (position, id) in victims.iter().enumerate() {
            // Only the first counts as a preemption in flight: together they make room
            // for one request or task.
            self.preempt_task(*id, reason, (position == 0).then_some(team));
        }
    }

    /// Checkpoints one task and protects its next attempts from preemption for a while.
    pub(crate) fn preempt_task(
        &mut self,
        id: HoldId,
        reason: &'static str,
        preempted_for: Option<TeamIndex>,
    ) {
        let Some(hold) = self.holds.get(id) else { return };
        let task = hold.task.clone();
        if let Some(job) = self.jobs.jobs.get_mut(&task.job) {
            job.protected_until.insert(task.index, self.now + rules::PREEMPTION_PROTECTION_MS);
        }
        if let Some(team) = preempted_for {
            self.preemptions_in_flight += 1;
            self.teams.get_mut(team).preemptions_in_flight += 1;
        }
        self.order_stop(id, true, reason, preempted_for);
    }

    /// Returns the sum of the weights of the teams that use something or have waiting work.
    pub(crate) fn active_weight(&mut self) -> f64 {
        if let Some(weight) = self.active_weight {
            return weight;
        }
        let weight = self.sum_active_weight();
        self.active_weight = Some(weight);
        weight
    }

    fn sum_active_weight(&self) -> f64 {
        let active = self.teams.indices().filter(|team| {
            let account = self.teams.get(*team);
            account.configured && (!account.used.is_zero() || self.has_waiting(*team))
        });
        active.map(|team| f64::from(self.teams.get(team).weight)).sum()
    }

    fn has_waiting(&self, team: TeamIndex) -> bool {
        let jobs = (0..3).any(|rank| self.jobs.ready_jobs(team, rank).next().is_some());
        jobs || (0..3).any(|rank| {
            let queues = self.requests.active_queues(rank);
            queues.filter_map(|name| self.requests.queues.get(name)).any(|queue| queue.team == team)
        })
    }

    /// Returns the share of the domain's capacity that a team is entitled to, from 0.0 to
    /// 1.0; `active` is the sum of the weights of the active teams.
    pub(crate) fn entitlement(&self, team: TeamIndex, active: f64) -> f64 {
        f64::from(self.teams.get(team).weight) / active.max(1.0)
    }

    /// Returns whether a team uses less than its share.
    pub(crate) fn is_below_share(&self, team: TeamIndex, active: f64) -> bool {
        let used = self.teams.get(team).used;
        used.dominant_share(self.pool.total_capacity) < self.entitlement(team, active)
    }

    /// Returns whether a team stays within its share with one more request or task, those
    /// for which tasks are being preempted counted as started. False between two reclaims.
    fn stays_within_share(&mut self, work: &BlockedWork) -> bool {
        if self.now < self.next_reclaim_at {
            return false;
        }
        let active = self.active_weight();
        let account = self.teams.get(work.team);
        let with_pending = work.amounts.times(account.preemptions_in_flight as u64 + 1);
        let share = account.used.plus(with_pending).dominant_share(self.pool.total_capacity);
        share <= self.entitlement(work.team, active)
    }

    /// Returns whether a team still uses at least its share once its stopping tasks have
    /// ended and `amounts` more are freed.
    pub(crate) fn stays_above_share(
        &self,
        team: TeamIndex,
        amounts: ResourceAmounts,
        active: f64,
    ) -> bool {
        let account = self.teams.get(team);
        let remaining = account.used.minus(account.stopping).minus(amounts);
        remaining.dominant_share(self.pool.total_capacity) >= self.entitlement(team, active)
    }

    /// Returns tasks of one worker whose preemption makes room for one request or task.
    ///
    /// Teams that use most by weight come first. At most
    /// [`rules::MAX_VICTIM_WORKERS_EXAMINED`] workers are examined.
    fn find_victims(&mut self, work: &BlockedWork, cause: PreemptCause) -> Option<VictimList> {
        let active = self.active_weight();
        let mut teams: Vec<(f64, TeamIndex)> = self
            .teams
            .indices()
            .filter(|team| !self.teams.get(*team).preemptible.is_empty())
            .filter(|team| match cause {
                PreemptCause::Urgent => true,
                PreemptCause::OwnTeam => *team == work.team,
                PreemptCause::Reclaim => *team != work.team,
            })
            .map(|team| (self.teams.weighted_share(team, self.pool.total_capacity), team))
            .collect();
        teams.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut seen: SmallVec<[WorkerIndex; rules::MAX_VICTIM_WORKERS_EXAMINED]> = SmallVec::new();
        for (_, team) in teams {
            for (_, _, id) in &self.teams.get(team).preemptible {
                if seen.len() >= rules::MAX_VICTIM_WORKERS_EXAMINED {
                    return None;
                }
                let id = id.0;
                let Some(hold) = self.holds.get(id) else { continue };
                // The least urgent come first: if this one is too urgent, so are the rest.
                if !can_be_preempted_for(hold, work, cause) {
                    break;
                }
                if seen.contains(&hold.worker) {
                    continue;
                }
                seen.push(hold.worker);
                if let Some(victims) =
                    self.find_victims_on_worker(hold.worker, team, work, cause, active)
                {
                    return Some(victims);
                }
            }
        }
        None
    }

    /// Returns the first tasks of a worker in victim order that together make enough room.
    fn find_victims_on_worker(
        &self,
        worker: WorkerIndex,
        team: TeamIndex,
        work: &BlockedWork,
        cause: PreemptCause,
        active: f64,
    ) -> Option<VictimList> {
        let entry = self.pool.get(worker);
        if !entry.takes_work() {
            return None;
        }
        let mut tasks: SmallVec<[VictimKey; 16]> = SmallVec::new();
        for id in entry.tasks.values() {
            let Some(hold) = self.holds.get(*id) else { continue };
            let same_team = cause == PreemptCause::Urgent || hold.team == team;
            let can_stop = hold.stop.is_none() && hold.protected_until <= self.now;
            if same_team
                && can_stop
                && hold.class.preemptible
                && can_be_preempted_for(hold, work, cause)
            {
                tasks.push(hold.victim_key(*id));
            }
        }
        tasks.sort_unstable();
        let mut victims = VictimList::new();
        let mut freed = ResourceAmounts::ZERO;
        for (_, _, Reverse(id)) in tasks {
            if !victims.is_empty() && self.has_enough_room(worker, work, cause, freed) {
                break;
            }
            freed = freed.plus(self.holds.get(id)?.amounts);
            victims.push(id);
        }
        let is_enough = !victims.is_empty() && self.has_enough_room(worker, work, cause, freed);
        let is_allowed =
            cause != PreemptCause::Reclaim || self.stays_above_share(team, freed, active);
        (is_enough && is_allowed).then_some(victims)
    }

    /// Returns whether the waiting request or task fits once `freed` is free on the worker,
    /// and for [`PreemptCause::OwnTeam`] also whether it fits the team's allotment then.
    fn has_enough_room(
        &self,
        worker: WorkerIndex,
        work: &BlockedWork,
        cause: PreemptCause,
        freed: ResourceAmounts,
    ) -> bool {
        let fits_on_worker = work.amounts.fits_in(self.pool.get(worker).free().plus(freed));
        if cause != PreemptCause::OwnTeam {
            return fits_on_worker;
        }
        let account = self.teams.get(work.team);
        let used = account.used.plus(self.unattributed_usage()).minus(freed).plus(work.amounts);
        fits_on_worker && account.allotment.is_some_and(|allotment| used.fits_in(allotment))
    }
}

/// Returns whether the urgency of a running task lets it be preempted.
fn can_be_preempted_for(hold: &TaskHold, work: &BlockedWork, cause: PreemptCause) -> bool {
    match cause {
        PreemptCause::Urgent | PreemptCause::OwnTeam => hold.class.urgency > work.urgency,
        PreemptCause::Reclaim => hold.class.urgency >= work.urgency,
    }
}
