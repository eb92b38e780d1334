//! Changes of the configuration and of allotments, and the stops that they cause.

use std::cmp::Reverse;
use std::sync::Arc;

use model::kind::ErrorKind;
use model::name::{JobId, TeamName, WorkerName};
use model::object::{ObjectSet, WorkerObject};
use model::resource::ResourceAmounts;

use crate::attempt::{StopBatch, StopList, StopMode};
use crate::catalog::{Catalog, urgency_rank};
use crate::cell::Cell;
use crate::hold::HoldId;
use crate::index::WorkerIndex;
use crate::map::FixedMap;
use crate::placement::PlacementRule;
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;
use crate::worker::WorkerContact;

impl<R: PlacementRule> Cell<R> {
    /// Puts a configuration in force.
    pub(crate) fn apply_config(&mut self, set: &Arc<ObjectSet>) {
        self.catalog = Catalog::new(&self.domain, set.clone());
        self.apply_teams(set);
        self.apply_workers(set);
        self.apply_domain_state();
        self.update_waiting_requests();
        self.queue_imported_requests();
        self.update_job_classes();
        self.stop_excluded();
        self.check_all_reports();
    }

    fn apply_teams(&mut self, set: &ObjectSet) {
        for team in &mut self.teams.teams {
            team.configured = false;
            team.weight = 1;
        }
        for object in &set.teams {
            let index = self.teams.intern(&object.name);
            self.teams.get_mut(index).configured = true;
        }
        for share in &set.shares {
            let index = self.teams.intern(&share.team);
            self.teams.get_mut(index).weight = share.weight.max(1);
        }
    }

    fn apply_workers(&mut self, set: &ObjectSet) {
        let own_objects = set.workers.iter().filter(|object| object.domain == self.domain);
        let objects: FixedMap<&WorkerName, &WorkerObject> =
            own_objects.map(|object| (&object.name, object)).collect();
        for index in self.pool.indices() {
            let entry = self.pool.get(index);
            let is_old = self.now.since(entry.sent_at) > rules::REMOVED_WORKER_RETENTION_MS;
            if is_old && !entry.name.as_str().is_empty() && self.is_retired(index) {
                self.pool.forget(index);
            } else if entry.configured && !objects.contains_key(&entry.name) {
                self.pool.edit(index, |entry| entry.configured = false);
            }
        }
        let changed = objects.into_values().filter(|object| !self.is_current(object));
        let mut sorted: Vec<_> = changed.collect();
        // Workers of a rack get adjacent positions, so that among equal workers one rack
        // after another is filled.
        sorted.sort_by(|left, right| (&left.rack, &left.name).cmp(&(&right.rack, &right.name)));
        for object in sorted {
            self.apply_worker(object);
        }
    }

    /// Returns whether the cell has a worker exactly as the configuration lists it.
    fn is_current(&self, object: &WorkerObject) -> bool {
        let Some(index) = self.pool.find(&object.name) else { return false };
        let entry = self.pool.get(index);
        entry.configured && entry.capacity == object.capacity && entry.rack_name == object.rack
    }

    fn apply_worker(&mut self, object: &WorkerObject) {
        let index = self.pool.intern(&object.name);
        let rack = self.pool.intern_rack(&object.rack);
        self.pool.edit(index, |entry| {
            entry.configured = true;
            entry.capacity = object.capacity;
            entry.rack = rack;
            entry.rack_name = object.rack.clone();
        });
        self.shrink_worker(index);
    }

    /// Stops tasks of a worker whose capacity was lowered below what is reserved.
    fn shrink_worker(&mut self, index: WorkerIndex) {
        let entry = self.pool.get(index);
        if entry.reserved.fits_in(entry.capacity) {
            return;
        }
        let mut tasks: Vec<_> = entry
            .tasks
            .values()
            .filter_map(|id| Some((self.holds.get(*id)?.victim_key(*id), *id)))
            .collect();
        tasks.sort_unstable();
        let (mut kept, capacity) = (entry.reserved, entry.capacity);
        for (_, id) in tasks {
            let Some(hold) = self.holds.get(id) else { continue };
            if kept.fits_in(capacity) {
                return;
            }
            kept = kept.minus(hold.amounts);
            self.stop_by_class(id, "worker-shrunk");
        }
    }

    fn apply_domain_state(&mut self) {
        match (self.catalog.domain_out, self.domain_out_since) {
            (true, None) => self.take_domain_out(),
            (false, Some(_)) => self.bring_domain_in(),
            _ => {}
        }
    }

    /// Refuses waiting requests, stops tasks and moves jobs of a domain that operators
    /// have taken out.
    fn take_domain_out(&mut self) {
        self.domain_out_since = Some(self.now);
        for ticket in self.requests.waiting_in_order() {
            self.refuse_request(ticket, ErrorKind::DomainOut);
        }
        if let Some(gang) = &self.gang_reservation {
            let job = gang.job.clone();
            self.release_gang(&job);
        }
        let tasks = StopList::List(self.running_tasks().into_iter());
        let mode = StopMode::PreemptibleOnly;
        self.pending_stops.push_back(StopBatch { tasks, mode, reason: "domain-out" });
        self.timers.set(self.now + rules::DOMAIN_OUT_GRACE_MS, TimerKind::DomainOutGraceOver);
        self.plan_moves();
    }

    /// Queues the jobs without running tasks for a move: urgent ones first, then those of
    /// teams with the largest weight.
    fn plan_moves(&mut self) {
        let idle = self.jobs.jobs.iter().filter(|(_, job)| job.running.is_empty());
        let mut jobs: Vec<(usize, Reverse<u32>, u64, JobId)> = idle
            .map(|(id, job)| {
                let rank = job.class.map_or(2, |class| urgency_rank(class.urgency));
                let weight = self.teams.get(job.team).weight;
                (rank, Reverse(weight), job.arrival, id.clone())
            })
            .collect();
        jobs.sort_unstable();
        self.pending_moves = jobs.into_iter().map(|(_, _, _, id)| id).collect();
    }

    /// Cancels pending moves and stops of a domain that is in service again.
    fn bring_domain_in(&mut self) {
        self.domain_out_since = None;
        self.pending_moves.clear();
        self.pending_stops.retain(|batch| batch.reason != "domain-out");
    }

    /// Applies changes of queues to the requests that wait in them.
    fn update_waiting_requests(&mut self) {
        for ticket in self.requests.waiting_in_order() {
            let Some(waiting) = self.requests.waiting.get(&ticket) else { continue };
            let name = waiting.request.queue.clone();
            let Some(entry) = self.catalog.request_queue(&name) else {
                self.refuse_request(ticket, ErrorKind::NotFound);
                continue;
            };
            let configured = (self.teams.find(&entry.team), entry.class.urgency, entry.request);
            let queue = self.requests.queues.get(&name);
            let current = queue.map(|queue| (Some(queue.team), queue.urgency, queue.amounts));
            if current != Some(configured) {
                self.requeue_all(&name);
            }
        }
        let catalog = &self.catalog;
        self.requests.queues.retain(|name, _| catalog.queues.contains_key(name));
    }

    /// Removes the waiting requests of a queue and adds them again in the same order, with
    /// the queue's current team and class.
    fn requeue_all(&mut self, name: &model::name::QueueName) {
        let Some(queue) = self.requests.queues.get(name) else { return };
        let tickets: Vec<_> = queue.tickets().map(|(_, ticket)| ticket).collect();
        let removed: Vec<_> =
            tickets.into_iter().filter_map(|ticket| self.requests.remove(ticket)).collect();
        for waiting in removed {
            self.push_request(waiting.request);
        }
    }

    /// Updates the class of every job and of its running tasks.
    fn update_job_classes(&mut self) {
        let ids: Vec<JobId> = self.jobs.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.jobs.get(&id) else { continue };
            let class = self.job_class(job);
            if class == job.class {
                continue;
            }
            let running: Vec<HoldId> = job.running.values().copied().collect();
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.class = class;
            }
            self.jobs.refresh_ready(&id);
            for hold in running {
                self.set_class(hold, class.unwrap_or(crate::hold::TaskClass::UNKNOWN));
            }
        }
    }

    /// Stops the tasks of teams and workers that are not configured any more.
    fn stop_excluded(&mut self) {
        let mut tasks: Vec<HoldId> = Vec::new();
        for team in self.teams.teams.iter().filter(|team| !team.configured) {
            tasks.extend(team.running.iter().map(|(_, _, id)| id.0));
        }
        for index in self.pool.indices() {
            let entry = self.pool.get(index);
            if !entry.configured {
                tasks.extend(entry.tasks.values());
            }
        }
        for id in tasks {
            self.stop_if_excluded(id);
        }
    }

    /// Sets what the domain may run of a team, and stops what exceeds it.
    pub(crate) fn apply_allotment(&mut self, team: &TeamName, amounts: ResourceAmounts) {
        let index = self.teams.intern(team);
        self.teams.get_mut(index).allotment = Some(amounts);
        self.stop_excess(index, amounts);
        self.needs_placement = true;
    }

    /// Stops tasks of a team until the rest fits its allotment.
    fn stop_excess(&mut self, index: TeamIndex, allotment: ResourceAmounts) {
        let team = self.teams.get(index);
        let mut kept = team.used.minus(team.stopping);
        if kept.fits_in(allotment) {
            return;
        }
        let victims: Vec<HoldId> = team.running.iter().map(|(_, _, id)| id.0).collect();
        for id in victims {
            let Some(hold) = self.holds.get(id) else { continue };
            let excess = kept.minus(allotment);
            if excess.is_zero() {
                return;
            }
            // Stopping a task that uses none of the resources in excess would not help.
            if excess.min(hold.amounts).is_zero() {
                continue;
            }
            kept = kept.minus(hold.amounts);
            self.stop_by_class(id, "allotment-lowered");
        }
    }

    /// Returns whether a worker is not configured and surely runs nothing, so that it
    /// can be forgotten.
    pub(crate) fn is_retired(&self, index: WorkerIndex) -> bool {
        let entry = self.pool.get(index);
        let certain = entry.contact != WorkerContact::Unreported || entry.capacity.is_zero();
        !entry.configured && entry.is_empty() && certain
    }
}
