//! Metrics of one process, served in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};

/// OpenTelemetry instrumentation scope of all instruments.
const METER_SCOPE: &str = "amaranthsaddle";

/// The instruments of one process, which record its metrics.
#[derive(Debug)]
pub struct MeterRegistry {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
}

impl MeterRegistry {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    /// An error if the exporter cannot be registered.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let registry = prometheus::Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter with which instruments are created.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_SCOPE)
    }

    /// Returns all metrics in the Prometheus text format.
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
