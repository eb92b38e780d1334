//! All workers of the domain, indexed by what is free.

use std::collections::BTreeSet;

use model::name::{RackName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::event::PlacementReason;
use crate::index::{FreeIndex, RoomKey, WorkerIndex};
use crate::map::FixedMap;
use crate::placement::{CandidateOrder, PlacementRule, WorkerRoom};
use crate::worker::{IndexKeys, RackIndex, WorkerContact, WorkerEntry};

/// Workers tried by fewest slots before the index by room is asked.
const SLOT_SCAN: usize = 64;
/// Shapes that are remembered as not fitting anywhere.
const MAX_CACHED_MISSES: usize = 32;

/// A worker that was chosen, and why.
pub(crate) type WorkerChoice = (WorkerIndex, PlacementReason);
/// Workers that are better not used.
pub(crate) type AvoidList = SmallVec<[WorkerIndex; 4]>;

/// A rack with the workers that take work.
#[derive(Clone, Debug, Default)]
struct RackEntry {
    open: FreeIndex,
    reserved_cpu: u64,
    capacity_cpu: u64,
}

/// A shape that fits no worker until more is freed.
#[derive(Clone, Copy, Debug)]
struct ShapeMiss {
    amounts: ResourceAmounts,
    with_reserved: bool,
}

/// What a search looks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerQuery<'a> {
    pub(crate) amounts: ResourceAmounts,
    /// Whether workers reserved for a gang may be used.
    pub(crate) with_reserved: bool,
    pub(crate) avoid: &'a [WorkerIndex],
    pub(crate) keep_accelerators: bool,
}

/// All workers of the domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerPool {
    pub(crate) workers: Vec<WorkerEntry>,
    by_name: FixedMap<WorkerName, WorkerIndex>,
    racks: Vec<RackEntry>,
    rack_names: FixedMap<RackName, RackIndex>,
    open: FreeIndex,
    reserved: FreeIndex,
    slots: BTreeSet<(u64, u64, WorkerIndex)>,
    probes: BTreeSet<WorkerIndex>,
    misses: SmallVec<[ShapeMiss; 8]>,
    stamp: u64,
    available: usize,
    configured: usize,
    /// Positions of workers that are gone for good.
    vacant: Vec<WorkerIndex>,
    /// Capacity of the configured workers.
    pub(crate) total: ResourceAmounts,
    /// Largest amount of each resource that one worker offers.
    pub(crate) largest: ResourceAmounts,
    /// Free amounts of the workers that take work.
    pub(crate) free: ResourceAmounts,
    /// Capacity of the workers that may run anything.
    pub(crate) uncertain: ResourceAmounts,
    pub(crate) uncertain_count: usize,
    /// What requests of earlier owners may use.
    pub(crate) foreign: ResourceAmounts,
}

impl WorkerPool {
    pub(crate) fn new(seed: u64) -> Self {
        // Ties between equally used workers are broken by stamp; different
        // owners start with different workers.
        Self { stamp: seed % 1024, ..Self::default() }
    }

    pub(crate) fn find(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn intern(&mut self, name: &WorkerName) -> WorkerIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let entry = WorkerEntry { name: name.clone(), ..WorkerEntry::default() };
        let index = if let Some(index) = self.vacant.pop() {
            self.workers[index.0 as usize] = entry;
            index
        } else {
            self.workers.push(entry);
            WorkerIndex(u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX))
        };
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Forgets a worker that is not configured and runs nothing, so that replaced
    /// VMs do not pile up.
    pub(crate) fn forget(&mut self, index: WorkerIndex) {
        self.unlink(index);
        let entry = std::mem::take(&mut self.workers[index.0 as usize]);
        self.by_name.remove(&entry.name);
        self.vacant.push(index);
    }

    pub(crate) fn rack(&mut self, name: &RackName) -> RackIndex {
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

    /// Changes a worker and brings the indexes and sums up to date.
    pub(crate) fn edit<T>(
        &mut self,
        index: WorkerIndex,
        change: impl FnOnce(&mut WorkerEntry) -> T,
    ) -> T {
        self.unlink(index);
        let value = change(&mut self.workers[index.0 as usize]);
        self.link(index);
        value
    }

    fn unlink(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index.0 as usize];
        if let Some(amounts) = worker.uncertain.take() {
            self.uncertain = self.uncertain.minus(amounts);
            self.uncertain_count -= 1;
        }
        self.foreign = self.foreign.minus(worker.foreign);
        if worker.configured {
            self.configured -= 1;
            self.total = self.total.minus(worker.capacity);
            if let Some(rack) = self.racks.get_mut(worker.rack as usize) {
                rack.reserved_cpu = rack.reserved_cpu.saturating_sub(worker.reserved.cpu_millis);
                rack.capacity_cpu = rack.capacity_cpu.saturating_sub(worker.capacity.cpu_millis);
            }
        }
        self.probes.remove(&index);
        let Some(keys) = worker.keys.take() else { return };
        self.available -= 1;
        self.free = self.free.minus(keys.free);
        let side = if keys.reserved { &mut self.reserved } else { &mut self.open };
        side.remove(keys.room, index);
        self.racks[keys.rack as usize].open.remove(keys.room, index);
        if let Some((used, stamp)) = keys.slots {
            self.slots.remove(&(used, stamp, index));
        }
    }

    fn link(&mut self, index: WorkerIndex) {
        let worker = &mut self.workers[index.0 as usize];
        // A worker that was removed from the configuration before it reported
        // may still run tasks that an earlier owner started.
        let known = worker.configured || !worker.capacity.is_zero();
        if worker.contact == WorkerContact::Unreported && known {
            // Tasks that are known to run there are counted by themselves.
            let amounts = worker.capacity.minus(worker.reserved);
            worker.uncertain = Some(amounts);
            self.uncertain = self.uncertain.plus(amounts);
            self.uncertain_count += 1;
        }
        self.foreign = self.foreign.plus(worker.foreign);
        if worker.configured {
            self.configured += 1;
            self.total = self.total.plus(worker.capacity);
            self.largest = self.largest.max(worker.capacity);
            if let Some(rack) = self.racks.get_mut(worker.rack as usize) {
                rack.reserved_cpu += worker.reserved.cpu_millis;
                rack.capacity_cpu += worker.capacity.cpu_millis;
            }
        }
        if worker.wants_probe() {
            self.probes.insert(index);
        }
        if !worker.takes_work() {
            return;
        }
        let free = worker.free();
        let used = worker.reserved.slots + worker.foreign.slots;
        self.stamp += 1;
        let slots = (free.slots > 0).then_some((used, self.stamp));
        let room = RoomKey::of_worker(free, worker.capacity);
        let keys = IndexKeys { room, reserved: worker.for_gang, slots, rack: worker.rack, free };
        worker.keys = Some(keys);
        self.available += 1;
        self.free = self.free.plus(free);
        let side = if keys.reserved { &mut self.reserved } else { &mut self.open };
        side.insert(room, index);
        if !keys.reserved {
            self.racks[keys.rack as usize].open.insert(room, index);
        }
        if let Some((used, stamp)) = slots {
            self.slots.insert((used, stamp, index));
        }
        self.misses
            .retain(|miss| !miss.amounts.fits_in(free) || (keys.reserved && !miss.with_reserved));
    }

    /// Returns how many configured workers take no work at present.
    fn unavailable(&self) -> u32 {
        u32::try_from(self.configured - self.available).unwrap_or(u32::MAX)
    }

    /// Tells whether a shape was found not to fit and nothing was freed for it since.
    fn is_missed(&self, ask: &WorkerQuery<'_>) -> bool {
        self.misses.iter().any(|miss| {
            miss.amounts.fits_in(ask.amounts) && (miss.with_reserved || !ask.with_reserved)
        })
    }

    fn note_miss(&mut self, ask: &WorkerQuery<'_>) {
        if self.misses.len() < MAX_CACHED_MISSES {
            let WorkerQuery { amounts, with_reserved, .. } = *ask;
            self.misses.push(ShapeMiss { amounts, with_reserved });
        }
    }

    /// Chooses a worker by the rule; avoided workers are taken only if nothing else fits.
    pub(crate) fn choose<R: PlacementRule>(
        &mut self,
        rule: &R,
        ask: &WorkerQuery<'_>,
    ) -> Option<WorkerChoice> {
        if self.is_missed(ask) {
            return None;
        }
        let mut search = CandidateSearch::new(self, ask);
        match R::ORDER {
            CandidateOrder::Configured => search.scan_listed(R::MAX_CANDIDATES),
            order => {
                search.walk(&self.open, order, R::MAX_CANDIDATES);
                if search.found.is_empty() && ask.with_reserved {
                    search.walk(&self.reserved, order, R::MAX_CANDIDATES);
                }
            }
        }
        let choice = search.finish(rule, self.unavailable());
        // Other tasks of the shape may use a worker that this one avoids.
        if choice.is_none() && search.avoided == 0 {
            self.note_miss(ask);
        }
        choice
    }

    /// Chooses a worker on the rack that has the fewest tasks of the job.
    pub(crate) fn choose_spread<R: PlacementRule>(
        &mut self,
        rule: &R,
        ask: &WorkerQuery<'_>,
        on_rack: &FixedMap<RackIndex, u32>,
        turn: u64,
    ) -> Option<WorkerChoice> {
        if self.is_missed(ask) {
            return None;
        }
        let mut search = CandidateSearch::new(self, ask);
        // Most racks are full when the fleet is; one look at the whole pool
        // saves a look at each of them.
        search.walk(&self.open, CandidateOrder::MostFreeFirst, 1);
        if !search.found.is_empty() {
            search.found.clear();
            search.walk_racks(on_rack, turn, R::MAX_CANDIDATES);
        }
        if search.found.is_empty() && ask.with_reserved {
            search.walk(&self.reserved, CandidateOrder::MostFreeFirst, R::MAX_CANDIDATES);
        }
        let choice = search.finish(rule, self.unavailable());
        // Other tasks of the shape may use a worker that this one avoids.
        if choice.is_none() && search.avoided == 0 {
            self.note_miss(ask);
        }
        choice
    }

    /// Chooses the worker with the fewest slots in use for a request.
    pub(crate) fn choose_slot(&mut self, ask: &WorkerQuery<'_>) -> Option<WorkerChoice> {
        if self.is_missed(ask) {
            return None;
        }
        let mut reason = PlacementReason {
            rule: "fewest-slots",
            unavailable: self.unavailable(),
            ..PlacementReason::default()
        };
        for (_, _, worker) in self.slots.iter().take(SLOT_SCAN) {
            reason.considered += 1;
            if ask.avoid.contains(worker) {
                reason.avoided += 1;
            } else if ask.amounts.fits_in(self.get(*worker).free()) {
                return Some((*worker, reason));
            } else {
                reason.full += 1;
            }
        }
        if self.slots.len() > SLOT_SCAN {
            let mut search = CandidateSearch::new(self, ask);
            search.walk(&self.open, CandidateOrder::MostFreeFirst, 1);
            search.walk(&self.reserved, CandidateOrder::MostFreeFirst, 1);
            if let Some(worker) = search.found.first() {
                return Some((*worker, reason));
            }
            reason.avoided += search.avoided;
        }
        if reason.avoided == 0 {
            self.note_miss(ask);
            return None;
        }
        // Waiting for another worker is pointless when all that take work are avoided.
        let unavoided = self.available.saturating_sub(ask.avoid.len());
        let fallback = self.slots.iter().take(SLOT_SCAN).map(|entry| entry.2).find(|worker| {
            ask.avoid.contains(worker) && ask.amounts.fits_in(self.get(*worker).free())
        });
        if unavoided == 0 { fallback.map(|worker| (worker, reason)) } else { None }
    }

    /// Returns a quarantined worker that is due for a probe and has room.
    pub(crate) fn probe_for(
        &self,
        amounts: ResourceAmounts,
        avoid: &[WorkerIndex],
    ) -> Option<WorkerIndex> {
        self.probes
            .iter()
            .copied()
            .find(|worker| !avoid.contains(worker) && amounts.fits_in(self.get(*worker).free()))
    }

    /// Returns workers with the most room first, those reserved for a gang included.
    pub(crate) fn roomiest(&self, amounts: ResourceAmounts) -> Vec<WorkerIndex> {
        let mut workers: Vec<_> = self.open.workers().chain(self.reserved.workers()).collect();
        workers.retain(|worker| {
            let entry = self.get(*worker);
            amounts.fits_in(entry.capacity.minus(entry.lasting))
        });
        workers.sort_by_cached_key(|worker| {
            let entry = self.get(*worker);
            (entry.capacity.accelerators, std::cmp::Reverse(entry.free().cpu_millis), *worker)
        });
        workers
    }

    fn room(&self, index: WorkerIndex) -> WorkerRoom {
        let worker = self.get(index);
        let rack = &self.racks[worker.rack as usize];
        WorkerRoom {
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

/// Collects the workers that have room.
struct CandidateSearch<'a> {
    pool: &'a WorkerPool,
    ask: WorkerQuery<'a>,
    found: AvoidList,
    fallback: Option<WorkerIndex>,
    considered: u32,
    full: u32,
    avoided: u32,
}

impl<'a> CandidateSearch<'a> {
    fn new(pool: &'a WorkerPool, ask: &WorkerQuery<'a>) -> Self {
        let found = AvoidList::new();
        Self { pool, ask: *ask, found, fallback: None, considered: 0, full: 0, avoided: 0 }
    }

    fn visit(&mut self, worker: WorkerIndex) {
        self.considered += 1;
        if !self.ask.amounts.fits_in(self.pool.get(worker).free()) {
            self.full += 1;
        } else if self.ask.avoid.contains(&worker) {
            self.avoided += 1;
            self.fallback.get_or_insert(worker);
        } else {
            self.found.push(worker);
        }
    }

    fn walk(&mut self, index: &FreeIndex, order: CandidateOrder, limit: usize) {
        let keep = self.ask.keep_accelerators;
        let amounts = self.ask.amounts;
        let done = std::cell::Cell::new(false);
        let visit = |worker| {
            self.visit(worker);
            done.set(!self.found.is_empty());
            self.found.len() < limit
        };
        index.walk(amounts, order, visit, || keep && done.get());
    }

    /// Looks at racks without a task of the job first, then at those with the fewest.
    fn walk_racks(&mut self, on_rack: &FixedMap<RackIndex, u32>, turn: u64, limit: usize) {
        let pool = self.pool;
        let count = u32::try_from(pool.racks.len()).unwrap_or(RackIndex::MAX).max(1);
        let first = u32::try_from(turn % u64::from(count)).unwrap_or(0);
        let unused = (0..count)
            .map(|step| (first + step) % count)
            .filter(|rack| !on_rack.contains_key(rack));
        let mut used: Vec<(u32, RackIndex)> =
            on_rack.iter().map(|(rack, tasks)| (*tasks, *rack)).collect();
        used.sort_unstable();
        for rack in unused.chain(used.into_iter().map(|(_, rack)| rack)) {
            if let Some(entry) = pool.racks.get(rack as usize) {
                self.walk(&entry.open, CandidateOrder::MostFreeFirst, limit);
            }
            if !self.found.is_empty() {
                return;
            }
        }
    }

    fn scan_listed(&mut self, limit: usize) {
        for worker in self.pool.indices() {
            let entry = self.pool.get(worker);
            if entry.takes_work() && (self.ask.with_reserved || !entry.for_gang) {
                self.visit(worker);
            }
            if self.found.len() >= limit {
                return;
            }
        }
    }

    /// Returns an avoided worker if no other could ever hold the work. A worker
    /// that fails everything always has room, so that in a full fleet a task
    /// would return to it until its job has failed.
    fn last_resort(&self) -> Option<WorkerIndex> {
        let fallback = self.fallback?;
        let could_hold = |worker: &WorkerIndex| {
            let entry = self.pool.get(*worker);
            let room = entry.capacity.minus(entry.lasting);
            entry.takes_work() && self.ask.amounts.fits_in(room) && !self.ask.avoid.contains(worker)
        };
        let other = self.pool.indices().find(could_hold);
        other.is_none().then_some(fallback)
    }

    fn finish<R: PlacementRule>(&self, rule: &R, unavailable: u32) -> Option<WorkerChoice> {
        let cost = |worker: &WorkerIndex| rule.cost(self.ask.amounts, &self.pool.room(*worker));
        let costs = self.found.iter().map(|worker| (cost(worker), *worker));
        let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
        let worker = best.map(|(_, worker)| worker).or_else(|| self.last_resort())?;
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
