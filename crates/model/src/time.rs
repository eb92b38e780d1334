//! Monotonic time as plain milliseconds, so that code without I/O can be tested
//! with simulated time.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A monotonic instant in milliseconds since an arbitrary origin of one process.
///
/// Instants of two processes must never be compared: only clock *rates* are
/// assumed to agree, see [`CLOCK_RATE_MARGIN_PERCENT`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockMillis(pub u64);

/// Margin in per cent that a process adds when it waits for another one's lease to expire.
///
/// Quartz clocks differ by less than 0.02 %, but the clock of a VM may be
/// slewed by up to a few per cent after a pause or migration.
pub const CLOCK_RATE_MARGIN_PERCENT: u64 = 5;

/// Returns the milliseconds `ttl`, lengthened by [`CLOCK_RATE_MARGIN_PERCENT`].
#[must_use]
pub const fn with_clock_margin(ttl: u64) -> u64 {
    ttl + ttl * CLOCK_RATE_MARGIN_PERCENT / 100
}

impl ClockMillis {
    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for ClockMillis {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for ClockMillis {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
