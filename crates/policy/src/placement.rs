//! Placement rules, which choose among workers that have room for a task.

use model::resource::ResourceAmounts;

/// The free and total resources of a candidate, as a placement rule sees them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Free resources of the worker.
    pub free: ResourceAmounts,
    /// All resources of the worker.
    pub capacity: ResourceAmounts,
    /// Share of the rack's processors that is reserved, from 0.0 to 1.0.
    pub rack_load: f64,
}

/// Order in which candidates are visited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateOrder {
    /// Least free processors first.
    LeastFreeFirst,
    /// Most free processors first.
    MostFreeFirst,
    /// Order of the configuration; every worker is visited until one fits.
    Configured,
}

/// Chooses the worker for a task.
///
/// A rule scores a few candidates instead of all workers, so that the cost of
/// a placement does not grow with the fleet.
pub trait PlacementRule {
    /// Name for log lines.
    const NAME: &'static str;
    /// Order in which candidates are visited.
    const ORDER: CandidateOrder;
    /// Most candidates that are scored.
    const MAX_CANDIDATES: usize;
    /// Whether tasks of services are spread over racks.
    const SPREADS_OVER_RACKS: bool;

    /// Returns the cost of placing `demand` on a worker; the candidate with the lowest
    /// cost is chosen.
    fn cost(&self, demand: ResourceAmounts, candidate: &PlacementCandidate) -> f64;
}

/// Best fit: chooses the worker and rack that are left with the least free resources.
#[derive(Clone, Copy, Debug, Default)]
pub struct BestFit;

impl PlacementRule for BestFit {
    const NAME: &'static str = "best-fit";
    const ORDER: CandidateOrder = CandidateOrder::LeastFreeFirst;
    const MAX_CANDIDATES: usize = 16;
    const SPREADS_OVER_RACKS: bool = true;

    fn cost(&self, demand: ResourceAmounts, candidate: &PlacementCandidate) -> f64 {
        // Slots are left out, since batch work uses none of them.
        let relevant = ResourceAmounts { slots: 0, ..candidate.capacity };
        let relevant = match demand.accelerators {
            0 => ResourceAmounts { accelerators: 0, ..relevant },
            _ => relevant,
        };
        let left = candidate.free.minus(demand);
        // The rack weighs half as much as the worker: a rack should stay free as a whole,
        // but not at the price of many half-used workers.
        left.dominant_share(relevant) + (1.0 - candidate.rack_load) / 2.0
    }
}

/// Chooses the first worker that has room; a baseline for the benchmark.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl PlacementRule for FirstFit {
    const NAME: &'static str = "first-fit";
    const ORDER: CandidateOrder = CandidateOrder::Configured;
    const MAX_CANDIDATES: usize = 1;
    const SPREADS_OVER_RACKS: bool = false;

    fn cost(&self, _demand: ResourceAmounts, _candidate: &PlacementCandidate) -> f64 {
        0.0
    }
}

/// Chooses the worker with the most room; a baseline for the benchmark.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl PlacementRule for LeastLoaded {
    const NAME: &'static str = "least-loaded";
    const ORDER: CandidateOrder = CandidateOrder::MostFreeFirst;
    const MAX_CANDIDATES: usize = 16;
    const SPREADS_OVER_RACKS: bool = false;

    fn cost(&self, _demand: ResourceAmounts, candidate: &PlacementCandidate) -> f64 {
        candidate.capacity.minus(candidate.free).dominant_share(candidate.capacity)
    }
}
