//! An index of workers by their free resources.

use std::collections::BTreeSet;
use std::ops::Bound;

use model::resource::ResourceAmounts;

use crate::placement::CandidateOrder;

/// Position of a worker in the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerIndex(pub(crate) u32);

/// Free resources of a worker as buckets, four for each power of two; the sort key of
/// the index.
///
/// Workers without accelerators sort first, so that work without accelerators is
/// offered the others last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FreeKey {
    accelerators: u8,
    cpu: u8,
    memory: u8,
}

impl FreeKey {
    /// Returns the key of a worker.
    pub(crate) fn of_worker(free: ResourceAmounts, capacity: ResourceAmounts) -> Self {
        let accelerators = match capacity.accelerators {
            0 => 0,
            _ => accelerator_bucket(free.accelerators),
        };
        Self {
            accelerators,
            cpu: size_bucket(free.cpu_millis),
            memory: size_bucket(free.memory_mb),
        }
    }

    /// Returns the lowest key that a worker with room for `demand` can have.
    fn of_demand(demand: ResourceAmounts) -> Self {
        let accelerators = match demand.accelerators {
            0 => 0,
            count => accelerator_bucket(count),
        };
        Self {
            accelerators,
            cpu: size_bucket(demand.cpu_millis),
            memory: size_bucket(demand.memory_mb),
        }
    }
}

/// Returns the bucket of a worker with accelerators; 0 is for workers without.
fn accelerator_bucket(count: u64) -> u8 {
    u8::try_from(count.saturating_add(1)).unwrap_or(u8::MAX)
}

/// Returns the bucket of an amount; it never decreases as the amount grows.
fn size_bucket(amount: u64) -> u8 {
    if amount < 4 {
        return u8::try_from(amount).unwrap_or(0);
    }
    let exponent = amount.ilog2();
    let quarter = (amount >> (exponent - 2)) & 3;
    u8::try_from(u64::from(exponent) * 4 + quarter - 4).unwrap_or(u8::MAX)
}

type IndexEntry = (FreeKey, WorkerIndex);

/// Workers sorted by their free resources.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    entries: BTreeSet<IndexEntry>,
}

impl FreeIndex {
    pub(crate) fn insert(&mut self, key: FreeKey, worker: WorkerIndex) {
        self.entries.insert((key, worker));
    }

    pub(crate) fn remove(&mut self, key: FreeKey, worker: WorkerIndex) {
        self.entries.remove(&(key, worker));
    }

    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.entries.iter().map(|(_, worker)| *worker)
    }

    /// Visits workers that may have room for `demand` until `visit` returns false.
    ///
    /// Workers are grouped by free accelerators, fewest first; the visit also ends after
    /// a group if `end_group` returns true.
    pub(crate) fn visit_candidates(
        &self,
        demand: ResourceAmounts,
        order: CandidateOrder,
        mut visit: impl FnMut(WorkerIndex) -> bool,
        mut end_group: impl FnMut() -> bool,
    ) {
        let low = FreeKey::of_demand(demand);
        let mut next = Some(low.accelerators);
        while let Some(start) = next {
            let Some(group) = self.group_from(start) else { return };
            let low = FreeKey { accelerators: group, ..low };
            let go_on = match order {
                CandidateOrder::LeastFreeFirst | CandidateOrder::Configured => {
                    self.visit_least_free_first(low, &mut visit)
                }
                CandidateOrder::MostFreeFirst => self.visit_most_free_first(low, &mut visit),
            };
            if !go_on || end_group() {
                return;
            }
            next = group.checked_add(1);
        }
    }

    /// Returns the first group that has at least this bucket of free accelerators.
    fn group_from(&self, accelerators: u8) -> Option<u8> {
        let start = FreeKey { accelerators, cpu: 0, memory: 0 };
        self.entries.range((start, WorkerIndex(0))..).next().map(|(key, _)| key.accelerators)
    }

    /// Visits the workers of a group at or above `low`, those with the least free
    /// processors first; returns false if `visit` did.
    fn visit_least_free_first(
        &self,
        low: FreeKey,
        visit: &mut impl FnMut(WorkerIndex) -> bool,
    ) -> bool {
        let mut cursor = Bound::Included((low, WorkerIndex(0)));
        while let Some(entry) = self.entries.range((cursor, Bound::Unbounded)).next() {
            let (key, worker) = *entry;
            if key.accelerators != low.accelerators {
                break;
            }
            if key.memory < low.memory {
                // Skips the workers of this processor bucket that have too little memory.
                cursor = Bound::Included((FreeKey { memory: low.memory, ..key }, WorkerIndex(0)));
                continue;
            }
            if !visit(worker) {
                return false;
            }
            cursor = Bound::Excluded((key, worker));
        }
        true
    }

    /// Visits the workers of a group at or above `low`, those with the most free
    /// processors first; returns false if `visit` did.
    fn visit_most_free_first(
        &self,
        low: FreeKey,
        visit: &mut impl FnMut(WorkerIndex) -> bool,
    ) -> bool {
        let top = FreeKey { accelerators: low.accelerators, cpu: u8::MAX, memory: u8::MAX };
        let mut cursor = Bound::Included((top, WorkerIndex(u32::MAX)));
        while let Some(entry) = self.entries.range((Bound::Unbounded, cursor)).next_back() {
            let (key, worker) = *entry;
            if key.accelerators != low.accelerators || key.cpu < low.cpu {
                break;
            }
            if key.memory < low.memory {
                cursor = Bound::Excluded((FreeKey { memory: 0, ..key }, WorkerIndex(0)));
                continue;
            }
            if !visit(worker) {
                return false;
            }
            cursor = Bound::Excluded((key, worker));
        }
        true
    }
}
