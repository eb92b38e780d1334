//! All workers of the domain, indexed by their free resources.

use std::collections::BTreeSet;

use model::name::{RackName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::event::PlacementReason;
use crate::index::{FreeIndex, FreeKey, WorkerIndex};
use crate::map::FixedMap;
use crate::placement::{CandidateOrder, PlacementCandidate, PlacementRule};
use crate::worker::{IndexKeys, RackIndex, WorkerContact, WorkerEntry};

/// Workers with the fewest used slots that are tried for a request; if none of them
/// fits, the index by free resources is searched.
const MAX_SLOT_CANDIDATES: usize = 64;
/// Queries that are remembered as fitting no worker.
const MAX_CACHED_MISSES: usize = 32;

/// The chosen worker, and the reason for the log.
pub(crate) type WorkerChoice = (WorkerIndex, PlacementReason);
/// A short list of workers, such as those that a task or request should avoid.
pub(crate) type WorkerIndexList = SmallVec<[WorkerIndex; 4]>;

/// A rack with its workers that take work and are not reserved for a gang.
#[derive(Clone, Debug, Default)]
struct RackEntry {
    unreserved: FreeIndex,
    /// Reserved processors of the configured workers, in thousandths.
    reserved_cpu: u64,
    /// All processors of the configured workers, in thousandths.
    capacity_cpu: u64,
}

/// Amounts that fit no worker until a worker has more free.
#[derive(Clone, Copy, Debug)]
struct CachedMiss {
    amounts: ResourceAmounts,
    allow_gang_reserved: bool,
}

/// What a worker must offer to be chosen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerQuery<'a> {
    pub(crate) amounts: ResourceAmounts,
    /// Whether workers reserved for a gang may be used.
    pub(crate) allow_gang_reserved: bool,
    /// Workers that are used only if no other could ever hold the work.
    pub(crate) avoid: &'a [WorkerIndex],
    /// Whether workers with more free accelerators are used only if none with fewer fits.
    pub(crate) spare_accelerators: bool,
}

/// All workers of the domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerPool {
    pub(crate) workers: Vec<WorkerEntry>,
    by_name: FixedMap<WorkerName, WorkerIndex>,
    racks: Vec<RackEntry>,
    rack_names: FixedMap<RackName, RackIndex>,
    /// Workers that take work and are not reserved for a gang.
    unreserved: FreeIndex,
    /// Workers that take work and are reserved for a gang.
    gang_reserved: FreeIndex,
    /// Workers with a free slot, by used slots and then by the sequence number of
    /// their last change, so that equally used workers take turns.
    by_used_slots: BTreeSet<(u64, u64, WorkerIndex)>,
    /// Quarantined workers that are due for a probe.
    probe_candidates: BTreeSet<WorkerIndex>,
    cached_misses: SmallVec<[CachedMiss; 8]>,
    /// Sequence number of the last change of a worker that takes work.
    sequence: u64,
    /// Workers that take work.
    available_count: usize,
    configured_count: usize,
    /// Positions in `workers` of forgotten workers, for reuse.
    free_positions: Vec<WorkerIndex>,
    /// Capacity of the configured workers.
    pub(crate) total_capacity: ResourceAmounts,
    /// Largest amount of each resource that one worker offers.
    pub(crate) max_worker_capacity: ResourceAmounts,
    /// Free amounts of the workers that take work.
    pub(crate) free: ResourceAmounts,
    /// Capacity of the workers that have not reported and so may run anything, without
    /// what tasks known to run there reserve.
    pub(crate) unreported_capacity: ResourceAmounts,
    pub(crate) unreported_count: usize,
    /// What requests that earlier owners granted may use.
    pub(crate) inherited: ResourceAmounts,
}

impl WorkerPool {
    pub(crate) fn new(seed: u64) -> Self {
        // The sequence number breaks ties between equally used workers. It starts from the
        // seed of the owner.
        Self { sequence: seed % 1024, ..Self::default() }
    }

    pub(crate) fn find(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the position of a worker; adds one that is not configured if it is new.
    pub(crate) fn intern(&mut self, name: &WorkerName) -> WorkerIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let entry = WorkerEntry { name: name.clone(), ..WorkerEntry::default() };
        let index = if let Some(index) = self.free_positions.pop() {
            self.workers[index.0 as usize] = entry;
            index
        } else {
            self.workers.push(entry);
            WorkerIndex(u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX))
        };
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Forgets a worker that is not configured and runs nothing, so that entries of
    /// replaced VMs do not accumulate.
    pub(crate) fn forget(&mut self, index: WorkerIndex) {
        self.remove_from_indexes(index);
        let entry = std::mem::take(&mut self.workers[index.0 as usize]);
        self.by_name.remove(&entry.name);
        self.free_positions.push(index);
    }

    /// Returns the position of a rack; adds it if it is new.
    pub(crate) fn intern_rack(&mut self, name: &RackName) -> RackIndex {
        if let Some(index) = self.rack_names.get(name) {
            return *index;
        }
        let index = RackIndex::try_from(self.racks.len()).unwrap_or(RackIndex::MAX);
        self.racks.push(RackEntry::default());
        self.rack_names.insert(name.clone(), index);
        index
    }

    pub(crate) fn get(&self, index: WorkerIndex) -> &WorkerEntry {
        &self.workers[index.0 as usize]
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = WorkerIndex> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerIndex)
    }

    /// Changes a worker and updates the indexes and sums.
    pub(crate) fn edit<T>(
        &mut self,
        index: WorkerIndex,
        change: impl FnOnce(&mut WorkerEntry) -> T,
    ) -> T {
        self.remove_from_indexes(index);
        let value = change(&mut self.workers[index.0 as usize]);
        self.add_to_indexes(index);
        value
    }

    /// Takes a worker out of all indexes and sums.
    fn remove_from_indexes(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index.0 as usize];
        if let Some(amounts) = worker.counted_unreported.take() {
            self.unreported_capacity = self.unreported_capacity.minus(amounts);
            self.unreported_count -= 1;
        }
        self.inherited = self.inherited.minus(worker.inherited);
        if worker.configured {
            self.configured_count -= 1;
            self.total_capacity = self.total_capacity.minus(worker.capacity);
            if let Some(rack) = self.racks.get_mut(worker.rack as usize) {
                rack.reserved_cpu = rack.reserved_cpu.saturating_sub(worker.reserved.cpu_millis);
                rack.capacity_cpu = rack.capacity_cpu.saturating_sub(worker.capacity.cpu_millis);
            }
        }
        self.probe_candidates.remove(&index);
        let Some(keys) = worker.keys.take() else { return };
        self.available_count -= 1;
        self.free = self.free.minus(keys.free);
        let index_set =
            if keys.is_gang_reserved { &mut self.gang_reserved } else { &mut self.unreserved };
        index_set.remove(keys.free_key, index);
        self.racks[keys.rack as usize].unreserved.remove(keys.free_key, index);
        if let Some((used, sequence)) = keys.slots_key {
            self.by_used_slots.remove(&(used, sequence, index));
        }
    }

    /// Adds a worker to the indexes and sums to which it belongs in its current state.
    fn add_to_indexes(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index.0 as usize];
        // A worker that was removed from the configuration before it reported
        // may still run tasks that an earlier owner started.
        let may_run_tasks = worker.configured || !worker.capacity.is_zero();
        if worker.contact == WorkerContact::Unreported && may_run_tasks {
            // What tasks known to run there reserve is counted for their teams already.
            let amounts = worker.capacity.minus(worker.reserved);
            worker.counted_unreported = Some(amounts);
            self.unreported_capacity = self.unreported_capacity.plus(amounts);
            self.unreported_count += 1;
        }
        self.inherited = self.inherited.plus(worker.inherited);
        if worker.configured {
            self.configured_count += 1;
            self.total_capacity = self.total_capacity.plus(worker.capacity);
            self.max_worker_capacity = self.max_worker_capacity.max(worker.capacity);
            if let Some(rack) = self.racks.get_mut(worker.rack as usize) {
                rack.reserved_cpu += worker.reserved.cpu_millis;
                rack.capacity_cpu += worker.capacity.cpu_millis;
            }
        }
        if worker.wants_probe() {
            self.probe_candidates.insert(index);
        }
        if !worker.takes_work() {
            return;
        }
        let free = worker.free();
        let used = worker.reserved.slots + worker.inherited.slots;
        self.sequence += 1;
        let slots_key = (free.slots > 0).then_some((used, self.sequence));
        let free_key = FreeKey::of_worker(free, worker.capacity);
        let keys = IndexKeys {
            free_key,
            is_gang_reserved: worker.is_gang_reserved,
            slots_key,
            rack: worker.rack,
            free,
        };
        worker.keys = Some(keys);
        self.available_count += 1;
        self.free = self.free.plus(free);
        let index_set =
            if keys.is_gang_reserved { &mut self.gang_reserved } else { &mut self.unreserved };
        index_set.insert(free_key, index);
        if !keys.is_gang_reserved {
            self.racks[keys.rack as usize].unreserved.insert(free_key, index);
        }
        if let Some((used, sequence)) = slots_key {
            self.by_used_slots.insert((used, sequence, index));
        }
        self.cached_misses.retain(|miss| {
            !miss.amounts.fits_in(free) || (keys.is_gang_reserved && !miss.allow_gang_reserved)
        });
    }

    /// Returns how many configured workers take no work now.
    fn unavailable_count(&self) -> u32 {
        u32::try_from(self.configured_count - self.available_count).unwrap_or(u32::MAX)
    }

    /// Returns whether a query at most as large fitted no worker and no worker has
    /// gained room for it since.
    fn is_known_miss(&self, query: &WorkerQuery<'_>) -> bool {
        self.cached_misses.iter().any(|miss| {
            miss.amounts.fits_in(query.amounts)
                && (miss.allow_gang_reserved || !query.allow_gang_reserved)
        })
    }

    /// Remembers a query that fits no worker.
    fn record_miss(&mut self, query: &WorkerQuery<'_>) {
        if self.cached_misses.len() < MAX_CACHED_MISSES {
            let WorkerQuery { amounts, allow_gang_reserved, .. } = *query;
            self.cached_misses.push(CachedMiss { amounts, allow_gang_reserved });
        }
    }

    /// Chooses a worker by the placement rule. An avoided worker is chosen only if no
    /// other could ever hold the work.
    pub(crate) fn choose<R: PlacementRule>(
        &mut self,
        rule: &R,
        query: &WorkerQuery<'_>,
    ) -> Option<WorkerChoice> {
        if self.is_known_miss(query) {
            return None;
        }
        let mut search = CandidateSearch::new(self, query);
        match R::ORDER {
            CandidateOrder::Configured => search.visit_in_config_order(R::MAX_CANDIDATES),
            order => {
                search.visit_index(&self.unreserved, order, R::MAX_CANDIDATES);
                if search.found.is_empty() && query.allow_gang_reserved {
                    search.visit_index(&self.gang_reserved, order, R::MAX_CANDIDATES);
                }
            }
        }
        let choice = search.choose_cheapest(rule, self.unavailable_count());
        // Other tasks of the same size may use a worker that this one avoids.
        if choice.is_none() && search.avoided == 0 {
            self.record_miss(query);
        }
        choice
    }

    /// Chooses a worker on the rack that runs the fewest tasks of the job. Racks without
    /// any are tried from position `rack_offset` on.
    pub(crate) fn choose_spread<R: PlacementRule>(
        &mut self,
        rule: &R,
        query: &WorkerQuery<'_>,
        tasks_by_rack: &FixedMap<RackIndex, u32>,
        rack_offset: u64,
    ) -> Option<WorkerChoice> {
        if self.is_known_miss(query) {
            return None;
        }
        let mut search = CandidateSearch::new(self, query);
        // In a full fleet most racks are full: one search of the whole pool saves a
        // search of each rack.
        search.visit_index(&self.unreserved, CandidateOrder::MostFreeFirst, 1);
        if !search.found.is_empty() {
            search.found.clear();
            search.visit_racks(tasks_by_rack, rack_offset, R::MAX_CANDIDATES);
        }
        if search.found.is_empty() && query.allow_gang_reserved {
            search.visit_index(
                &self.gang_reserved,
                CandidateOrder::MostFreeFirst,
                R::MAX_CANDIDATES,
            );
        }
        let choice = search.choose_cheapest(rule, self.unavailable_count());
        // Other tasks of the same size may use a worker that this one avoids.
        if choice.is_none() && search.avoided == 0 {
            self.record_miss(query);
        }
        choice
    }

    /// Chooses the worker with the fewest used slots for a request.
    pub(crate) fn choose_slot(&mut self, query: &WorkerQuery<'_>) -> Option<WorkerChoice> {
        if self.is_known_miss(query) {
            return None;
        }
        let mut reason = PlacementReason {
            rule: "fewest-slots",
            unavailable: self.unavailable_count(),
            ..PlacementReason::default()
        };
        for (_, _, worker) in self.by_used_slots.iter().take(MAX_SLOT_CANDIDATES) {
            reason.considered += 1;
            if query.avoid.contains(worker) {
                reason.avoided += 1;
            } else if query.amounts.fits_in(self.get(*worker).free()) {
                return Some((*worker, reason));
            } else {
                reason.full += 1;
            }
        }
        if self.by_used_slots.len() > MAX_SLOT_CANDIDATES {
            let mut search = CandidateSearch::new(self, query);
            search.visit_index(&self.unreserved, CandidateOrder::MostFreeFirst, 1);
            search.visit_index(&self.gang_reserved, CandidateOrder::MostFreeFirst, 1);
            if let Some(worker) = search.found.first() {
                return Some((*worker, reason));
            }
            reason.avoided += search.avoided;
        }
        if reason.avoided == 0 {
            self.record_miss(query);
            return None;
        }
        // An avoided worker is chosen only if all workers that take work are avoided,
        // since no other will come free then.
        let unavoided = self.available_count.saturating_sub(query.avoid.len());
        let fallback =
            self.by_used_slots.iter().take(MAX_SLOT_CANDIDATES).map(|entry| entry.2).find(
                |worker| {
                    query.avoid.contains(worker) && query.amounts.fits_in(self.get(*worker).free())
                },
            );
        if unavoided == 0 { fallback.map(|worker| (worker, reason)) } else { None }
    }

    /// Returns a quarantined worker that is due for a probe and has enough free.
    pub(crate) fn find_probe_worker(
        &self,
        amounts: ResourceAmounts,
        avoid: &[WorkerIndex],
    ) -> Option<WorkerIndex> {
        self.probe_candidates
            .iter()
            .copied()
            .find(|worker| !avoid.contains(worker) && amounts.fits_in(self.get(*worker).free()))
    }

    /// Returns the workers that could hold `amounts` once all tasks but services have
    /// ended, gang-reserved ones included: those with the fewest accelerators first,
    /// then those with the most free processors.
    pub(crate) fn workers_by_free_cpu(&self, amounts: ResourceAmounts) -> Vec<WorkerIndex> {
        let mut workers: Vec<_> =
            self.unreserved.workers().chain(self.gang_reserved.workers()).collect();
        workers.retain(|worker| {
            let entry = self.get(*worker);
            amounts.fits_in(entry.capacity.minus(entry.service_reserved))
        });
        workers.sort_by_cached_key(|worker| {
            let entry = self.get(*worker);
            (entry.capacity.accelerators, std::cmp::Reverse(entry.free().cpu_millis), *worker)
        });
        workers
    }

    /// Returns what a placement rule needs to know of a worker.
    fn placement_candidate(&self, index: WorkerIndex) -> PlacementCandidate {
        let worker = self.get(index);
        let rack = &self.racks[worker.rack as usize];
        PlacementCandidate {
            free: worker.free(),
            capacity: worker.capacity,
            rack_load: ratio(rack.reserved_cpu, rack.capacity_cpu),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "processors of a rack stay far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// One search for workers that fit a query.
struct CandidateSearch<'a> {
    pool: &'a WorkerPool,
    query: WorkerQuery<'a>,
    /// Workers that fit and are not avoided.
    found: WorkerIndexList,
    /// First worker that fits but is avoided.
    fallback: Option<WorkerIndex>,
    considered: u32,
    full: u32,
    avoided: u32,
}

impl<'a> CandidateSearch<'a> {
    fn new(pool: &'a WorkerPool, query: &WorkerQuery<'a>) -> Self {
        let found = WorkerIndexList::new();
        Self { pool, query: *query, found, fallback: None, considered: 0, full: 0, avoided: 0 }
    }

    /// Checks one worker and counts the result.
    fn visit(&mut self, worker: WorkerIndex) {
        self.considered += 1;
        if !self.query.amounts.fits_in(self.pool.get(worker).free()) {
            self.full += 1;
        } else if self.query.avoid.contains(&worker) {
            self.avoided += 1;
            self.fallback.get_or_insert(worker);
        } else {
            self.found.push(worker);
        }
    }

    /// Visits the workers of an index until `limit` of them fit.
    fn visit_index(&mut self, index: &FreeIndex, order: CandidateOrder, limit: usize) {
        let stop_after_group = self.query.spare_accelerators;
        let amounts = self.query.amounts;
        let has_found = std::cell::Cell::new(false);
        let visit = |worker| {
            self.visit(worker);
            has_found.set(!self.found.is_empty());
            self.found.len() < limit
        };
        index.visit_candidates(amounts, order, visit, || stop_after_group && has_found.get());
    }

    /// Visits racks without a task of the job first, then those with the fewest, until a
    /// rack has a worker that fits.
    fn visit_racks(
        &mut self,
        tasks_by_rack: &FixedMap<RackIndex, u32>,
        rack_offset: u64,
        limit: usize,
    ) {
        let pool = self.pool;
        let count = u32::try_from(pool.racks.len()).unwrap_or(RackIndex::MAX).max(1);
        let first = u32::try_from(rack_offset % u64::from(count)).unwrap_or(0);
        let unused = (0..count)
            .map(|step| (first + step) % count)
            .filter(|rack| !tasks_by_rack.contains_key(rack));
        let mut used: Vec<(u32, RackIndex)> =
            tasks_by_rack.iter().map(|(rack, tasks)| (*tasks, *rack)).collect();
        used.sort_unstable();
        for rack in unused.chain(used.into_iter().map(|(_, rack)| rack)) {
            if let Some(entry) = pool.racks.get(rack as usize) {
                self.visit_index(&entry.unreserved, CandidateOrder::MostFreeFirst, limit);
            }
            if !self.found.is_empty() {
                return;
            }
        }
    }

    /// Visits all workers that take work, in the order in which they were added.
    fn visit_in_config_order(&mut self, limit: usize) {
        for worker in self.pool.indices() {
            let entry = self.pool.get(worker);
            if entry.takes_work() && (self.query.allow_gang_reserved || !entry.is_gang_reserved) {
                self.visit(worker);
            }
            if self.found.len() >= limit {
                return;
            }
        }
    }

    /// Returns an avoided worker that fits, but only if no other worker could ever hold
    /// the work. A worker that fails everything always has room: in a full fleet a task
    /// would return to it again and again until its job fails.
    fn avoided_fallback(&self) -> Option<WorkerIndex> {
        let fallback = self.fallback?;
        let could_hold = |worker: &WorkerIndex| {
            let entry = self.pool.get(*worker);
            let room = entry.capacity.minus(entry.service_reserved);
            entry.takes_work()
                && self.query.amounts.fits_in(room)
                && !self.query.avoid.contains(worker)
        };
        let other = self.pool.indices().find(could_hold);
        other.is_none().then_some(fallback)
    }

    /// Returns the found worker with the lowest cost, or an avoided one as the last resort.
    fn choose_cheapest<R: PlacementRule>(
        &self,
        rule: &R,
        unavailable: u32,
    ) -> Option<WorkerChoice> {
        let cost = |worker: &WorkerIndex| {
            rule.cost(self.query.amounts, &self.pool.placement_candidate(*worker))
        };
        let costs = self.found.iter().map(|worker| (cost(worker), *worker));
        let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
        let worker = best.map(|(_, worker)| worker).or_else(|| self.avoided_fallback())?;
        let reason = PlacementReason {
            rule: R::NAME,
            considered: self.considered,
            full: self.full,
            unavailable,
            avoided: self.avoided,
        };
        Some((worker, reason))
    }
}
