//! The metrics of one simulated run.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::object::ObjectSet;
use model::resource::ResourceAmounts;

/// Names of the urgency classes, most urgent first.
pub const URGENCY_NAMES: [&str; 3] = ["urgent", "normal", "batch"];

/// Metrics collected during one simulated run.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    /// Milliseconds by urgency that tasks and requests waited for their first start on
    /// a worker without a fault.
    ///
    /// A task that has not started by the end of the run, also one of a failed job,
    /// counts with the time since it was submitted.
    pub waits_ms: [Histogram<u64>; 3],
    /// Real nanoseconds of the calls of the policy that returned a decision.
    pub deciding_call_ns: Histogram<u64>,
    /// Real time spent in all calls of the policy.
    pub total_call_time: Duration,
    /// Number of decisions of all kinds.
    pub decisions: u64,
    /// Requests that arrived; further attempts of a request are not counted.
    pub requests: u64,
    /// Requests that were refused or failed.
    pub refused_requests: u64,
    /// Jobs that failed.
    pub failed_jobs: u64,
    /// Tasks that failed because their worker had no memory left.
    pub oom_failures: u64,
    /// Orders to checkpoint or stop a task in favour of other work.
    pub preemptions: u64,
    /// Tasks that were due by the morning, and those of them that were done by then.
    pub morning_tasks: (u64, u64),
    /// Milliseconds of work that counts: finished, checkpointed, or still running at the
    /// end of the run.
    pub task_work_ms: f64,
    /// The same work in core milliseconds, by what the tasks really use.
    pub core_work_ms: f64,
    /// Core milliseconds that the domains in service had during the run.
    pub core_capacity_ms: f64,
    packing: PackingSum,
    /// Sum over the samples of the teams' mean distance from their fair shares, and the
    /// number of samples.
    share_distances: (f64, u64),
    /// Descriptions of violated invariants, which must hold in every variant.
    pub violations: Vec<String>,
}

/// Sums over the samples of cells in which work waited.
#[derive(Clone, Copy, Debug, Default)]
struct PackingSum {
    capacity: ResourceAmounts,
    reserved: ResourceAmounts,
    used: ResourceAmounts,
}

/// What one team uses and what it demands in total.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamDemand {
    /// Weight of the team's share.
    pub weight: f64,
    /// What the team uses now.
    pub used: ResourceAmounts,
    /// What it uses plus what its waiting tasks would use, at most the team's limit.
    pub demanded: ResourceAmounts,
}

impl Default for RunMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are allowed");
        Self {
            waits_ms: std::array::from_fn(|_| histogram()),
            deciding_call_ns: histogram(),
            total_call_time: Duration::ZERO,
            decisions: 0,
            requests: 0,
            refused_requests: 0,
            failed_jobs: 0,
            oom_failures: 0,
            preemptions: 0,
            morning_tasks: (0, 0),
            task_work_ms: 0.0,
            core_work_ms: 0.0,
            core_capacity_ms: 0.0,
            packing: PackingSum::default(),
            share_distances: (0.0, 0),
            violations: Vec::new(),
        }
    }
}

impl RunMetrics {
    /// Records how long a task or request waited for its first start.
    pub fn record_wait(&mut self, urgency_index: usize, wait_ms: u64) {
        // The histogram grows as needed, so that recording cannot fail.
        let _ = self.waits_ms[urgency_index].record(wait_ms);
    }

    /// Records a call of the policy that returned this number of decisions.
    pub fn record_call(&mut self, call_time: Duration, decisions: usize) {
        self.total_call_time += call_time;
        self.decisions += decisions as u64;
        if decisions > 0 {
            let nanos = u64::try_from(call_time.as_nanos()).unwrap_or(u64::MAX);
            let _ = self.deciding_call_ns.record(nanos);
        }
    }

    /// Records work that is finished, checkpointed, or in progress at the end of the run.
    #[expect(clippy::cast_precision_loss, reason = "cores of a task are few")]
    pub fn record_work(&mut self, work_ms: f64, actual_usage: ResourceAmounts) {
        self.task_work_ms += work_ms;
        self.core_work_ms += work_ms * actual_usage.cpu_millis as f64 / 1000.0;
    }

    /// Records a sample of a cell in which work waits.
    pub fn record_packing(
        &mut self,
        capacity: ResourceAmounts,
        reserved: ResourceAmounts,
        used: ResourceAmounts,
    ) {
        self.packing.capacity = self.packing.capacity.plus(capacity);
        self.packing.reserved = self.packing.reserved.plus(reserved);
        self.packing.used = self.packing.used.plus(used);
    }

    /// Records how far the teams are from their fair shares, if together they demand at
    /// least the whole capacity.
    pub fn record_shares(&mut self, teams: &[TeamDemand], capacity: ResourceAmounts) {
        let demanded =
            teams.iter().fold(ResourceAmounts::ZERO, |sum, team| sum.plus(team.demanded));
        if demanded.dominant_share(capacity) < 1.0 {
            return;
        }
        let demands: Vec<(f64, f64)> = teams
            .iter()
            .map(|team| (team.weight, team.demanded.dominant_share(capacity)))
            .collect();
        let fair_shares = compute_fair_shares(&demands);
        let distances = teams
            .iter()
            .zip(fair_shares)
            .map(|(team, fair_share)| (team.used.dominant_share(capacity) - fair_share).abs());
        self.share_distances.0 +=
            distances.sum::<f64>() / f64::from(u32::try_from(teams.len()).unwrap_or(1));
        self.share_distances.1 += 1;
    }

    /// Returns the reserved and the used fraction of capacity while work waited, each of
    /// the resource of which it is highest.
    #[must_use]
    pub fn packing_fractions(&self) -> (f64, f64) {
        let PackingSum { capacity, reserved, used } = self.packing;
        (reserved.dominant_share(capacity), used.dominant_share(capacity))
    }

    /// Returns the mean distance of the teams from their fair shares while their demand
    /// was at least the whole capacity.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "samples are few")]
    pub fn share_distance(&self) -> f64 {
        self.share_distances.0 / self.share_distances.1.max(1) as f64
    }

    /// Returns the decisions per second of real time spent in calls of the policy.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "decisions are few")]
    pub fn decisions_per_s(&self) -> f64 {
        self.decisions as f64 / self.total_call_time.as_secs_f64().max(1e-9)
    }
}

/// Splits the fleet among teams by weight; no team gets more than it demands.
///
/// This is weighted max-min fairness: what a team leaves of its share is split among
/// the others by weight. `demands` has weight and demanded fraction of the fleet for
/// each team; the result has the fair fractions.
#[must_use]
pub fn compute_fair_shares(demands: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut unassigned: Vec<usize> = (0..demands.len()).collect();
    let mut remaining = 1.0;
    while !unassigned.is_empty() {
        let weight: f64 = unassigned.iter().map(|team| demands[*team].0).sum();
        let share_per_weight = remaining / weight;
        let (satisfied, unsatisfied): (Vec<usize>, Vec<usize>) = unassigned
            .iter()
            .partition(|team| demands[**team].1 <= share_per_weight * demands[**team].0);
        if satisfied.is_empty() {
            for team in unsatisfied {
                shares[team] = share_per_weight * demands[team].0;
            }
            return shares;
        }
        for team in satisfied {
            shares[team] = demands[team].1;
            remaining -= demands[team].1;
        }
        remaining = remaining.max(0.0);
        unassigned = unsatisfied;
    }
    shares
}

/// Returns the weight of each team in the order of the configuration; 1 without a share.
#[must_use]
pub fn team_weights(config: &ObjectSet) -> Vec<f64> {
    let weight = |team: &model::object::TeamObject| {
        let share = config.shares.iter().find(|share| share.team == team.name);
        share.map_or(1.0, |share| f64::from(share.weight))
    };
    config.teams.iter().map(weight).collect()
}
