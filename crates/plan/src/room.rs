//! Forecast of when there is capacity for a job, from the work that waits before it.
//!
//! The forecast treats a pool as one server: the work that waits (amounts times expected
//! duration) is served at the rate at which the runs in progress free their capacity. It is
//! computed once in a decision, in the order of the ranks, so that a question about one more job
//! is a binary search (docs/design/insufficient-capacity.md).

use std::collections::{BTreeMap, HashSet};

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName};
use model::resource::ResourceAmounts;

use crate::capacity;
use crate::config::QueueRule;
use crate::duration::DurationTable;
use crate::job::{JobSpec, StepSpec};
use crate::order::{JobRank, RankClass};
use crate::place::WaitingStep;
use crate::planner::Planner;
use crate::progress::JobStatus;
use crate::state::{JobState, RunState};
use crate::worker::{EndKind, EndedRun};

/// Time after the first decision before which no job is refused, in milliseconds: a new owner has
/// seen no run end and no job arrive.
const MIN_MEASURED_MS: u64 = 2_000;
/// Workers for each millisecond between two forecasts. A forecast looks at all workers and all waiting
/// jobs, so that those of a large fleet would take a third of the time of its decisions.
const WORKERS_PER_FORECAST_MS: usize = 20;
/// Time constant of the measured rates, in milliseconds. Bursts last for 8 to 12 s, and runs for
/// up to some seconds.
const RATE_WINDOW_MS: f64 = 4_000.0;
/// Bounds of the measured efficiency. Beyond them the estimates say too little.
const EFFICIENCY_RANGE: (f64, f64) = (0.25, 1.5);
/// Time in milliseconds of one worker's whole capacity that the assumed efficiency of 1 counts
/// for, until runs have ended.
const PRIOR_USE_MS: f64 = 2_000.0;
/// Part of the usable capacity that is in use at least while work waits for capacity. The rest is
/// left over beside large tasks, or is on its way to a start.
const BUSY_SHARE: f64 = 0.8;
/// Part of the usable capacity of the scarcer resource that has to be in use for a pool to be short.
/// Below it, work waits for something else, such as calls for advice or a label.
const MIN_SHORT_USE: f64 = 0.6;
/// Wait for capacity from which the pool counts as short for the order of the jobs, in milliseconds.
const MIN_SHORT_WAIT_MS: f64 = 200.0;
/// Time constant of the rate at which work usually arrives, in milliseconds: longer than a burst.
const USUAL_WINDOW_MS: f64 = 30_000.0;
/// Time for which work is expected to go on arriving as it has lately, in milliseconds. After it,
/// work arrives at the usual rate.
const BURST_HORIZON_MS: f64 = 4_000.0;
/// Least part of the rate that is counted on for work that goes after what usually arrives.
const MIN_SPARE_SHARE: f64 = 0.3;
/// Longest forecast, in milliseconds.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Share of the jobs of a queue that are not among its widest.
const WIDE_QUANTILE: f64 = 0.9;
/// Part of its objective by which a job of the widest tenth goes earlier while its pool is short.
const WIDE_LEAD: f64 = 0.25;
/// Part of its objective by which a job with the work of e times the mean of its queue, or more, goes
/// later while its pool is short, and one with as much less earlier.
const WORK_SHIFT: f64 = 0.15;
/// Part of the time that a job can wait at its submission which is kept for its start: it gives way
/// to jobs that cannot wait until so much is left.
const KEPT_SLACK_SHARE: f64 = 0.5;
/// Least such time, in milliseconds, for the job's calls for advice and for capacity to become free.
const MIN_KEPT_SLACK_MS: f64 = 4_000.0;
/// Share of the waiting jobs of a priority that are late, from which jobs of it are refused. As long
/// as fewer are, the forecast is contradicted by what is served: it counts on capacity for gangs
/// and for other work that cannot use it.
const MIN_LATE_SHARE: f64 = 0.25;
/// Part of the logarithmic difference between the declared duration of a job and the usual one of its
/// queue that is error. Declared durations are off by a spread of 0.5 to 0.9.
const ESTIMATE_REGRESSION: f64 = 0.7;
/// Steps of the running quantile of a queue's widths and of the mean of its work.
const SIZE_GAIN: f64 = 0.05;

/// Amounts of each resource, or amounts multiplied by milliseconds, which is work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomAmounts([f64; 4]);

impl RoomAmounts {
    /// Converts whole amounts.
    #[expect(clippy::cast_precision_loss, reason = "fleet totals stay far below 2^52")]
    pub(crate) fn of(amounts: ResourceAmounts) -> Self {
        Self(amounts.as_array().map(|amount| amount as f64))
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self(std::array::from_fn(|index| self.0[index] + other.0[index]))
    }

    pub(crate) fn times(self, factor: f64) -> Self {
        Self(self.0.map(|amount| amount * factor))
    }

    fn minus(self, other: Self) -> Self {
        Self(std::array::from_fn(|index| (self.0[index] - other.0[index]).max(0.0)))
    }

    fn max(self, other: Self) -> Self {
        Self(std::array::from_fn(|index| self.0[index].max(other.0[index])))
    }

    /// Returns the largest ratio to `total` of any resource that `total` contains.
    pub(crate) fn largest_ratio(self, total: Self) -> f64 {
        let ratios = self.0.iter().zip(total.0).filter(|(_, total)| *total > 0.0);
        ratios.map(|(amount, total)| amount / total).fold(0.0, f64::max)
    }
}

/// Tasks that wait for capacity: their amounts together, and their work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomDemand {
    pub(crate) amounts: RoomAmounts,
    /// Amounts of the tasks that may fit into what is free now.
    pub(crate) placeable: RoomAmounts,
    pub(crate) work: RoomAmounts,
}

impl RoomDemand {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            amounts: self.amounts.plus(other.amounts),
            placeable: self.placeable.plus(other.placeable),
            work: self.work.plus(other.work),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            amounts: self.amounts.minus(other.amounts),
            placeable: self.placeable.minus(other.placeable),
            work: self.work.minus(other.work),
        }
    }

    /// Returns the demand of some tasks of a step.
    fn of_tasks(step: &StepSpec, tasks: u32, expected_ms: f64) -> Self {
        let amounts = RoomAmounts::of(step.occupied_amounts()).times(f64::from(tasks));
        Self { amounts, placeable: amounts, work: amounts.times(expected_ms) }
    }

    fn times(self, factor: f64) -> Self {
        Self {
            amounts: self.amounts.times(factor),
            placeable: self.placeable.times(factor),
            work: self.work.times(factor),
        }
    }
}

/// Demands of jobs that the forecast does not contain yet, by pool and priority.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PendingRoom {
    demands: BTreeMap<(ArcStr, u32), RoomDemand>,
}

impl PendingRoom {
    /// Adds the demand of a job.
    pub fn add(&mut self, pool: &ArcStr, priority: u32, demand: RoomDemand) {
        let sum = self.demands.entry((pool.clone(), priority)).or_default();
        *sum = sum.plus(demand);
    }

    /// Removes the demand of a job that was added before.
    pub fn remove(&mut self, pool: &ArcStr, priority: u32, demand: RoomDemand) {
        if let Some(sum) = self.demands.get_mut(&(pool.clone(), priority)) {
            *sum = sum.minus(demand);
        }
    }

    /// Returns the demands that go before further ones of a priority.
    fn sum_up_to(&self, pool: &ArcStr, priority: u32) -> RoomDemand {
        let range = (pool.clone(), 0)..=(pool.clone(), priority);
        let demands = self.demands.range(range).map(|(_, demand)| *demand);
        demands.fold(RoomDemand::default(), RoomDemand::plus)
    }
}

/// Sum whose parts lose their weight with time.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: RoomAmounts,
    at_ms: u64,
    /// Time constant of the decay, in milliseconds.
    window_ms: f64,
}

impl DecayingSum {
    fn new(window_ms: f64) -> Self {
        Self { sum: RoomAmounts::default(), at_ms: 0, window_ms }
    }

    fn add(&mut self, amounts: RoomAmounts, now_ms: u64) {
        self.sum = self.get(now_ms).plus(amounts);
        self.at_ms = now_ms;
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are minutes at most")]
    fn get(&self, now_ms: u64) -> RoomAmounts {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum.times((-elapsed_ms / self.window_ms).exp())
    }

    /// Returns the amounts added in each millisecond, where the first were added at `since_ms`.
    #[expect(clippy::cast_precision_loss, reason = "spans are minutes at most")]
    fn rate(&self, since_ms: u64, now_ms: u64) -> RoomAmounts {
        let measured_ms = (now_ms.saturating_sub(since_ms) as f64).max(RATE_WINDOW_MS);
        let weight_ms = self.window_ms * (1.0 - (-measured_ms / self.window_ms).exp());
        self.get(now_ms).times(1.0 / weight_ms)
    }
}

/// Work that arrives in each millisecond: lately, and usually.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRates {
    lately: RoomAmounts,
    usually: RoomAmounts,
}

impl ArrivalRates {
    fn times(self, factor: f64) -> Self {
        Self { lately: self.lately.times(factor), usually: self.usually.times(factor) }
    }

    fn plus(self, other: Self) -> Self {
        Self { lately: self.lately.plus(other.lately), usually: self.usually.plus(other.usually) }
    }
}

/// Work of accepted jobs, summed up for both rates.
#[derive(Clone, Copy, Debug)]
struct ArrivalMeter {
    lately: DecayingSum,
    usually: DecayingSum,
}

impl Default for ArrivalMeter {
    fn default() -> Self {
        Self {
            lately: DecayingSum::new(RATE_WINDOW_MS),
            usually: DecayingSum::new(USUAL_WINDOW_MS),
        }
    }
}

impl ArrivalMeter {
    fn add(&mut self, work: RoomAmounts, now_ms: u64) {
        self.lately.add(work, now_ms);
        self.usually.add(work, now_ms);
    }

    fn rates(&self, since_ms: u64, now_ms: u64) -> ArrivalRates {
        ArrivalRates {
            lately: self.lately.rate(since_ms, now_ms),
            usually: self.usually.rate(since_ms, now_ms),
        }
    }
}

/// Expected work of ended runs, and the time for which they held their capacity.
///
/// The first amount is the work, the second the time, both for a whole worker.
#[derive(Clone, Copy, Debug)]
struct EfficiencyMeter(DecayingSum);

impl Default for EfficiencyMeter {
    fn default() -> Self {
        Self(DecayingSum::new(RATE_WINDOW_MS))
    }
}

impl EfficiencyMeter {
    /// Returns the expected work that runs do in a millisecond of capacity in use.
    ///
    /// It contains what estimates get wrong on average, the speeds of the workers, the delays of
    /// reports, and capacity that failed runs have used in vain.
    fn efficiency(&self, now_ms: u64) -> f64 {
        let RoomAmounts([work_ms, used_ms, ..]) = self.0.get(now_ms);
        let (min, max) = EFFICIENCY_RANGE;
        ((work_ms + PRIOR_USE_MS) / (used_ms + PRIOR_USE_MS)).clamp(min, max)
    }
}

/// Sizes of a queue's jobs.
#[derive(Clone, Copy, Debug)]
struct QueueSizes {
    /// Moving average of the work of a job.
    mean_work: f64,
    /// Running quantile of the tasks of a job's widest step.
    wide_tasks: f64,
    /// Moving average of the natural logarithm of the longest declared duration of a task.
    mean_log_estimate: f64,
}

/// Jobs that wait in a pool, up to one of them in the order of the ranks.
#[derive(Clone, Copy, Debug)]
struct WaitingSum {
    rank: JobRank,
    demand: RoomDemand,
}

/// Forecast for one pool.
#[derive(Clone, Debug, Default)]
struct PoolForecast {
    /// Capacity on which tasks may be started, or on which runs of an earlier owner may be present.
    capacity: RoomAmounts,
    /// Part of it that is in use.
    used: RoomAmounts,
    /// Largest free amount of each resource on any worker.
    largest_free: ResourceAmounts,
    /// Work that is done in each millisecond.
    rate: RoomAmounts,
    /// Demand of the jobs that wait, summed up in the order of their ranks.
    waiting: Vec<WaitingSum>,
    /// Rates at which work of accepted jobs arrives, by priority.
    arrivals: BTreeMap<u32, ArrivalRates>,
    /// Jobs that wait, by priority.
    waiting_jobs: BTreeMap<u32, WaitingJobs>,
    /// Those of teams beyond their shares, by priority.
    waiting_beyond_share: BTreeMap<u32, WaitingJobs>,
}

/// Numbers of jobs of one priority that wait, without those that nobody waits for any more.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingJobs {
    late: u32,
    all: u32,
}

impl WaitingJobs {
    fn add(&mut self, is_late: bool) {
        self.all += 1;
        self.late += u32::from(is_late);
    }

    /// Returns whether the jobs miss their objectives.
    fn is_missing(self) -> bool {
        f64::from(self.late) > f64::from(self.all) * MIN_LATE_SHARE
    }
}

impl PoolForecast {
    /// Returns whether jobs of a priority that wait miss their objectives: those of teams beyond
    /// their shares, or the others.
    fn is_missing_objectives(&self, priority: u32, beyond_share: bool) -> bool {
        let jobs = if beyond_share { &self.waiting_beyond_share } else { &self.waiting_jobs };
        jobs.get(&priority).is_some_and(|jobs| jobs.is_missing())
    }

    /// Returns the demand of the tasks of a job that need a run, now or after other steps.
    fn waiting_demand(&self, job: &JobState, durations: &DurationTable) -> RoomDemand {
        let free = self.capacity.minus(self.used);
        let mut sum = RoomDemand::default();
        for occurrence in job.occurrences.values() {
            for (step, state) in job.spec.steps.iter().zip(&occurrence.steps) {
                if state.waiting == 0 {
                    continue;
                }
                let expected_ms = durations.expected_ms(&job.spec.queue, step.estimate_ms);
                let mut demand = RoomDemand::of_tasks(step, state.waiting, expected_ms);
                let fits_whole = !step.gang || demand.amounts.largest_ratio(free) <= 1.0;
                if !fits_whole || !step.occupied_amounts().fits_in(self.largest_free) {
                    demand.placeable = RoomAmounts::default();
                }
                sum = sum.plus(demand);
            }
        }
        sum
    }

    /// Returns the demand of the jobs that go before a rank.
    fn demand_before(&self, rank: JobRank) -> RoomDemand {
        let count = self.waiting.partition_point(|sum| sum.rank < rank);
        count.checked_sub(1).map_or(RoomDemand::default(), |last| self.waiting[last].demand)
    }

    /// Returns the rates at which work of the priorities up to `priority` arrives.
    fn arriving_up_to(&self, priority: Option<u32>) -> ArrivalRates {
        let Some(priority) = priority else { return ArrivalRates::default() };
        let rates = self.arrivals.range(..=priority).map(|(_, rates)| *rates);
        rates.fold(ArrivalRates::default(), ArrivalRates::plus)
    }

    /// Returns whether most of the scarcer resource is in use.
    fn is_busy(&self) -> bool {
        self.used.largest_ratio(self.capacity) >= MIN_SHORT_USE
    }

    /// Returns the time until the jobs that wait have got their capacity, in milliseconds.
    fn backlog_wait_ms(&self, demand: RoomDemand, arriving: ArrivalRates) -> f64 {
        let free = self.capacity.minus(self.used);
        self.wait_ms(RoomDemand { placeable: demand.amounts, ..demand }, arriving, free)
    }

    /// Returns the time until `demand` has got its capacity, in milliseconds, where `arriving` goes
    /// before it and `free` is there now. The scarcer resource decides.
    ///
    /// There is no wait if the tasks of the demand that may fit into what is free all do: the others
    /// wait for larger gaps. Work arrives as it has lately for some seconds, and then as usual.
    fn wait_ms(&self, demand: RoomDemand, arriving: ArrivalRates, free: RoomAmounts) -> f64 {
        let resources = 0..demand.work.0.len();
        if resources.clone().all(|index| demand.placeable.0[index] <= free.0[index]) {
            return 0.0;
        }
        let wait_ms = |index: usize| {
            let (work, amount) = (demand.work.0[index], demand.amounts.0[index]);
            if work <= 0.0 || amount <= 0.0 {
                return 0.0;
            }
            let rate = self.rate.0[index];
            let work = work * (1.0 - free.0[index] / amount).max(0.0);
            if work <= 0.0 || rate <= 0.0 {
                return if work > 0.0 { MAX_WAIT_MS } else { 0.0 };
            }
            let spare = rate - arriving.lately.0[index];
            if work <= spare * BURST_HORIZON_MS {
                return work / spare;
            }
            let left = work - spare * BURST_HORIZON_MS;
            let usual_spare = rate - arriving.usually.0[index];
            BURST_HORIZON_MS + left / usual_spare.max(rate * MIN_SPARE_SHARE)
        };
        resources.map(wait_ms).fold(0.0, f64::max).min(MAX_WAIT_MS)
    }
}

/// Expected time until there is capacity, by pool.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    pools: BTreeMap<ArcStr, PoolForecast>,
}

/// What is measured for the forecast, and the last forecast.
#[derive(Debug, Default)]
pub(crate) struct RoomState {
    /// Time of the first decision.
    first_decision_ms: Option<u64>,
    /// Time before which no further forecast is made.
    next_forecast_ms: u64,
    /// Whether jobs are ordered by their work while capacity is short.
    is_ordering: bool,
    efficiency: BTreeMap<ArcStr, EfficiencyMeter>,
    /// Work of accepted jobs within their teams' shares, by pool and priority.
    arrivals: BTreeMap<(ArcStr, u32), ArrivalMeter>,
    /// Work of refused jobs that may come back, by pool.
    returning: BTreeMap<ArcStr, DecayingSum>,
    /// Jobs that were accepted after the forecast.
    added: PendingRoom,
    sizes: BTreeMap<QueueName, QueueSizes>,
    forecast: RoomForecast,
    /// Pools in which work waits for capacity, by the last forecast.
    short_pools: BTreeMap<ArcStr, f64>,
}

/// Expected waits of a new job, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RoomWaits {
    /// Wait behind the work that goes before it while it can be on time.
    pub(crate) on_time: f64,
    /// Wait behind all work that goes before it once it is late.
    pub(crate) late: f64,
    /// Wait behind all work of jobs within their teams' shares.
    pub(crate) beyond_share: f64,
}

impl RoomState {
    /// Returns whether rates have been measured for long enough to refuse jobs by them.
    pub(crate) fn is_measured(&self, now_ms: u64) -> bool {
        self.first_decision_ms.is_some_and(|at| now_ms.saturating_sub(at) >= MIN_MEASURED_MS)
    }

    /// Returns whether work waits for the capacity of a pool.
    pub(crate) fn is_short(&self, pool: &ArcStr) -> bool {
        self.short_pools.contains_key(pool)
    }

    /// Returns whether the jobs of a queue's priority that wait in its pool miss their objectives.
    pub(crate) fn is_missing_objectives(&self, rule: &QueueRule, beyond_share: bool) -> bool {
        let pool = self.forecast.pools.get(&rule.pool);
        pool.is_some_and(|pool| pool.is_missing_objectives(rule.priority, beyond_share))
    }

    /// Records work that was refused and may come back.
    pub(crate) fn add_returning(&mut self, pool: &ArcStr, demand: RoomDemand, now_ms: u64) {
        let sum = self.returning.entry(pool.clone());
        sum.or_insert(DecayingSum::new(RATE_WINDOW_MS)).add(demand.work, now_ms);
    }

    /// Returns the time that the work which may come back takes, in milliseconds.
    pub(crate) fn returning_ms(&self, pool: &ArcStr, now_ms: u64) -> f64 {
        let returning = self.returning.get(pool).map(|sum| sum.get(now_ms)).unwrap_or_default();
        let rate = self.forecast.pools.get(pool).map(|pool| pool.rate).unwrap_or_default();
        returning.largest_ratio(rate)
    }

    /// Returns the rank of a job, by an adjusted due time while its pool is short.
    ///
    /// A job that can wait for long gives way to those that cannot, also beyond their teams' shares:
    /// it is on time all the same, so that this costs no caller anything.
    ///
    /// Among jobs of equal class and priority, a small one delays the others little and goes
    /// earlier, a large one later, each by a bounded part of its objective, so that no size starves.
    /// The widest tenth of a queue goes earlier too: a wide job fits only if others wait for it.
    pub(crate) fn weigh_rank(
        &self,
        rank: JobRank,
        job: &JobState,
        rule: &QueueRule,
        now_ms: u64,
    ) -> JobRank {
        let slack_ms = job.slack_ms(now_ms);
        let is_deferrable = job.status == JobStatus::Pending
            && is_deferrable(&job.spec, slack_ms, job.slack_ms(job.submitted_ms));
        self.weigh_new_rank(rank, &job.spec, job.submitted_ms, rule, is_deferrable)
    }

    /// Returns the same for a job that was submitted at `submitted_ms` and need not be known.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "objectives are minutes at most, and a cast of a float saturates"
    )]
    pub(crate) fn weigh_new_rank(
        &self,
        rank: JobRank,
        spec: &JobSpec,
        submitted_ms: u64,
        rule: &QueueRule,
        is_deferrable: bool,
    ) -> JobRank {
        if !self.is_ordering || !self.is_short(&rule.pool) {
            return rank;
        }
        if rank.class == RankClass::OnTime && is_deferrable {
            return JobRank { class: RankClass::Deferrable, ..rank };
        }
        let (relative_work, is_wide) = self.relative_size(spec);
        let shift = if is_wide {
            -WIDE_LEAD
        } else {
            WORK_SHIFT * relative_work.max(0.01).ln().clamp(-1.0, 1.0)
        };
        let objective_ms = rank.due_ms.saturating_sub(submitted_ms) as f64;
        JobRank { due_ms: (rank.due_ms as f64 + shift * objective_ms) as u64, ..rank }
    }

    /// Returns the part of the later jobs of its priority that are expected to go before a job: a job
    /// that declares more than its queue usually does is due later than they are.
    fn overtaking_share(&self, spec: &JobSpec) -> f64 {
        let Some(sizes) = self.sizes.get(&spec.queue) else { return 0.0 };
        let excess = longest_estimate_ms(spec).ln() - sizes.mean_log_estimate;
        (excess.exp() - 1.0).clamp(0.0, 1.0)
    }

    /// Returns the work of a job relative to the mean of its queue, and whether it is among the
    /// widest tenth of the queue.
    fn relative_size(&self, spec: &JobSpec) -> (f64, bool) {
        let Some(sizes) = self.sizes.get(&spec.queue) else { return (1.0, false) };
        (declared_work(spec) / sizes.mean_work.max(1.0), width(spec) > sizes.wide_tasks)
    }

    /// Returns the factor, at least 1, by which a job probably takes longer than it declares: declared
    /// durations are rough, and one that is far below the usual one of its queue mostly is wrong.
    pub(crate) fn underestimate_factor(&self, spec: &JobSpec) -> f64 {
        let Some(sizes) = self.sizes.get(&spec.queue) else { return 1.0 };
        let missing = sizes.mean_log_estimate - longest_estimate_ms(spec).ln();
        (missing * ESTIMATE_REGRESSION).exp().max(1.0)
    }

    fn record_size(&mut self, spec: &JobSpec) {
        let (work, tasks) = (declared_work(spec), width(spec));
        let log_estimate = longest_estimate_ms(spec).ln();
        let sizes = self.sizes.entry(spec.queue.clone()).or_insert(QueueSizes {
            mean_work: work,
            wide_tasks: tasks,
            mean_log_estimate: log_estimate,
        });
        sizes.mean_log_estimate += SIZE_GAIN * (log_estimate - sizes.mean_log_estimate);
        sizes.mean_work += SIZE_GAIN * (work - sizes.mean_work);
        let step = SIZE_GAIN * sizes.wide_tasks.max(1.0);
        sizes.wide_tasks +=
            step * if tasks > sizes.wide_tasks { WIDE_QUANTILE } else { WIDE_QUANTILE - 1.0 };
    }
}

/// Returns whether a job of which no task has started loses nothing by waiting: half of the time that
/// it could wait at its submission is left. A gang is not deferred, as it takes long to gather its
/// workers.
#[expect(clippy::cast_precision_loss, reason = "slacks are minutes at most")]
pub(crate) fn is_deferrable(spec: &JobSpec, slack_ms: u64, whole_slack_ms: u64) -> bool {
    let kept_ms = (whole_slack_ms as f64 * KEPT_SLACK_SHARE).max(MIN_KEPT_SLACK_MS);
    slack_ms as f64 > kept_ms && !spec.steps.iter().any(|step| step.gang)
}

/// Returns the declared work of a job, in thousandths of a core times milliseconds, or in
/// mebibytes if it uses no processor.
#[expect(clippy::cast_precision_loss, reason = "rough sizes")]
fn declared_work(spec: &JobSpec) -> f64 {
    let of_step = |step: &StepSpec| {
        let amount = step.amounts.cpu_millis.max(1) as f64;
        amount * f64::from(step.count) * step.estimate_ms as f64
    };
    spec.steps.iter().map(of_step).sum()
}

/// Returns the longest declared duration of a task of a job, in milliseconds, and at least 1.
#[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
fn longest_estimate_ms(spec: &JobSpec) -> f64 {
    spec.steps.iter().map(|step| step.estimate_ms as f64).fold(1.0, f64::max)
}

/// Returns the tasks of the widest step of a job.
fn width(spec: &JobSpec) -> f64 {
    spec.steps.iter().map(|step| f64::from(step.count)).fold(0.0, f64::max)
}

/// Returns the demand of all tasks of a new job.
pub(crate) fn job_demand(spec: &JobSpec, durations: &DurationTable) -> RoomDemand {
    let demands = spec.steps.iter().map(|step| {
        let expected_ms = durations.expected_ms(&spec.queue, step.estimate_ms);
        RoomDemand::of_tasks(step, step.count, expected_ms)
    });
    demands.fold(RoomDemand::default(), RoomDemand::plus)
}

impl Planner {
    /// Returns the pool, the priority and the demand of a new job, to be counted while it is being
    /// stored; none for a job that is due later.
    #[must_use]
    pub fn new_demand(&self, spec: &JobSpec) -> Option<(ArcStr, u32, RoomDemand)> {
        let rule = self.config.queues.get(&spec.queue)?;
        if spec.schedule.is_some() || !self.options.features.room_admission {
            return None;
        }
        Some((rule.pool.clone(), rule.priority, job_demand(spec, &self.durations)))
    }

    /// Takes an accepted job into what is measured.
    pub(crate) fn record_arrival(&mut self, spec: &JobSpec, beyond_share: bool) {
        // Before the first decision, the jobs of the earlier owner are added.
        if self.room.first_decision_ms.is_none() {
            return;
        }
        let Some((pool, priority, demand)) = self.new_demand(spec) else { return };
        self.room.record_size(spec);
        if !beyond_share {
            self.room.added.add(&pool, priority, demand);
            let meter = self.room.arrivals.entry((pool, priority)).or_default();
            meter.add(demand.work, self.now_ms);
        }
    }

    /// Takes an ended run into the measured efficiency of its pool.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub(crate) fn record_use(&mut self, end: &EndedRun, run: &RunState) {
        let Some(started_ms) = run.started_ms else { return };
        let Some(job) = self.jobs.get(&end.task.step.job) else { return };
        let Some(step) = job.spec.steps.get(end.task.step.step as usize) else { return };
        let Some(rule) = self.config.queues.get(&job.spec.queue) else { return };
        if step.service || step.filler {
            return;
        }
        let used_ms = self.now_ms.saturating_sub(started_ms) as f64;
        let work_ms = match end.kind {
            EndKind::Done if !run.is_resumed => {
                self.durations.expected_ms(&job.spec.queue, step.estimate_ms)
            }
            // How much a resumed run had to do is not known, nor how much a stopped one has saved.
            EndKind::Done => used_ms,
            _ if !end.saved.is_empty() => used_ms,
            _ => 0.0,
        };
        let weight = RoomAmounts::of(run.occupied).0[0].max(1.0) / 1_000.0;
        let meter = self.room.efficiency.entry(rule.pool.clone()).or_default();
        let measured = RoomAmounts([weight * work_ms, weight * used_ms, 0.0, 0.0]);
        meter.0.add(measured, self.now_ms);
    }

    /// Computes the forecast from the steps that wait after a decision.
    pub(crate) fn forecast_room(&mut self, steps: &[WaitingStep<'_>]) {
        let features = self.options.features;
        if !features.room_admission && !features.preemption {
            return;
        }
        let now = self.now_ms;
        self.room.first_decision_ms.get_or_insert(now);
        self.room.is_ordering = features.room_admission;
        if now < self.room.next_forecast_ms {
            return;
        }
        self.room.next_forecast_ms = now + (self.workers.len() / WORKERS_PER_FORECAST_MS) as u64;
        self.room.added = PendingRoom::default();
        self.room.forecast.pools.clear();
        self.room.short_pools.clear();
        if steps.is_empty() {
            return;
        }
        let mut pools: BTreeMap<ArcStr, PoolForecast> = BTreeMap::new();
        let mut allowed: BTreeMap<TeamName, RoomAmounts> = BTreeMap::new();
        // Steps of a job need not be neighbours: some are moved to the front.
        let mut seen_jobs: HashSet<&JobId> = HashSet::with_capacity(steps.len());
        for step in steps {
            if step.is_unservable || !seen_jobs.insert(&step.key.job) {
                continue;
            }
            let Some(job) = self.jobs.get(&step.key.job) else { continue };
            let pool = pools.entry(step.rule.pool.clone());
            let pool = pool.or_insert_with(|| self.measure_pool(&step.rule.pool));
            let demand = pool.waiting_demand(job, &self.durations);
            let demand = self.allowed_demand(job, demand, &mut allowed);
            pool.waiting.push(WaitingSum { rank: step.rank, demand });
            if step.rank.class != RankClass::Expired {
                let jobs = if step.rank.class == RankClass::BeyondShare {
                    &mut pool.waiting_beyond_share
                } else {
                    &mut pool.waiting_jobs
                };
                jobs.entry(step.rule.priority).or_default().add(step.rank.due_ms < now);
            }
        }
        for (name, pool) in &mut pools {
            pool.waiting.sort_by_key(|sum| sum.rank);
            let mut sum = RoomDemand::default();
            for waiting in &mut pool.waiting {
                sum = sum.plus(waiting.demand);
                waiting.demand = sum;
            }
            // Work that nobody waits for any more makes no capacity short.
            let expired = JobRank { class: RankClass::Expired, priority: 0, due_ms: 0 };
            let wanted = pool.demand_before(expired);
            let wait_ms = pool.backlog_wait_ms(wanted, ArrivalRates::default());
            if pool.is_busy() && wait_ms >= MIN_SHORT_WAIT_MS {
                self.room.short_pools.insert(name.clone(), wait_ms);
            }
        }
        self.room.forecast.pools = pools;
    }

    /// Returns the demand of a job as far as the limit of its team allows it beside the demands
    /// before it. What exceeds the limit waits for that, and delays nobody else.
    fn allowed_demand(
        &self,
        job: &JobState,
        demand: RoomDemand,
        allowed: &mut BTreeMap<TeamName, RoomAmounts>,
    ) -> RoomDemand {
        let Some(team) = &job.spec.team else { return demand };
        let limit = self.team_limit(team);
        if limit == ResourceAmounts::UNLIMITED {
            return demand;
        }
        let left = allowed.entry(team.clone()).or_insert_with(|| {
            let used = self.team_usage.get(team).copied().unwrap_or_default();
            RoomAmounts::of(limit.minus(used))
        });
        let ratio = demand.amounts.largest_ratio(left.max(RoomAmounts([1e-9; 4])));
        let share = if ratio > 1.0 { 1.0 / ratio } else { 1.0 };
        let allowed_demand = demand.times(share);
        *left = left.minus(allowed_demand.amounts);
        allowed_demand
    }

    /// Measures the capacity of a pool, its use and the rate at which it becomes free.
    ///
    /// A worker that is silent, draining or not registered any more frees nothing. One that has not
    /// reported since a takeover, is quarantined or held counts as busy, but frees no capacity that
    /// could be used.
    fn measure_pool(&self, name: &ArcStr) -> PoolForecast {
        let mut pool = PoolForecast::default();
        let (mut usable, mut freeing) = (RoomAmounts::default(), RoomAmounts::default());
        for worker in self.workers.values().filter(|worker| worker.info.pool == *name) {
            let is_out = self.config.domains_out.contains(&worker.info.domain);
            if worker.silent || worker.deregistered || worker.info.draining || is_out {
                continue;
            }
            let capacity = RoomAmounts::of(worker.info.capacity);
            pool.capacity = pool.capacity.plus(capacity);
            let is_known = worker.incarnation.is_some() && self.can_start_on(worker);
            let used = if is_known { RoomAmounts::of(worker.occupied) } else { capacity };
            pool.used = pool.used.plus(used);
            if is_known {
                usable = usable.plus(capacity);
                freeing = freeing.plus(used);
                pool.largest_free = pool.largest_free.max(worker.free());
            }
        }
        let efficiency = self.room.efficiency.get(name).copied().unwrap_or_default();
        let efficiency = efficiency.efficiency(self.now_ms);
        pool.rate = freeing.max(usable.times(BUSY_SHARE)).times(efficiency);
        let arrivals = self.room.arrivals.iter().filter(|((pool, _), _)| pool == name);
        let since_ms = self.room.first_decision_ms.unwrap_or(self.now_ms);
        pool.arrivals = arrivals
            .map(|((_, priority), meter)| (*priority, meter.rates(since_ms, self.now_ms)))
            .collect();
        pool
    }

    /// Returns the expected waits of a new job that would be due at `due_ms`; none if its pool is not
    /// short.
    ///
    /// Only capacity counts as free into which tasks of the job's size fit: a small task finds room
    /// beside large ones, and a large one finds none in many small gaps.
    pub(crate) fn room_waits(
        &self,
        spec: &JobSpec,
        rule: &QueueRule,
        due_ms: u64,
        storing: &PendingRoom,
    ) -> Option<RoomWaits> {
        let pool = self.room.forecast.pools.get(&rule.pool).filter(|pool| pool.is_busy())?;
        let priority = rule.priority;
        let pending = |up_to| {
            let added = self.room.added.sum_up_to(&rule.pool, up_to);
            added.plus(storing.sum_up_to(&rule.pool, up_to))
        };
        let own = job_demand(spec, &self.durations).amounts;
        let needs = own.0.map(|amount| amount > 0.0);
        let wait = |class: RankClass, up_to: u32, arriving: ArrivalRates, free: RoomAmounts| {
            let rank = JobRank { class, priority, due_ms };
            let before = pool.demand_before(rank).plus(pending(up_to));
            // A resource that the job does not need delays it only through the others.
            let work = |index: usize| if needs[index] { before.work.0[index] } else { 0.0 };
            let work = RoomAmounts(std::array::from_fn(work));
            let demand = RoomDemand {
                amounts: before.amounts.plus(own),
                placeable: before.placeable.plus(own),
                work,
            };
            pool.wait_ms(demand, arriving, free)
        };
        let overtaking = pool.arrivals.get(&priority).copied().unwrap_or_default();
        let overtaking = overtaking.times(self.room.overtaking_share(spec));
        let urgent = pool.arriving_up_to(priority.checked_sub(1)).plus(overtaking);
        let all = pool.arriving_up_to(Some(u32::MAX));
        let all_waits = |free| RoomWaits {
            on_time: wait(RankClass::OnTime, priority, urgent, free),
            late: wait(RankClass::Late, u32::MAX, all, free),
            beyond_share: wait(RankClass::BeyondShare, u32::MAX, all, free),
        };
        // The workers are looked at only if the answer depends on what is free.
        let bound = all_waits(RoomAmounts::default());
        if bound.beyond_share <= 0.0 {
            return Some(bound);
        }
        Some(all_waits(self.free_for(spec, &rule.pool)))
    }

    /// Returns the free capacity of a pool that tasks of the largest step of a job can use.
    fn free_for(&self, spec: &JobSpec, pool: &ArcStr) -> RoomAmounts {
        let sizes = spec.steps.iter().map(StepSpec::occupied_amounts);
        let size = sizes.fold(ResourceAmounts::ZERO, ResourceAmounts::max);
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == *pool && self.can_start_on(worker));
        let tasks: u64 =
            usable.map(|worker| u64::from(capacity::fit_count(worker.free(), size))).sum();
        RoomAmounts::of(size.times(tasks))
    }

    /// Returns the expected wait of a new job of each priority behind the on-time work before it, in
    /// milliseconds, over all pools. It is 0 in a pool that is not short.
    #[must_use]
    pub fn room_wait_by_priority(&self) -> BTreeMap<u32, f64> {
        let rules = self.config.queues.values();
        let mut waits: BTreeMap<u32, f64> = rules.map(|rule| (rule.priority, 0.0)).collect();
        for (name, pool) in &self.room.forecast.pools {
            if !self.room.is_short(name) {
                continue;
            }
            for (priority, wait_ms) in &mut waits {
                let rank =
                    JobRank { class: RankClass::OnTime, priority: *priority, due_ms: u64::MAX };
                let arriving = pool.arriving_up_to(priority.checked_sub(1));
                let wait = pool.backlog_wait_ms(pool.demand_before(rank), arriving);
                *wait_ms = wait_ms.max(wait);
            }
        }
        waits
    }

    /// Returns the number of pools in which work waits for capacity.
    #[must_use]
    pub fn short_pool_count(&self) -> usize {
        self.room.short_pools.len()
    }
}
