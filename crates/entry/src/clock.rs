//! The monotonic clock of this process.

use std::time::Instant;

use model::time::ClockMillis;

/// Counts milliseconds since the process built it.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl ProcessClock {
    /// Returns the present instant.
    #[must_use]
    pub fn now(&self) -> ClockMillis {
        ClockMillis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
