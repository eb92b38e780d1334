//! One worker as the cell knows it.

use std::collections::{BTreeMap, VecDeque};

use model::name::{BootId, RackName, TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;

use crate::event::TicketNumber;
use crate::hold::HoldId;
use crate::index::FreeKey;
use crate::map::FixedMap;
use crate::quarantine::{StartHistory, WorkerProbe, WorkerQuarantine};

/// Position of a rack in the pool.
pub(crate) type RackIndex = u32;

/// What is known about the tasks that a worker runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WorkerContact {
    /// It has not reported under the present authority and may run anything.
    #[default]
    Unreported,
    /// It was restarted, so that nothing runs, but has not listed its tasks.
    Restarted,
    /// It has listed its tasks.
    Reported,
    /// Its lease has expired; nothing runs there.
    Lost,
}

/// A task or request that ended, kept until no report from before its end can arrive.
#[derive(Clone, Debug)]
pub(crate) struct RecentEnd {
    /// The task and attempt; none for a request.
    pub(crate) task: Option<(TaskId, u32)>,
    pub(crate) at: ClockMillis,
}

/// Position of a worker in each index while it takes work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexKeys {
    pub(crate) free_key: FreeKey,
    pub(crate) is_gang_reserved: bool,
    pub(crate) slots_key: Option<(u64, u64)>,
    pub(crate) rack: RackIndex,
    pub(crate) free: ResourceAmounts,
}

/// One worker.
#[derive(Clone, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each comes from another source")]
pub(crate) struct WorkerEntry {
    pub(crate) name: WorkerName,
    pub(crate) rack: RackIndex,
    pub(crate) rack_name: RackName,
    pub(crate) configured: bool,
    pub(crate) capacity: ResourceAmounts,
    pub(crate) contact: WorkerContact,
    pub(crate) silent: bool,
    pub(crate) leaving: bool,
    /// When the platform's list last said that it is leaving.
    pub(crate) leave_announced_at: Option<ClockMillis>,
    pub(crate) backoff_until: Option<ClockMillis>,
    pub(crate) boot: Option<BootId>,
    pub(crate) sent_at: ClockMillis,
    /// What tasks and granted requests reserve.
    pub(crate) reserved: ResourceAmounts,
    /// Part of `reserved` that services hold, which do not end by themselves.
    pub(crate) service_reserved: ResourceAmounts,
    /// What requests may use that were granted by an earlier owner.
    pub(crate) inherited: ResourceAmounts,
    pub(crate) tasks: FixedMap<TaskId, HoldId>,
    pub(crate) grants: BTreeMap<TicketNumber, ClockMillis>,
    pub(crate) recent_ends: VecDeque<RecentEnd>,
    pub(crate) history: StartHistory,
    pub(crate) quarantine: Option<WorkerQuarantine>,
    /// Whether it is kept for the gang that reserves.
    pub(crate) is_gang_reserved: bool,
    pub(crate) keys: Option<IndexKeys>,
    /// What the pool counts as uncertain for it.
    pub(crate) counted_unreported: Option<ResourceAmounts>,
}

impl WorkerEntry {
    pub(crate) fn free(&self) -> ResourceAmounts {
        self.capacity.minus(self.reserved).minus(self.inherited)
    }

    /// Tells whether the worker could take work, quarantine aside.
    pub(crate) fn is_reachable(&self) -> bool {
        self.configured
            && self.contact == WorkerContact::Reported
            && !self.silent
            && !self.leaving
            && self.backoff_until.is_none()
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.is_reachable() && self.quarantine.is_none()
    }

    pub(crate) fn wants_probe(&self) -> bool {
        self.is_reachable() && self.quarantine.is_some_and(|state| state.probe == WorkerProbe::Due)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.grants.is_empty()
    }

    /// Notes an end and drops those that are too old to matter: no exchange with
    /// a worker outlasts its lease.
    pub(crate) fn record_end(&mut self, task: Option<(TaskId, u32)>, now: ClockMillis) {
        while self
            .recent_ends
            .front()
            .is_some_and(|end| now.since(end.at) > crate::rules::WORKER_TTL_MS)
        {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back(RecentEnd { task, at: now });
    }

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
