//! The state that an owner hands over to its successor.

use std::collections::VecDeque;
use std::sync::Arc;

use model::job::JobRecord;
use model::name::{DomainName, JobId, QueueName, TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::event::{SlotRequest, TicketNumber, WorkerList};
use crate::placement::PlacementRule;
use crate::request::RequestGrant;
use crate::rules::PolicyRules;

/// Waiting and running work of a cell.
///
/// It contains durations in milliseconds instead of instants, because clocks of two
/// processes must not be compared. The successor has the configuration from elsewhere
/// and learns of running tasks from the workers' reports; the snapshot holds only what
/// reports leave out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSnapshot {
    /// Allotments in force, by team.
    pub allotments: Vec<(TeamName, ResourceAmounts)>,
    /// Workers that are not in the configuration any more but may still run something,
    /// with their capacity.
    pub removed: Vec<(WorkerName, ResourceAmounts)>,
    /// Jobs in order of arrival.
    pub jobs: Vec<JobSnapshot>,
    /// Waiting requests in order of arrival.
    pub requests: Vec<RequestSnapshot>,
    /// Granted requests that have not ended.
    pub grants: Vec<GrantSnapshot>,
    /// Tasks that run, or may run.
    pub running: Vec<RunningSnapshot>,
    /// Jobs that have ended, oldest first.
    pub ended: Vec<JobId>,
}

/// A job, with the state that its stored row does not contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSnapshot {
    /// The job, with the tasks that are done.
    pub record: JobRecord,
    /// Highest attempt number of any of its tasks.
    pub attempt: u32,
    /// Whether the stored row lacks some of the tasks that are done.
    pub unsaved: bool,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSnapshot {
    /// Its number; the next owner numbers new requests from above all of these.
    pub ticket: TicketNumber,
    /// Its queue.
    pub queue: QueueName,
    /// Milliseconds until its latest start.
    pub wait_ms: u64,
    /// Workers on which earlier attempts failed.
    pub avoid: WorkerList,
}

/// A granted request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSnapshot {
    /// Its number.
    pub ticket: TicketNumber,
    /// The worker.
    pub worker: WorkerName,
    /// Team for which it counts.
    pub team: TeamName,
    /// What it uses, its slot included.
    pub amounts: ResourceAmounts,
    /// Whether its slot is still reserved.
    pub held: bool,
    /// Milliseconds after which it has reached the worker or never will.
    pub settle_ms: u64,
}

/// A task that runs, or may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunningSnapshot {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Its worker.
    pub worker: WorkerName,
    /// Milliseconds since it was started.
    pub age_ms: u64,
}

impl<R: PlacementRule> Cell<R> {
    /// Returns the state for the next owner, as of the last event.
    #[must_use]
    pub fn export(&self) -> CellSnapshot {
        let mut running: Vec<_> = self.export_running().collect();
        running.sort_unstable_by(|left, right| left.task.cmp(&right.task));
        let allotted = self.teams.teams.iter();
        let mut grants: Vec<_> = self.export_grants().collect();
        grants.sort_unstable_by_key(|grant| grant.ticket);
        CellSnapshot {
            allotments: allotted
                .filter_map(|team| Some((team.name.clone(), team.allotment?)))
                .collect(),
            removed: self.export_removed().collect(),
            jobs: self.export_jobs(),
            requests: self.export_requests(),
            grants,
            running,
            ended: self.jobs.ended_jobs().cloned().collect(),
        }
    }

    fn export_removed(&self) -> impl Iterator<Item = (WorkerName, ResourceAmounts)> + '_ {
        let removed = self
            .pool
            .indices()
            .filter(|index| !self.pool.get(*index).configured && !self.is_retired(*index));
        removed.map(|index| {
            let entry = self.pool.get(index);
            (entry.name.clone(), entry.capacity)
        })
    }

    fn export_jobs(&self) -> Vec<JobSnapshot> {
        let mut jobs: Vec<_> = self.jobs.jobs.values().collect();
        jobs.sort_unstable_by_key(|job| job.arrival);
        let snapshot = |job: &crate::job::JobEntry| JobSnapshot {
            record: JobRecord { done: job.done_indices(), ..(*job.record).clone() },
            attempt: job.tasks.iter().map(|task| task.attempt).max().unwrap_or(0),
            unsaved: job.has_unsaved_progress,
        };
        jobs.into_iter().map(snapshot).collect()
    }

    fn export_requests(&self) -> Vec<RequestSnapshot> {
        let tickets = self.requests.waiting_in_order().into_iter();
        let snapshot = |ticket: TicketNumber| {
            let request = &self.requests.waiting.get(&ticket)?.request;
            Some(RequestSnapshot {
                ticket,
                queue: request.queue.clone(),
                wait_ms: request.start_by.since(self.now),
                avoid: request.avoid.clone(),
            })
        };
        tickets.filter_map(snapshot).collect()
    }

    fn export_grants(&self) -> impl Iterator<Item = GrantSnapshot> + '_ {
        self.requests.grants.iter().map(|(ticket, grant)| GrantSnapshot {
            ticket: *ticket,
            worker: self.pool.get(grant.worker).name.clone(),
            team: self.teams.get(grant.team).name.clone(),
            amounts: grant.amounts,
            held: grant.holds_slot,
            settle_ms: grant.settled_at.since(self.now),
        })
    }

    fn export_running(&self) -> impl Iterator<Item = RunningSnapshot> + '_ {
        self.holds.holds.values().map(|hold| RunningSnapshot {
            task: hold.task.clone(),
            attempt: hold.attempt,
            worker: self.pool.get(hold.worker).name.clone(),
            age_ms: self.now.since(hold.started_at),
        })
    }

    /// Creates the cell of the next owner, without a configuration.
    ///
    /// Every worker has to report again, because tasks that ran under the earlier owner
    /// may have ended since.
    #[must_use]
    pub fn import(
        domain: DomainName,
        seed: u64,
        now: ClockMillis,
        snapshot: CellSnapshot,
        rule: R,
        rules: PolicyRules,
    ) -> Self {
        let mut cell = Self::with_rule(domain, seed, 0, rule, rules);
        cell.now = now;
        for (team, amounts) in snapshot.allotments {
            let index = cell.teams.intern(&team);
            cell.teams.get_mut(index).allotment = Some(amounts);
        }
        for (name, capacity) in snapshot.removed {
            let index = cell.pool.intern(&name);
            cell.pool.edit(index, |entry| entry.capacity = capacity);
        }
        for job in snapshot.ended {
            cell.jobs.record_ended(&job);
        }
        for job in snapshot.jobs {
            cell.import_job(job);
        }
        for grant in snapshot.grants {
            cell.import_grant(&grant);
        }
        for running in snapshot.running {
            cell.imported_ages.insert((running.task, running.attempt), running.age_ms);
        }
        cell.imported_requests =
            snapshot.requests.into_iter().map(|request| request.into_request(now)).collect();
        cell
    }

    fn import_job(&mut self, job: JobSnapshot) {
        let id = job.record.spec.id.clone();
        // New attempts of all tasks are numbered from above the job's highest attempt,
        // which needs no number for each task in the snapshot.
        self.attempt_base = job.attempt;
        self.add_job(Arc::new(job.record));
        self.attempt_base = 0;
        if let Some(entry) = self.jobs.jobs.get_mut(&id) {
            entry.has_unsaved_progress = job.unsaved;
        }
        if job.unsaved {
            self.timers.set(self.now, crate::timer::TimerKind::SaveProgress(id));
        }
    }

    fn import_grant(&mut self, grant: &GrantSnapshot) {
        let worker = self.pool.intern(&grant.worker);
        let team = self.teams.intern(&grant.team);
        let settled_at = self.now + grant.settle_ms;
        let (amounts, holds_slot) = (grant.amounts, grant.held);
        let reserved = if holds_slot { amounts } else { ResourceAmounts::ZERO };
        self.pool.edit(worker, |entry| {
            entry.reserved = entry.reserved.plus(reserved);
            entry.grants.insert(grant.ticket, settled_at);
        });
        let account = self.teams.get_mut(team);
        account.used = account.used.plus(reserved);
        self.requests
            .grants
            .insert(grant.ticket, RequestGrant { worker, team, amounts, settled_at, holds_slot });
    }

    /// Queues the requests of the earlier owner, once the configuration is known.
    pub(crate) fn queue_imported_requests(&mut self) {
        let requests: VecDeque<SlotRequest> = std::mem::take(&mut self.imported_requests);
        for request in requests {
            self.enqueue_request(request);
        }
        self.arrived_ticket = None;
    }
}

impl RequestSnapshot {
    fn into_request(self, now: ClockMillis) -> SlotRequest {
        SlotRequest {
            ticket: self.ticket,
            queue: self.queue,
            start_by: now + self.wait_ms,
            avoid: self.avoid,
        }
    }
}
