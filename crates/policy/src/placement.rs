//! The choice among workers that have room for a task.

use model::resource::ResourceAmounts;

/// What a rule sees of a worker that has room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerRoom {
    /// What is free.
    pub free: ResourceAmounts,
    /// What the worker offers.
    pub capacity: ResourceAmounts,
    /// Share of the rack's processors that is reserved, from 0.0 to 1.0.
    pub rack_load: f64,
}

/// Order in which workers with room are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateOrder {
    /// Least free processors first.
    LeastFreeFirst,
    /// Most free processors first.
    MostFreeFirst,
    /// Order of the configuration; looks at every worker.
    Configured,
}

/// Chooses the worker for a task.
///
/// A rule scores a few candidates instead of all workers, so that the cost of
/// a placement does not grow with the fleet.
pub trait PlacementRule {
    /// Name for log lines.
    const NAME: &'static str;
    /// Order in which candidates are found.
    const ORDER: CandidateOrder;
    /// Candidates that are scored at most.
    const MAX_CANDIDATES: usize;
    /// Whether tasks of services are spread over racks.
    const SPREADS_OVER_RACKS: bool;

    /// Returns the cost of placing `demand` in `room`; the lowest is chosen.
    fn cost(&self, demand: ResourceAmounts, room: &WorkerRoom) -> f64;
}

/// Packs: takes the worker and rack that are left with the least room.
#[derive(Clone, Copy, Debug, Default)]
pub struct BestFit;

impl PlacementRule for BestFit {
    const NAME: &'static str = "best-fit";
    const ORDER: CandidateOrder = CandidateOrder::LeastFreeFirst;
    const MAX_CANDIDATES: usize = 16;
    const SPREADS_OVER_RACKS: bool = true;

    fn cost(&self, demand: ResourceAmounts, room: &WorkerRoom) -> f64 {
        // Slots are left out, since batch work uses none of them.
        let relevant = ResourceAmounts { slots: 0, ..room.capacity };
        let relevant = match demand.accelerators {
            0 => ResourceAmounts { accelerators: 0, ..relevant },
            _ => relevant,
        };
        let left = room.free.minus(demand);
        // The rack counts half as much as the worker: a whole free rack is worth
        // keeping, but not at the price of many half-used workers.
        left.dominant_share(relevant) + (1.0 - room.rack_load) / 2.0
    }
}

/// Takes the first worker that has room; a baseline for the benchmark.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl PlacementRule for FirstFit {
    const NAME: &'static str = "first-fit";
    const ORDER: CandidateOrder = CandidateOrder::Configured;
    const MAX_CANDIDATES: usize = 1;
    const SPREADS_OVER_RACKS: bool = false;

    fn cost(&self, _demand: ResourceAmounts, _room: &WorkerRoom) -> f64 {
        0.0
    }
}

/// Takes the worker with the most room; a baseline for the benchmark.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl PlacementRule for LeastLoaded {
    const NAME: &'static str = "least-loaded";
    const ORDER: CandidateOrder = CandidateOrder::MostFreeFirst;
    const MAX_CANDIDATES: usize = 16;
    const SPREADS_OVER_RACKS: bool = false;

    fn cost(&self, _demand: ResourceAmounts, room: &WorkerRoom) -> f64 {
        room.capacity.minus(room.free).dominant_share(room.capacity)
    }
}
