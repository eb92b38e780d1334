//! What one run is measured by.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::object::ObjectSet;
use model::resource::ResourceAmounts;

/// Names of the urgency classes, most urgent first.
pub const URGENCY_NAMES: [&str; 3] = ["urgent", "normal", "batch"];

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    /// Waits in milliseconds by urgency, until the first start on a worker that is
    /// not failing. Work that has not started at the end of the run, that of failed
    /// jobs included, counts with the time since it was submitted.
    pub waits_ms: [Histogram<u64>; 3],
    /// Nanoseconds of the calls that decided something.
    pub call_costs_ns: Histogram<u64>,
    /// Time spent in all calls.
    pub total_call_time: Duration,
    /// Decisions of all kinds.
    pub decisions: u64,
    /// Requests that asked for a slot.
    pub requests: u64,
    /// Requests that were refused or failed.
    pub refused_requests: u64,
    /// Jobs that failed.
    pub failed_jobs: u64,
    /// Tasks that failed because their worker had no memory remaining.
    pub oom_failures: u64,
    /// Orders to checkpoint a task for other work.
    pub preemptions: u64,
    /// Dated tasks, and those of them that were done in time.
    pub morning_tasks: (u64, u64),
    /// Milliseconds of finished or checkpointed work of tasks.
    pub task_work_ms: f64,
    /// The same times the cores in use.
    pub core_work_ms: f64,
    /// What the cells could have done: core milliseconds of the domains in service.
    pub core_capacity_ms: f64,
    packing: PackingSum,
    share_distances: (f64, u64),
    /// Breaches of promises, which no variant may have.
    pub violations: Vec<String>,
}

/// Sums over the samples in which work waited.
#[derive(Clone, Copy, Debug, Default)]
struct PackingSum {
    capacity: ResourceAmounts,
    reserved: ResourceAmounts,
    used: ResourceAmounts,
}

/// What one team uses and asks for beyond that.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamDemand {
    /// Weight of its share.
    pub weight: f64,
    /// What it uses.
    pub used: ResourceAmounts,
    /// What it uses and what waits, within its limit.
    pub demanded: ResourceAmounts,
}

impl Default for RunMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            waits_ms: std::array::from_fn(|_| histogram()),
            call_costs_ns: histogram(),
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
    /// Notes how long a piece of work waited.
    pub fn record_wait(&mut self, urgency_index: usize, wait_ms: u64) {
        // The histogram grows as needed, so that recording cannot fail.
        let _ = self.waits_ms[urgency_index].record(wait_ms);
    }

    /// Notes a call that returned `decisions`.
    pub fn record_call(&mut self, call_time: Duration, decisions: usize) {
        self.total_call_time += call_time;
        self.decisions += decisions as u64;
        if decisions > 0 {
            let nanos = u64::try_from(call_time.as_nanos()).unwrap_or(u64::MAX);
            let _ = self.call_costs_ns.record(nanos);
        }
    }

    /// Notes work that is finished or saved.
    #[expect(clippy::cast_precision_loss, reason = "cores of a task are few")]
    pub fn record_work(&mut self, work_ms: f64, actual_usage: ResourceAmounts) {
        self.task_work_ms += work_ms;
        self.core_work_ms += work_ms * actual_usage.cpu_millis as f64 / 1000.0;
    }

    /// Adds a sample of a cell in which work waits.
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

    /// Adds a sample of the teams if they ask for more than there is.
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

    /// Returns the reserved and the used part of the scarcer resource while work waited.
    #[must_use]
    pub fn packing_fractions(&self) -> (f64, f64) {
        let PackingSum { capacity, reserved, used } = self.packing;
        (reserved.dominant_share(capacity), used.dominant_share(capacity))
    }

    /// Returns the mean distance of the teams from their fair shares while the fleet was full.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "samples are few")]
    pub fn share_distance(&self) -> f64 {
        self.share_distances.0 / self.share_distances.1.max(1) as f64
    }

    /// Returns the decisions a second of time spent in calls.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "decisions are few")]
    pub fn decisions_per_s(&self) -> f64 {
        self.decisions as f64 / self.total_call_time.as_secs_f64().max(1e-9)
    }
}

/// Splits the fleet by weight among teams that get no more than they want.
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

/// Returns the weight of each team, in the order of the configuration.
#[must_use]
pub fn team_weights(config: &ObjectSet) -> Vec<f64> {
    let weight = |team: &model::object::TeamObject| {
        let share = config.shares.iter().find(|share| share.team == team.name);
        share.map_or(1.0, |share| f64::from(share.weight))
    };
    config.teams.iter().map(weight).collect()
}
