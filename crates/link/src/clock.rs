//! The monotonic clock of this process.

use model::time::ClockMillis;
use nix::time::{ClockId, clock_gettime};

/// Counts milliseconds on a clock that never goes back.
///
/// The clock goes on while the VM is suspended (`CLOCK_BOOTTIME`), so that a
/// lease has expired after a suspension that outlasted it. `std::time::Instant`
/// stands still meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessClock;

impl ProcessClock {
    /// Returns the present instant.
    ///
    /// # Panics
    /// Panics if the system clock cannot be read, which Linux does not let happen.
    #[must_use]
    pub fn now(&self) -> ClockMillis {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
        let seconds = u64::try_from(now.tv_sec()).expect("uptime is not negative");
        let nanos = u64::try_from(now.tv_nsec()).expect("nanoseconds are not negative");
        ClockMillis(seconds * 1_000 + nanos / 1_000_000)
    }
}
