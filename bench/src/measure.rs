//! What one run is measured by.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::object::ObjectSet;
use model::resource::ResourceAmounts;

/// Names of the urgency classes, most urgent first.
pub const CLASSES: [&str; 3] = ["urgent", "normal", "batch"];

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct RunMeasure {
    /// Waits in milliseconds by urgency, until the first start on a worker that is
    /// not failing. Work that has not started at the end of the run, that of failed
    /// jobs included, counts with the time since it was submitted.
    pub waits: [Histogram<u64>; 3],
    /// Nanoseconds of the calls that decided something.
    pub costs: Histogram<u64>,
    /// Time spent in all calls.
    pub busy: Duration,
    /// Decisions of all kinds.
    pub decisions: u64,
    /// Requests that asked for a slot.
    pub requests: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Tasks that failed because their worker had no memory left.
    pub starved: u64,
    /// Orders to checkpoint a task for other work.
    pub preempted: u64,
    /// Dated tasks, and those of them that were done in time.
    pub dated: (u64, u64),
    /// Milliseconds of finished or checkpointed work of tasks.
    pub task_work: f64,
    /// The same times the cores in use.
    pub core_work: f64,
    /// What the cells could have done: core milliseconds of the domains in service.
    pub core_bound: f64,
    packing: PackingSum,
    share: (f64, u64),
    /// Breaches of promises, which no variant may have.
    pub breaches: Vec<String>,
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
    pub wanted: ResourceAmounts,
}

impl Default for RunMeasure {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            waits: std::array::from_fn(|_| histogram()),
            costs: histogram(),
            busy: Duration::ZERO,
            decisions: 0,
            requests: 0,
            refused: 0,
            failed: 0,
            starved: 0,
            preempted: 0,
            dated: (0, 0),
            task_work: 0.0,
            core_work: 0.0,
            core_bound: 0.0,
            packing: PackingSum::default(),
            share: (0.0, 0),
            breaches: Vec::new(),
        }
    }
}

impl RunMeasure {
    /// Notes how long a piece of work waited.
    pub fn note_wait(&mut self, urgency: usize, millis: u64) {
        // The histogram grows as needed, so that recording cannot fail.
        let _ = self.waits[urgency].record(millis);
    }

    /// Notes a call that returned `decisions`.
    pub fn note_call(&mut self, took: Duration, decisions: usize) {
        self.busy += took;
        self.decisions += decisions as u64;
        if decisions > 0 {
            let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
            let _ = self.costs.record(nanos);
        }
    }

    /// Notes work that is finished or saved.
    #[expect(clippy::cast_precision_loss, reason = "cores of a task are few")]
    pub fn note_work(&mut self, millis: f64, actual: ResourceAmounts) {
        self.task_work += millis;
        self.core_work += millis * actual.cpu_millis as f64 / 1000.0;
    }

    /// Adds a sample of a cell in which work waits.
    pub fn note_packing(
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
    pub fn note_shares(&mut self, teams: &[TeamDemand], capacity: ResourceAmounts) {
        let wanted = teams.iter().fold(ResourceAmounts::ZERO, |sum, team| sum.plus(team.wanted));
        if wanted.dominant_share(capacity) < 1.0 {
            return;
        }
        let wants: Vec<(f64, f64)> =
            teams.iter().map(|team| (team.weight, team.wanted.dominant_share(capacity))).collect();
        let fair = fair_shares(&wants);
        let gaps = teams
            .iter()
            .zip(fair)
            .map(|(team, fair)| (team.used.dominant_share(capacity) - fair).abs());
        self.share.0 += gaps.sum::<f64>() / f64::from(u32::try_from(teams.len()).unwrap_or(1));
        self.share.1 += 1;
    }

    /// Returns the reserved and the used part of the scarcer resource while work waited.
    #[must_use]
    pub fn packing(&self) -> (f64, f64) {
        let PackingSum { capacity, reserved, used } = self.packing;
        (reserved.dominant_share(capacity), used.dominant_share(capacity))
    }

    /// Returns the mean distance of the teams from their fair shares while the fleet was full.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "samples are few")]
    pub fn share_distance(&self) -> f64 {
        self.share.0 / self.share.1.max(1) as f64
    }

    /// Returns the decisions a second of time spent in calls.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "decisions are few")]
    pub fn decision_rate(&self) -> f64 {
        self.decisions as f64 / self.busy.as_secs_f64().max(1e-9)
    }
}

/// Splits the fleet by weight among teams that get no more than they want.
#[must_use]
pub fn fair_shares(wants: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; wants.len()];
    let mut open: Vec<usize> = (0..wants.len()).collect();
    let mut left = 1.0;
    while !open.is_empty() {
        let weight: f64 = open.iter().map(|team| wants[*team].0).sum();
        let level = left / weight;
        let (met, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|team| wants[**team].1 <= level * wants[**team].0);
        if met.is_empty() {
            for team in rest {
                shares[team] = level * wants[team].0;
            }
            return shares;
        }
        for team in met {
            shares[team] = wants[team].1;
            left -= wants[team].1;
        }
        left = left.max(0.0);
        open = rest;
    }
    shares
}

/// Returns the weight of each team, in the order of the configuration.
#[must_use]
pub fn weights(set: &ObjectSet) -> Vec<f64> {
    let weight = |team: &model::object::TeamObject| {
        let share = set.shares.iter().find(|share| share.team == team.name);
        share.map_or(1.0, |share| f64::from(share.weight))
    };
    set.teams.iter().map(weight).collect()
}
