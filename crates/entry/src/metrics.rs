//! Counters and histograms, served in Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};

/// Everything that an entry measures.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
    /// Requests of callers by `outcome` and `kind`.
    pub requests: Counter<u64>,
    /// Attempts at endpoints by `result`.
    pub attempts: Counter<u64>,
    /// Slots granted and tasks started by this owner, by `what` and `rule`.
    pub placements: Counter<u64>,
    /// Milliseconds that a granted request waited for its slot.
    pub slot_wait: Histogram<f64>,
    /// Milliseconds from the arrival of a request to its answer.
    pub request_time: Histogram<f64>,
    /// Microseconds that one decision of the cell took.
    pub decision_time: Histogram<f64>,
    /// Changes of ownership seen by this entry, by `change`.
    pub ownership: Counter<u64>,
    /// Calls to the platform by `call` and `result`.
    pub platform_calls: Counter<u64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64>,
    /// 1 while this entry owns its domain.
    pub is_owner: Gauge<u64>,
}

impl EntryMetrics {
    /// Creates the instruments of one entry.
    ///
    /// # Errors
    /// An error if the exporter cannot be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let registry = prometheus::Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("amaranthsaddle");
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            attempts: meter.u64_counter("endpoint_attempts").build(),
            placements: meter.u64_counter("placements").build(),
            slot_wait: meter.f64_histogram("slot_wait_ms").build(),
            request_time: meter.f64_histogram("request_time_ms").build(),
            decision_time: meter.f64_histogram("decision_time_us").build(),
            ownership: meter.u64_counter("ownership_changes").build(),
            platform_calls: meter.u64_counter("platform_calls").build(),
            config_version: meter.u64_gauge("config_version").build(),
            is_owner: meter.u64_gauge("is_owner").build(),
            registry,
            provider,
        })
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics cannot be encoded: {error}");
        }
        String::from_utf8(text).unwrap_or_default()
    }

    /// Flushes the instruments at the end of the process.
    pub fn shut_down(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("metrics provider did not shut down cleanly: {error}");
        }
    }
}

/// Builds one attribute of a measurement.
#[must_use]
pub fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}
