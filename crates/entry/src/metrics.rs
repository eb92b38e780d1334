//! Metrics of an entry, served in the Prometheus text format.

use link::intake::IntakeMetrics;
use link::meter::MeterRegistry;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Instruments of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: MeterRegistry,
    /// Requests of callers, by `outcome` and `kind`.
    pub requests: Counter<u64>,
    /// Attempts sent to endpoints, by `result`.
    pub endpoint_attempts: Counter<u64>,
    /// Slots granted and tasks started by this owner, by `what` and `rule`.
    pub placements: Counter<u64>,
    /// Milliseconds that a granted request waited for its slot.
    pub slot_wait_ms: Histogram<f64>,
    /// Milliseconds from the arrival of a request to its answer.
    pub request_time_ms: Histogram<f64>,
    /// Microseconds that the cell took to apply one event.
    pub decision_time_us: Histogram<f64>,
    /// Ownerships acquired and lost by this entry, by `change`.
    pub ownership_changes: Counter<u64>,
    /// Refused calls about jobs and the configuration, by `call` and `kind`.
    pub refusals: Counter<u64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64>,
    /// 1 while this entry owns its domain.
    pub is_owner: Gauge<u64>,
    /// 1 while the ownership rests on promises of voters instead of renewals on the platform.
    pub owner_by_promises: Gauge<u64>,
    /// 1 while this owner holds starts because the configuration was not confirmed for too long.
    pub starts_held: Gauge<u64>,
    /// Milliseconds since the platform last answered.
    pub platform_contact_age_ms: Gauge<u64>,
    /// Milliseconds since the platform last confirmed the configuration in force.
    pub config_contact_age_ms: Gauge<u64>,
    /// Workers of the owned domain by `state`.
    pub workers: Gauge<u64>,
    /// Tasks that run, or may run, in the owned domain.
    pub tasks_running: Gauge<u64>,
    /// Requests that wait for a slot at this owner, by `urgency`.
    pub requests_waiting: Gauge<u64>,
    /// Amounts that a team uses in the owned domain, by `team` and `resource`.
    pub team_used: Gauge<u64>,
    /// Amounts that a team may use in the owned domain, by `team` and `resource`.
    pub team_allotment: Gauge<u64>,
    /// Bodies and connections of callers.
    pub intake: IntakeMetrics,
}

impl EntryMetrics {
    /// Creates the instruments of one entry.
    ///
    /// # Errors
    /// An error if the exporter cannot be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let registry = MeterRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            endpoint_attempts: meter.u64_counter("endpoint_attempts").build(),
            placements: meter.u64_counter("placements").build(),
            slot_wait_ms: meter.f64_histogram("slot_wait_ms").build(),
            request_time_ms: meter.f64_histogram("request_time_ms").build(),
            decision_time_us: meter.f64_histogram("decision_time_us").build(),
            ownership_changes: meter.u64_counter("ownership_changes").build(),
            refusals: meter.u64_counter("refusals").build(),
            config_version: meter.u64_gauge("config_version").build(),
            is_owner: meter.u64_gauge("is_owner").build(),
            owner_by_promises: meter.u64_gauge("owner_by_promises").build(),
            starts_held: meter.u64_gauge("starts_held").build(),
            platform_contact_age_ms: meter.u64_gauge("platform_contact_age_ms").build(),
            config_contact_age_ms: meter.u64_gauge("config_contact_age_ms").build(),
            workers: meter.u64_gauge("workers").build(),
            tasks_running: meter.u64_gauge("tasks_running").build(),
            requests_waiting: meter.u64_gauge("requests_waiting").build(),
            team_used: meter.u64_gauge("team_used").build(),
            team_allotment: meter.u64_gauge("team_allotment").build(),
            intake: IntakeMetrics::new(&meter),
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }

    /// Flushes the instruments at the end of the process.
    pub fn shut_down(&self) {
        self.registry.shut_down();
    }
}

/// Builds one attribute of a measurement.
#[must_use]
pub fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}
