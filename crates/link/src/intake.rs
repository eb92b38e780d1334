//! What one kind of clients may occupy in a process, and counts of what was turned away.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use tokio::time::Instant;

use crate::body::{BodyBudget, BodyError};
use crate::connection::ConnectionTable;

/// Time between two updates of the metrics. Connections that are overdue are closed as often.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Updates of the metrics for each log line, so that a flood writes at most one line in 5 s.
const UPKEEPS_PER_LINE: u32 = 5;

/// Counts of bodies and connections that were turned away.
#[derive(Debug, Default)]
pub struct IntakeCounts {
    bodies_too_long: AtomicU64,
    bodies_no_room: AtomicU64,
    bodies_too_slow: AtomicU64,
    bodies_broken: AtomicU64,
    pub(crate) connections_refused: AtomicU64,
    pub(crate) connections_replaced: AtomicU64,
    pub(crate) connections_overdue: AtomicU64,
}

impl IntakeCounts {
    pub(crate) fn record_body_error(&self, error: &BodyError) {
        let count = match error {
            BodyError::TooLong(_) => &self.bodies_too_long,
            BodyError::NoRoom => &self.bodies_no_room,
            BodyError::TooSlow => &self.bodies_too_slow,
            BodyError::Broken(_) => &self.bodies_broken,
        };
        add(count);
    }

    /// Returns all counts with the labels of their metrics, bodies first.
    fn read(&self) -> [(&'static str, u64); 7] {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        [
            ("too-long", read(&self.bodies_too_long)),
            ("no-room", read(&self.bodies_no_room)),
            ("too-slow", read(&self.bodies_too_slow)),
            ("broken", read(&self.bodies_broken)),
            ("refused", read(&self.connections_refused)),
            ("replaced", read(&self.connections_replaced)),
            ("overdue", read(&self.connections_overdue)),
        ]
    }
}

/// Number of counts of bodies; those of connections follow.
const BODY_COUNTS: usize = 4;

/// Adds one to a count.
pub(crate) fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// Room for the connections and bodies of one kind of clients; clones share it.
#[derive(Clone, Debug)]
pub struct ClientIntake {
    /// Name of the clients in metrics and log lines.
    pub clients: &'static str,
    /// Bound over their bodies.
    pub bodies: BodyBudget,
    /// Their connections.
    pub connections: ConnectionTable,
    /// What was turned away.
    pub counts: Arc<IntakeCounts>,
}

impl ClientIntake {
    /// Creates room for bodies of so many bytes and for so many connections.
    #[must_use]
    pub fn new(clients: &'static str, body_bytes: u64, connections: u64) -> Self {
        let counts = Arc::new(IntakeCounts::default());
        Self {
            clients,
            bodies: BodyBudget::new(body_bytes),
            connections: ConnectionTable::new(connections, counts.clone()),
            counts,
        }
    }
}

/// Metrics of all clients' bodies and connections.
#[derive(Clone, Debug)]
pub struct IntakeMetrics {
    /// Bytes that bodies hold, by `clients`.
    body_bytes: Gauge<u64>,
    /// Open connections, by `clients`.
    connections: Gauge<u64>,
    /// Bodies that were not received, by `clients` and `reason`.
    aborted_bodies: Counter<u64>,
    /// Connections that were refused or closed for room or time, by `clients` and `reason`.
    closed_connections: Counter<u64>,
}

impl IntakeMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        Self {
            body_bytes: meter.u64_gauge("intake_body_bytes").build(),
            connections: meter.u64_gauge("intake_connections").build(),
            aborted_bodies: meter.u64_counter("intake_bodies_aborted").build(),
            closed_connections: meter.u64_counter("intake_connections_closed").build(),
        }
    }
}

/// Closes overdue connections and updates the metrics until the task is dropped.
pub async fn maintain(intakes: Vec<ClientIntake>, metrics: IntakeMetrics) {
    let mut reports: Vec<_> = intakes.into_iter().map(IntakeReport::new).collect();
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        for report in &mut reports {
            report.intake.connections.close_overdue(Instant::now());
            report.record(&metrics);
            report.log();
        }
    }
}

/// What was recorded and logged of an intake.
struct IntakeReport {
    intake: ClientIntake,
    recorded: [(&'static str, u64); 7],
    logged: [(&'static str, u64); 7],
    /// Updates of the metrics since the last line.
    unlogged: u32,
}

impl IntakeReport {
    fn new(intake: ClientIntake) -> Self {
        let counts = intake.counts.read();
        Self { intake, recorded: counts, logged: counts, unlogged: UPKEEPS_PER_LINE }
    }

    fn record(&mut self, metrics: &IntakeMetrics) {
        let clients = KeyValue::new("clients", self.intake.clients);
        let labels = std::slice::from_ref(&clients);
        metrics.body_bytes.record(self.intake.bodies.held() as u64, labels);
        metrics.connections.record(self.intake.connections.open() as u64, labels);
        let counts = self.intake.counts.read();
        for (index, ((reason, count), (_, before))) in counts.iter().zip(self.recorded).enumerate()
        {
            if *count > before {
                let counter = if index < BODY_COUNTS {
                    &metrics.aborted_bodies
                } else {
                    &metrics.closed_connections
                };
                counter.add(count - before, &[clients.clone(), KeyValue::new("reason", *reason)]);
            }
        }
        self.recorded = counts;
    }

    /// Logs what was turned away since the last line, if anything was and the line is not too
    /// recent.
    fn log(&mut self) {
        self.unlogged = self.unlogged.saturating_add(1);
        if self.unlogged < UPKEEPS_PER_LINE || self.recorded == self.logged {
            return;
        }
        let changes: Vec<_> = self
            .recorded
            .iter()
            .zip(self.logged)
            .filter(|((_, count), (_, before))| count > before)
            .map(|((reason, count), (_, before))| format!("{reason}={}", count - before))
            .collect();
        log::warn!(
            "bodies or connections turned away clients={} {} body_bytes={} connections={}",
            self.intake.clients,
            changes.join(" "),
            self.intake.bodies.held(),
            self.intake.connections.open()
        );
        self.logged = self.recorded;
        self.unlogged = 0;
    }
}
