//! Correction of declared task sizes by measured usage.

use model::resource::ResourceAmounts;

/// Margin reserved above the measured peak, in per cent of the peak.
const PEAK_MARGIN_PERCENT: u64 = 25;
/// Measurements needed before declared sizes are lowered; usage is reported some seconds
/// late, so single measurements mislead.
const MIN_USAGE_SAMPLES: u32 = 3;
/// Milliseconds that a task must have run for its usage to count as a measurement,
/// because usage grows while a task starts.
pub(crate) const WARM_UP_MS: u64 = 30_000;

/// Peak usage that was measured for the tasks of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsageEstimate {
    peak: ResourceAmounts,
    samples: u32,
}

impl UsageEstimate {
    /// Adds a measurement. All zeros mean that the worker does not measure usage.
    pub(crate) fn add_sample(&mut self, usage: ResourceAmounts, ran_ms: u64) {
        if usage.is_zero() {
            return;
        }
        self.peak = self.peak.max(usage);
        if ran_ms >= WARM_UP_MS {
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Returns the amounts to reserve for a further task: the measured peak plus a
    /// margin, capped at the largest worker.
    ///
    /// Only processors and memory are corrected; accelerators and slots are whole units.
    pub(crate) fn correct_amounts(
        &self,
        declared: ResourceAmounts,
        largest: ResourceAmounts,
    ) -> ResourceAmounts {
        let padded = with_margin(self.peak).min(largest.max(declared));
        // A peak above the declared size counts without enough measurements, because
        // it would overload the worker.
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

/// Returns the corrected amount of a resource. One that was never measured keeps the
/// declared amount.
const fn corrected_amount(peak: u64, padded: u64, raised: u64) -> u64 {
    if peak == 0 { raised } else { padded }
}

fn with_margin(peak: ResourceAmounts) -> ResourceAmounts {
    let margin = peak.times(PEAK_MARGIN_PERCENT).as_array().map(|amount| amount.div_ceil(100));
    peak.plus(ResourceAmounts::from_array(margin))
}
