//! The monotonic clock of this process.

use model::time::ClockMillis;
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock in milliseconds that includes the time of suspensions.
///
/// `CLOCK_BOOTTIME` keeps running while the VM is suspended, so that a lease
/// expires during a suspension that outlasts it. `std::time::Instant` stops
/// during a suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessClock;

impl ProcessClock {
    /// Returns the current instant.
    ///
    /// # Panics
    /// Panics if the clock cannot be read, which does not happen on Linux.
    #[must_use]
    pub fn now(&self) -> ClockMillis {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
        let seconds = u64::try_from(now.tv_sec()).expect("uptime is not negative");
        let nanos = u64::try_from(now.tv_nsec()).expect("nanoseconds are not negative");
        ClockMillis(seconds * 1_000 + nanos / 1_000_000)
    }
}
