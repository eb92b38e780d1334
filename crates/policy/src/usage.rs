//! The correction of declared sizes by measured use.

use model::resource::ResourceAmounts;

/// Per cent of the measured peak that is reserved in addition.
const PEAK_MARGIN_PERCENT: u64 = 25;
/// Measurements needed; usage lags by some seconds, so that single ones mislead.
const MIN_USAGE_SAMPLES: u32 = 3;
/// Milliseconds that a task must have run, because use grows while a task starts.
pub(crate) const WARM_UP_MS: u64 = 30_000;

/// What the tasks of one job were measured to use at most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsageEstimate {
    peak: ResourceAmounts,
    samples: u32,
}

impl UsageEstimate {
    /// Adds a measurement; one of nothing at all means that the worker does not measure.
    pub(crate) fn add_sample(&mut self, usage: ResourceAmounts, ran_ms: u64) {
        if usage.is_zero() {
            return;
        }
        self.peak = self.peak.max(usage);
        if ran_ms >= WARM_UP_MS {
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Returns the amounts to reserve for a further task: the measured peak plus
    /// a margin, but not more than any worker offers.
    ///
    /// Only processors and memory are corrected; accelerators and slots are whole units.
    pub(crate) fn correct_amounts(
        &self,
        declared: ResourceAmounts,
        largest: ResourceAmounts,
    ) -> ResourceAmounts {
        let padded = with_margin(self.peak).min(largest.max(declared));
        // A peak above the declared size counts at once, to protect the worker.
        let raised = declared.max(padded);
        let (cpu, memory) = if self.samples < MIN_USAGE_SAMPLES {
            (raised.cpu_millis, raised.memory_mb)
        } else {
            (
                corrected_amount(self.peak.cpu_millis, padded.cpu_millis, raised.cpu_millis),
                corrected_amount(self.peak.memory_mb, padded.memory_mb, raised.memory_mb),
            )
        };
        ResourceAmounts { cpu_millis: cpu, memory_mb: memory, ..declared }
    }
}

/// A resource that was never measured keeps its declared amount.
const fn corrected_amount(peak: u64, padded: u64, raised: u64) -> u64 {
    if peak == 0 { raised } else { padded }
}

fn with_margin(peak: ResourceAmounts) -> ResourceAmounts {
    let margin = peak.times(PEAK_MARGIN_PERCENT).as_array().map(|amount| amount.div_ceil(100));
    peak.plus(ResourceAmounts::from_array(margin))
}
