//! How fast each worker is, learned from the runs that end.
//!
//! Declared durations are rough, so a run is compared with its sibling tasks on other workers: the
//! work of a step is the median of what its runs did, each taken at the present estimate of its
//! worker's speed, and a run's distance from this work corrects that estimate. All computations
//! are in natural logarithms, in which a worker that is twice as fast and one that takes twice as
//! long are equally far from the usual speed (docs/design/worker-speed.md).

use std::cmp::Ordering;
use std::collections::BTreeMap;

use model::name::WorkerName;
use serde::{Deserialize, Serialize};

/// Distance from the usual speed up to which a worker counts as usual: ln 1.15. Workers of one
/// kind differ by some per cent, which no placement should act upon.
const USUAL_BAND: f64 = 0.139_76;
/// Standard errors by which an estimate has to lie beyond the band to change the class, on a fleet
/// whose estimates differ by more than chance explains, and on one of equal workers. There, nearly
/// all estimates that lie two standard errors beyond the band do so by chance.
const UNEVEN_STANDARD_ERRORS: f64 = 2.0;
const EQUAL_STANDARD_ERRORS: f64 = 3.5;
/// Half the distance between the estimates below and above which 15 % of the workers lie, in mean
/// standard errors, from which a fleet counts as uneven. On a fleet of equal workers it is 1.
const UNEVEN_DISTANCE: f64 = 1.8;
/// Fewest workers whose estimates are compared with each other.
const MIN_COMPARED_WORKERS: usize = 8;
/// Observations below which a worker counts as usual.
const MIN_CONFIDENCE: f64 = 3.0;
/// Observations that an estimate remembers. More follow a slow change too late; with fewer, the
/// estimates of equal workers leave the band by chance.
const MAX_CONFIDENCE: f64 = 24.0;
/// Observations that an estimate counts for after a restart of the worker, or when it comes from
/// the store: the next few runs can overrule it.
const KEPT_CONFIDENCE: f64 = 2.0;
/// Weight of a run without sibling tasks. It is compared with its declared duration, which is off
/// by a factor with a spread of 0.5 to 0.9; sibling tasks differ by 0.15 to 0.3.
const SINGLE_RUN_WEIGHT: f64 = 0.1;
/// Latest runs of a worker that are looked at for a sudden change of its speed.
const RECENT_RUNS: usize = 5;
/// How many of these have to lie beyond the spread on the same side. 3 % of all runs take seven
/// times as long: four of five do so by chance once in 200,000 runs.
const CHANGED_RUNS: usize = 4;
/// Least distance of such a run from the estimate, in standard deviations and absolutely.
const CHANGED_DEVIATIONS: f64 = 2.5;
const MIN_CHANGED_DISTANCE: f64 = 0.4;
/// Largest distance that one run may count with, in standard deviations. It bounds what a run that
/// is seven times as long can do to an estimate.
const MAX_DEVIATIONS: f64 = 2.0;
/// Spread of runs around the estimates, as a standard deviation: first assumption and bounds.
const INITIAL_SPREAD: f64 = 0.3;
const MIN_SPREAD: f64 = 0.1;
const MAX_SPREAD: f64 = 0.6;
/// Weight of a run in the measured spread, which some hundred runs determine.
const SPREAD_GAIN: f64 = 0.005;
/// Ratio between the standard deviation and the mean absolute deviation of normal variates.
const DEVIATION_RATIO: f64 = 1.25;
/// Most by which the usual speed is corrected at a time, so that a change of half of the fleet
/// does not reclassify the other half at once.
const MAX_USUAL_SHIFT: f64 = 0.05;
/// Distance of the median worker from the usual speed that is left uncorrected.
const MIN_USUAL_SHIFT: f64 = 0.01;
/// Fewest runs between two corrections of the usual speed.
const MIN_RUNS_BETWEEN_SHIFTS: usize = 64;
/// Part of a step's runs, as a divisor, up to which those on one worker do not matter for the median
/// of all.
const OWN_RUNS_DIVISOR: usize = 8;
/// Share of quick workers, as a divisor, from which waiting work can count on one.
const QUICK_SHARE_DIVISOR: usize = 10;
/// Shortest run that is compared, in milliseconds. A run end is reported up to 100 ms late, which
/// is too much of a shorter one.
const MIN_RUN_MS: f64 = 150.0;
/// Distance between two speed levels; workers of one level are treated as equally fast. The kinds
/// of workers that are known differ by more, and estimates of one kind by less.
const LEVEL_WIDTH: f64 = 0.25;
/// Bounds of a speed factor that is restored, in per mille.
const RESTORABLE_PER_MILLE: std::ops::RangeInclusive<u32> = 20..=50_000;
/// Most workers that are exported; a stored row has at most 65,536 bytes.
const MAX_EXPORTED_WORKERS: usize = 3_000;
/// Most changes of classes that are kept for the log; the others are counted.
const MAX_LOGGED_CHANGES: usize = 20;

/// How fast a worker is beside the usual speed of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpeedClass {
    /// At least 15 % slower than usual.
    Slow,
    /// Within 15 % of the usual speed, or not known.
    #[default]
    Usual,
    /// At least 15 % faster than usual.
    Quick,
}

impl SpeedClass {
    /// All classes, the slowest first.
    pub const ALL: [Self; 3] = [Self::Slow, Self::Usual, Self::Quick];

    /// Returns the name of the class in metrics and log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Usual => "usual",
            Self::Quick => "quick",
        }
    }
}

/// Speed of one worker as placement uses it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WorkerSpeed {
    /// Factor on the usual speed; 1.0 for every worker whose class is usual.
    pub(crate) factor: f64,
    /// Group of workers of about this speed; 0 for the usual speed, larger for faster ones.
    pub(crate) level: i8,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self { factor: 1.0, level: 0 }
    }
}

/// A worker whose class has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The worker.
    pub worker: WorkerName,
    /// Its class before.
    pub before: SpeedClass,
    /// Its class now.
    pub after: SpeedClass,
    /// Its factor on the usual speed now.
    pub speed: f64,
}

/// Changes of classes since they were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpeedChanges {
    /// The first changes.
    pub listed: Vec<SpeedChange>,
    /// Number of further ones.
    pub unlisted: usize,
}

/// A run that ended, as it is compared with its sibling tasks.
#[derive(Clone, Debug)]
pub(crate) struct RunTime {
    pub(crate) worker: WorkerName,
    /// Natural logarithm of the elapsed time in milliseconds.
    pub(crate) log_ms: f64,
}

/// What is known of the work of one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepWork {
    /// Runs that ended before the work was known.
    pub(crate) ended: Vec<RunTime>,
    /// Natural logarithm of a task's work, in milliseconds at the usual speed.
    pub(crate) log_ms: Option<f64>,
    /// The worker whose runs alone the work was derived from, if there was only one. Further runs
    /// there say nothing about its speed.
    pub(crate) only_worker: Option<WorkerName>,
}

/// Estimate of one worker's speed.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedEstimate {
    /// Number of the estimate, by which the runs of a step are told apart by worker.
    number: usize,
    /// Natural logarithm of the factor on the usual speed.
    log_speed: f64,
    /// Number of observations that the estimate counts for.
    confidence: f64,
    class: SpeedClass,
    /// Latest observations, in a ring.
    recent: [f64; RECENT_RUNS],
    recent_count: usize,
}

/// Speeds of all workers, and the spread of runs around them.
#[derive(Clone, Debug)]
pub struct SpeedTable {
    estimates: BTreeMap<WorkerName, SpeedEstimate>,
    created_estimates: usize,
    /// Number of workers in each class, apart from the usual one.
    slow_workers: usize,
    quick_workers: usize,
    /// Standard deviation of the observations from the estimates.
    spread: f64,
    /// Whether the estimates differ by more than chance explains.
    is_uneven: bool,
    /// Whether estimates of an earlier owner were restored, which are those of unusual workers.
    is_restored: bool,
    /// Runs since the usual speed was last corrected.
    unshifted_runs: usize,
    /// Factor of the quick workers, if there are enough of them; otherwise 1.0.
    quick_factor: f64,
    changes: SpeedChanges,
    /// Number of changes of classes so far.
    change_count: u64,
    /// Space in which medians are computed.
    scratch: Vec<f64>,
    works: Vec<(f64, usize)>,
}

impl Default for SpeedTable {
    fn default() -> Self {
        Self {
            estimates: BTreeMap::new(),
            created_estimates: 0,
            slow_workers: 0,
            quick_workers: 0,
            spread: INITIAL_SPREAD,
            is_uneven: false,
            is_restored: false,
            unshifted_runs: 0,
            quick_factor: 1.0,
            changes: SpeedChanges::default(),
            change_count: 0,
            scratch: Vec::new(),
            works: Vec::new(),
        }
    }
}

impl SpeedTable {
    /// Returns the factor of a worker on the usual speed; 1.0 if its class is usual.
    #[must_use]
    pub fn speed(&self, worker: &WorkerName) -> f64 {
        self.worker_speed(worker).factor
    }

    /// Returns the class of a worker.
    #[must_use]
    pub fn class(&self, worker: &WorkerName) -> SpeedClass {
        self.estimates.get(worker).map_or(SpeedClass::Usual, |estimate| estimate.class)
    }

    /// Returns whether all workers count as equally fast.
    #[must_use]
    pub const fn is_uniform(&self) -> bool {
        self.slow_workers == 0 && self.quick_workers == 0
    }

    /// Returns the number of workers in a class that is not the usual one.
    #[must_use]
    pub const fn count_in_class(&self, class: SpeedClass) -> usize {
        match class {
            SpeedClass::Slow => self.slow_workers,
            SpeedClass::Quick => self.quick_workers,
            SpeedClass::Usual => 0,
        }
    }

    /// Returns the factor of the quick workers if waiting work can count on one of them;
    /// otherwise 1.0.
    #[must_use]
    pub const fn quick_factor(&self) -> f64 {
        self.quick_factor
    }

    /// Returns how many changes of classes there were.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the speed of a worker as placement uses it.
    pub(crate) fn worker_speed(&self, worker: &WorkerName) -> WorkerSpeed {
        self.estimates.get(worker).map_or_else(WorkerSpeed::default, SpeedEstimate::worker_speed)
    }

    /// Records the runs of a step of which most have ended, and returns the natural logarithm of a
    /// task's work; none if there are too few runs.
    ///
    /// Runs that have not ended are given with an infinite time: compared only with those that
    /// ended earlier, each run of a step would seem to be a long one.
    pub(crate) fn record_step(&mut self, runs: &[RunTime]) -> Option<f64> {
        let mut works = std::mem::take(&mut self.works);
        works.clear();
        for run in runs {
            let estimate = self.estimate_mut(&run.worker);
            let (log_speed, number) = (estimate.cautious_log_speed(), estimate.number);
            works.push((run.log_ms + log_speed, number));
        }
        works.sort_unstable_by(compare_works);
        let log_work = median_work(&works, None).map(|(log_work, _)| log_work);
        for run in runs.iter().filter(|_| log_work.is_some()) {
            let number = self.estimate_mut(&run.worker).number;
            if let Some((log_work, others)) = median_work(&works, Some(number)) {
                self.record_run(&run.worker, run.log_ms, log_work, others);
            }
        }
        self.works = works;
        log_work
    }

    /// Records the end of a run that took `log_ms` of work `log_work`, which follows from that many
    /// runs on `other` workers, both as natural logarithms of milliseconds.
    pub fn record_run(&mut self, worker: &WorkerName, log_ms: f64, log_work: f64, others: usize) {
        if log_ms < MIN_RUN_MS.ln() || log_ms.is_infinite() {
            return;
        }
        let weight = comparison_weight(others);
        let spread = self.spread;
        let estimate = self.estimate_mut(worker);
        let distance = estimate.observe(log_work - log_ms, weight, spread);
        if let Some(distance) = distance
            && others > 0
        {
            let deviation = distance.abs().min(MAX_DEVIATIONS * spread) * DEVIATION_RATIO;
            self.spread =
                (spread + SPREAD_GAIN * (deviation - spread)).clamp(MIN_SPREAD, MAX_SPREAD);
        }
        self.classify(worker);
        self.unshifted_runs += 1;
    }

    fn estimate_mut(&mut self, worker: &WorkerName) -> &mut SpeedEstimate {
        self.estimates.entry(worker.clone()).or_insert_with(|| {
            let number = self.created_estimates;
            self.created_estimates += 1;
            SpeedEstimate { number, ..SpeedEstimate::default() }
        })
    }

    /// Determines the class of a worker again.
    fn classify(&mut self, worker: &WorkerName) {
        let errors = if self.is_uneven { UNEVEN_STANDARD_ERRORS } else { EQUAL_STANDARD_ERRORS };
        let margin = errors * self.spread;
        let Some(estimate) = self.estimates.get_mut(worker) else { return };
        let class = estimate.classify(margin);
        let before = std::mem::replace(&mut estimate.class, class);
        self.record_class(worker, before);
    }

    /// Corrects the usual speed to that of the median of the registered workers, once there were
    /// more runs than estimates since the last time; returns whether speeds may have changed.
    ///
    /// Runs only tell workers from each other. This ties the speeds to the fleet, and takes a
    /// constant time for each run.
    pub(crate) fn shift_usual_speed(&mut self, registered_workers: usize) -> bool {
        if self.unshifted_runs < MIN_RUNS_BETWEEN_SHIFTS.max(self.estimates.len()) {
            return false;
        }
        self.unshifted_runs = 0;
        self.compare_estimates();
        self.shift_to_median(registered_workers);
        self.update_quick_factor(registered_workers);
        true
    }

    /// Finds out whether the estimates differ by more than chance explains.
    #[expect(clippy::cast_precision_loss, reason = "fleets have thousands of workers")]
    fn compare_estimates(&mut self) {
        let known = || self.estimates.values().filter(|estimate| estimate.confidence >= 1.0);
        let confidence: f64 = known().map(|estimate| estimate.confidence).sum();
        self.scratch.clear();
        self.scratch.extend(known().map(|estimate| estimate.log_speed));
        let count = self.scratch.len();
        if count < MIN_COMPARED_WORKERS {
            return;
        }
        self.scratch.sort_unstable_by(f64::total_cmp);
        let tail = count * 15 / 100;
        let distance = (self.scratch[count - 1 - tail] - self.scratch[tail]) / 2.0;
        let standard_error = self.spread / (confidence / count as f64).sqrt();
        self.is_uneven = distance > UNEVEN_DISTANCE * standard_error;
    }

    /// Corrects the usual speed to that of the median worker.
    ///
    /// After a restore, only unusual workers have estimates, and those without one count as usual.
    /// Otherwise the workers with estimates are any part of the fleet, and their median is its own.
    fn shift_to_median(&mut self, registered_workers: usize) {
        let known = self.estimates.values().filter(|estimate| estimate.confidence >= 1.0);
        self.scratch.clear();
        self.scratch.extend(known.map(|estimate| estimate.log_speed));
        if self.is_restored {
            let unknown_workers = registered_workers.saturating_sub(self.estimates.len());
            self.scratch.extend(std::iter::repeat_n(0.0, unknown_workers));
        }
        if self.scratch.is_empty() {
            return;
        }
        let middle = self.scratch.len() / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        let shift = median.clamp(-MAX_USUAL_SHIFT, MAX_USUAL_SHIFT);
        if shift.abs() < MIN_USUAL_SHIFT {
            return;
        }
        let names: Vec<_> = self.estimates.keys().cloned().collect();
        for name in &names {
            if let Some(estimate) = self.estimates.get_mut(name) {
                estimate.shift(shift);
            }
            self.classify(name);
        }
    }

    /// Finds out whether waiting work can count on a quick worker. A worker without an estimate
    /// counts as usual.
    #[expect(clippy::cast_precision_loss, reason = "fleets have thousands of workers")]
    pub(crate) fn update_quick_factor(&mut self, registered_workers: usize) {
        let is_common = self.quick_workers * QUICK_SHARE_DIVISOR >= registered_workers.max(1);
        let quick = self.estimates.values().filter(|estimate| estimate.class == SpeedClass::Quick);
        let sum: f64 = quick.map(|estimate| estimate.log_speed).sum();
        self.quick_factor = if is_common { (sum / self.quick_workers as f64).exp() } else { 1.0 };
    }

    /// Counts the class of a worker that was in class `before`.
    fn record_class(&mut self, worker: &WorkerName, before: SpeedClass) {
        let Some(estimate) = self.estimates.get(worker) else { return };
        let after = estimate.class;
        if before == after {
            return;
        }
        let change = SpeedChange {
            worker: worker.clone(),
            before,
            after,
            speed: estimate.worker_speed().factor,
        };
        if self.changes.listed.len() < MAX_LOGGED_CHANGES {
            self.changes.listed.push(change);
        } else {
            self.changes.unlisted += 1;
        }
        self.change_count += 1;
        self.count_change(before, after);
    }

    const fn count_change(&mut self, before: SpeedClass, after: SpeedClass) {
        match before {
            SpeedClass::Slow => self.slow_workers -= 1,
            SpeedClass::Quick => self.quick_workers -= 1,
            SpeedClass::Usual => {}
        }
        match after {
            SpeedClass::Slow => self.slow_workers += 1,
            SpeedClass::Quick => self.quick_workers += 1,
            SpeedClass::Usual => {}
        }
    }

    /// Lowers the confidence in the speed of a worker that has restarted: another machine, or
    /// another load on it, may be behind the name.
    pub fn weaken(&mut self, worker: &WorkerName) {
        if let Some(estimate) = self.estimates.get_mut(worker) {
            estimate.confidence = estimate.confidence.min(KEPT_CONFIDENCE);
            estimate.recent_count = 0;
        }
    }

    /// Forgets a worker that is not registered any more.
    pub fn forget(&mut self, worker: &WorkerName) {
        if let Some(estimate) = self.estimates.remove(worker) {
            self.count_change(estimate.class, SpeedClass::Usual);
            self.change_count += u64::from(estimate.class != SpeedClass::Usual);
        }
    }

    /// Returns the changes of classes since the last call.
    pub fn take_changes(&mut self) -> SpeedChanges {
        std::mem::take(&mut self.changes)
    }

    /// Returns the factors of the workers whose class is not the usual one, in per mille.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "factors are bounded"
    )]
    pub fn export(&self) -> BTreeMap<WorkerName, u32> {
        self.estimates
            .iter()
            .filter(|(_, estimate)| estimate.class != SpeedClass::Usual)
            .map(|(name, estimate)| {
                (name.clone(), (estimate.log_speed.exp() * 1_000.0).round() as u32)
            })
            .take(MAX_EXPORTED_WORKERS)
            .collect()
    }

    /// Takes over an exported factor of a worker of which nothing is known yet, with little
    /// confidence. A factor that no worker can have is ignored. [`Self::quick_factor`] stays until
    /// all are restored and it is updated.
    pub fn restore(&mut self, worker: &WorkerName, per_mille: u32) {
        if !RESTORABLE_PER_MILLE.contains(&per_mille) || self.estimates.contains_key(worker) {
            return;
        }
        let log_speed = (f64::from(per_mille) / 1_000.0).ln();
        let class = if log_speed < -USUAL_BAND {
            SpeedClass::Slow
        } else if log_speed > USUAL_BAND {
            SpeedClass::Quick
        } else {
            SpeedClass::Usual
        };
        let estimate = self.estimate_mut(worker);
        (estimate.log_speed, estimate.confidence) = (log_speed, KEPT_CONFIDENCE);
        estimate.class = class;
        self.count_change(SpeedClass::Usual, class);
        self.is_restored = true;
    }
}

impl SpeedEstimate {
    /// Returns the estimate drawn towards the usual speed while it rests on one or two runs.
    fn cautious_log_speed(&self) -> f64 {
        self.log_speed * self.confidence / (self.confidence + 0.5)
    }

    /// Takes an observation of the speed's logarithm into the estimate; returns its distance from
    /// the estimate if that was settled.
    fn observe(&mut self, observed: f64, weight: f64, spread: f64) -> Option<f64> {
        let distance = observed - self.log_speed;
        let was_settled = self.confidence >= MIN_CONFIDENCE;
        if weight > SINGLE_RUN_WEIGHT {
            self.recent[self.recent_count % RECENT_RUNS] = observed;
            self.recent_count += 1;
        }
        if was_settled && self.has_changed(spread) {
            let mut recent = self.recent;
            recent.sort_unstable_by(f64::total_cmp);
            self.log_speed = recent[RECENT_RUNS / 2];
            self.confidence = MIN_CONFIDENCE;
            self.recent_count = 0;
            return None;
        }
        self.confidence = (self.confidence + weight).min(MAX_CONFIDENCE);
        let max_distance = MAX_DEVIATIONS * spread;
        self.log_speed += weight / self.confidence * distance.clamp(-max_distance, max_distance);
        was_settled.then_some(distance)
    }

    /// Returns whether the latest runs show that the worker's speed has changed suddenly.
    fn has_changed(&self, spread: f64) -> bool {
        if self.recent_count < RECENT_RUNS {
            return false;
        }
        let far = MIN_CHANGED_DISTANCE.max(CHANGED_DEVIATIONS * spread);
        let slower = self.recent.iter().filter(|run| **run < self.log_speed - far).count();
        let faster = self.recent.iter().filter(|run| **run > self.log_speed + far).count();
        slower >= CHANGED_RUNS || faster >= CHANGED_RUNS
    }

    /// Returns the class: another one than the usual only if the estimate lies beyond the band by
    /// more than chance explains, and as long as it lies beyond the band. `margin` is the distance
    /// beyond the band that one observation has to show.
    fn classify(&self, margin: f64) -> SpeedClass {
        let is_known = self.confidence >= MIN_CONFIDENCE;
        let entry = USUAL_BAND + margin / self.confidence.max(1e-3).sqrt();
        if self.log_speed < -entry && is_known {
            SpeedClass::Slow
        } else if self.log_speed > entry && is_known {
            SpeedClass::Quick
        } else if (self.class == SpeedClass::Slow && self.log_speed < -USUAL_BAND)
            || (self.class == SpeedClass::Quick && self.log_speed > USUAL_BAND)
        {
            self.class
        } else {
            SpeedClass::Usual
        }
    }

    /// Counts the speed from another usual speed.
    fn shift(&mut self, shift: f64) {
        self.log_speed -= shift;
        for run in &mut self.recent {
            *run -= shift;
        }
    }

    #[expect(clippy::cast_possible_truncation, reason = "levels are small, and the cast saturates")]
    fn worker_speed(&self) -> WorkerSpeed {
        if self.class == SpeedClass::Usual {
            return WorkerSpeed::default();
        }
        let level = (self.log_speed / LEVEL_WIDTH).round() as i8;
        let level = if self.log_speed < 0.0 { level.min(-1) } else { level.max(1) };
        WorkerSpeed { factor: self.log_speed.exp(), level }
    }
}

fn compare_works(left: &(f64, usize), right: &(f64, usize)) -> Ordering {
    left.0.total_cmp(&right.0)
}

/// Returns the weight of a run that is compared with runs on other workers.
#[expect(clippy::cast_precision_loss, reason = "steps have thousands of tasks at most")]
fn comparison_weight(others: usize) -> f64 {
    if others == 0 { SINGLE_RUN_WEIGHT } else { others as f64 / (others + 1) as f64 }
}

/// Returns the median of the works in ascending order, and their number; without those of a worker
/// if one is given. Returns `None` if the median run has not ended.
///
/// The runs on one worker say nothing about its speed. Where they are few among the others, they
/// do not matter for the median, and the search for them is saved.
fn median_work(works: &[(f64, usize)], without: Option<usize>) -> Option<(f64, usize)> {
    let own = works.iter().filter(|(_, worker)| Some(*worker) == without).count();
    let others = works.len() - own;
    let nth = |index: usize| {
        if own * OWN_RUNS_DIVISOR <= works.len() {
            return works.get(index.min(works.len() - 1)).copied();
        }
        works.iter().filter(|(_, worker)| Some(*worker) != without).nth(index).copied()
    };
    if others == 0 {
        return None;
    }
    let count = if own * OWN_RUNS_DIVISOR <= works.len() { works.len() } else { others };
    let (lower, _) = nth((count - 1) / 2)?;
    let (upper, _) = nth(count / 2)?;
    let median = f64::midpoint(lower, upper);
    median.is_finite().then_some((median, others))
}

/// Returns how long work takes on workers with a factor of at least 1 on the usual speed, in
/// milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are days at most"
)]
pub(crate) fn shorten_ms(work_ms: u64, factor: f64) -> u64 {
    if factor > 1.0 { (work_ms as f64 / factor) as u64 } else { work_ms }
}
