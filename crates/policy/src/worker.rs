//! The state of one worker in the cell.

use std::collections::{BTreeMap, VecDeque};

use model::name::{BootId, RackName, TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::event::TicketNumber;
use crate::hold::HoldId;
use crate::index::FreeKey;
use crate::map::FixedMap;
use crate::quarantine::{FailureHistory, WorkerProbe, WorkerQuarantine};

/// Position of a rack in the pool.
pub(crate) type RackIndex = u32;

/// What is known about the tasks that a worker runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WorkerContact {
    /// It has not reported to the current owner and may run anything.
    #[default]
    Unreported,
    /// It was restarted, which ended all its tasks, but has not sent a full report since.
    Restarted,
    /// It has sent a full report.
    Reported,
    /// Its lease has expired; nothing runs there.
    Lost,
}

/// An attempt or request that ended, kept until no report from before its end can arrive.
#[derive(Clone, Debug)]
pub(crate) struct RecentEnd {
    /// The task and its attempt number; `None` for a request.
    pub(crate) task: Option<(TaskId, u32)>,
    pub(crate) at: ClockMillis,
}

/// Keys of a worker in the indexes of the pool while it takes work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexKeys {
    pub(crate) free_key: FreeKey,
    pub(crate) is_gang_reserved: bool,
    /// Used slots and sequence number, if a slot is free.
    pub(crate) slots_key: Option<(u64, u64)>,
    pub(crate) rack: RackIndex,
    pub(crate) free: ResourceAmounts,
}

/// One worker, with what it runs and whether it gets work.
#[derive(Clone, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each comes from another source")]
pub(crate) struct WorkerEntry {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackIndex,
    pub(crate) rack_name: RackName,
    /// Whether the configuration in force lists the worker.
    pub(crate) configured: bool,
    pub(crate) capacity: ResourceAmounts,
    pub(crate) contact: WorkerContact,
    /// Whether it has not reported for a while.
    pub(crate) silent: bool,
    /// Whether its VM will be removed.
    pub(crate) leaving: bool,
    /// When the platform last announced that it will be removed.
    pub(crate) leave_announced_at: Option<ClockMillis>,
    /// Until when it gets no work because it refused a start.
    pub(crate) backoff_until: Option<ClockMillis>,
    pub(crate) boot: Option<BootId>,
    /// When its last report was requested.
    pub(crate) sent_at: ClockMillis,
    /// What tasks and granted requests reserve.
    pub(crate) reserved: ResourceAmounts,
    /// Part of `reserved` that services use, which do not end by themselves.
    pub(crate) service_reserved: ResourceAmounts,
    /// What requests that an earlier owner granted may use.
    pub(crate) inherited: ResourceAmounts,
    pub(crate) tasks: FixedMap<TaskId, HoldId>,
    /// Granted requests, with the instant after which each has arrived or never will.
    pub(crate) grants: BTreeMap<TicketNumber, ClockMillis>,
    pub(crate) recent_ends: VecDeque<RecentEnd>,
    pub(crate) history: FailureHistory,
    pub(crate) quarantine: Option<WorkerQuarantine>,
    /// Whether it is reserved for a gang.
    pub(crate) is_gang_reserved: bool,
    /// Its keys in the indexes; `None` while it takes no work.
    pub(crate) keys: Option<IndexKeys>,
    /// What the pool's `unreported_capacity` includes for it.
    pub(crate) counted_unreported: Option<ResourceAmounts>,
}

impl WorkerEntry {
    pub(crate) fn free(&self) -> ResourceAmounts {
        self.capacity.minus(self.reserved).minus(self.inherited)
    }

    /// Returns whether the worker could take work if it is not quarantined.
    pub(crate) fn is_usable(&self) -> bool {
        self.configured
            && self.contact == WorkerContact::Reported
            && !self.silent
            && !self.leaving
            && self.backoff_until.is_none()
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.is_usable() && self.quarantine.is_none()
    }

    pub(crate) fn wants_probe(&self) -> bool {
        self.is_usable() && self.quarantine.is_some_and(|state| state.probe == WorkerProbe::Due)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.grants.is_empty()
    }

    /// Records an end and drops those older than a lease. No call to a worker outlasts
    /// its lease, so no report from before such an end can still arrive.
    pub(crate) fn record_end(&mut self, task: Option<(TaskId, u32)>, now: ClockMillis) {
        while self
            .recent_ends
            .front()
            .is_some_and(|end| now.since(end.at) > crate::rules::WORKER_LEASE_MS)
        {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back(RecentEnd { task, at: now });
    }

    /// Returns whether an attempt ended at or after `since`.
    pub(crate) fn ended_since(&self, task: &TaskId, attempt: u32, since: ClockMillis) -> bool {
        self.recent_ends.iter().rev().take_while(|end| end.at >= since).any(|end| {
            end.task.as_ref().is_some_and(|(name, number)| name == task && *number == attempt)
        })
    }

    pub(crate) fn requests_ended_since(&self, since: ClockMillis) -> usize {
        let recent = self.recent_ends.iter().rev().take_while(|end| end.at >= since);
        recent.filter(|end| end.task.is_none()).count()
    }
}
