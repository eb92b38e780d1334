//! Metrics of an entry.

use link::intake::IntakeMetrics;
use link::meter::MeterRegistry;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Counters, gauges and histograms of an entry.
#[derive(Debug)]
pub struct FleetMetrics {
    registry: MeterRegistry,
    /// Requests of callers by `ask` and `answer`.
    pub requests: Counter<u64>,
    /// Milliseconds from a caller's request to its answer, by `ask`.
    pub request_time: Histogram<f64>,
    /// Starts sent by this owner, by `answer`.
    pub starts: Counter<u64>,
    /// Stops sent by this owner, by `reason`.
    pub stops: Counter<u64>,
    /// Runs whose stop this owner sent because their worker leaves.
    pub early_moves: Counter<u64>,
    /// Runs whose stop this owner sent because they stand still.
    pub stalled_runs: Counter<u64>,
    /// Run ends reported to this owner, by `kind`.
    pub run_ends: Counter<u64>,
    /// Jobs that finished under this owner, by `status`.
    pub finished_jobs: Counter<u64>,
    /// Jobs that this owner refused because they could not be done in time, by `reason`.
    pub refused_jobs: Counter<u64>,
    /// Runs that this owner has stopped for more urgent work.
    pub preemptions: Counter<u64>,
    /// Milliseconds that a request to the advice service took.
    pub advice_time: Histogram<f64>,
    /// Microseconds that one call of the planner took.
    pub decision_time: Histogram<f64>,
    /// Changes of ownership, by `change`.
    pub ownership_changes: Counter<u64>,
    /// 1 while this entry owns the fleet.
    pub is_owner: Gauge<u64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64>,
    /// Unfinished jobs, at the owner.
    pub unfinished_jobs: Gauge<u64>,
    /// Runs that may be present, at the owner.
    pub present_runs: Gauge<u64>,
    /// Registered workers that do not answer, at the owner.
    pub silent_workers: Gauge<u64>,
    /// Bodies and connections of clients.
    pub intake: IntakeMetrics,
    /// Expected milliseconds until there is capacity for a new job, by `priority`, at the owner.
    pub room_wait: Gauge<f64>,
    /// Workers that are about to leave at a known time, at the owner.
    pub leaving_workers: Gauge<u64>,
    /// Registered workers by `class` of their learned speed, at the owner.
    pub workers_by_speed: Gauge<u64>,
}

impl FleetMetrics {
    /// Creates the instruments of one entry.
    ///
    /// # Errors
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let registry = MeterRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            requests: meter.u64_counter("fleet_requests").build(),
            request_time: meter.f64_histogram("fleet_request_time_ms").build(),
            starts: meter.u64_counter("fleet_starts").build(),
            stops: meter.u64_counter("fleet_stops").build(),
            early_moves: meter.u64_counter("fleet_early_moves").build(),
            stalled_runs: meter.u64_counter("fleet_stalled_runs").build(),
            run_ends: meter.u64_counter("fleet_ends").build(),
            finished_jobs: meter.u64_counter("fleet_jobs_over").build(),
            refused_jobs: meter.u64_counter("fleet_jobs_refused").build(),
            preemptions: meter.u64_counter("fleet_preemptions").build(),
            advice_time: meter.f64_histogram("fleet_advice_time_ms").build(),
            decision_time: meter.f64_histogram("fleet_decision_time_us").build(),
            ownership_changes: meter.u64_counter("fleet_ownership_changes").build(),
            is_owner: meter.u64_gauge("fleet_is_owner").build(),
            config_version: meter.u64_gauge("fleet_config_version").build(),
            unfinished_jobs: meter.u64_gauge("fleet_jobs_live").build(),
            present_runs: meter.u64_gauge("fleet_runs_present").build(),
            silent_workers: meter.u64_gauge("fleet_workers_silent").build(),
            intake: IntakeMetrics::new(&meter),
            room_wait: meter.f64_gauge("fleet_room_wait_ms").build(),
            leaving_workers: meter.u64_gauge("fleet_workers_leaving").build(),
            workers_by_speed: meter.u64_gauge("fleet_workers_by_speed").build(),
            registry,
        })
    }

    /// Returns all metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

/// Builds one label of a measurement.
#[must_use]
pub fn label(key: &'static str, value: impl Into<String>) -> KeyValue {
    KeyValue::new(key, value.into())
}
