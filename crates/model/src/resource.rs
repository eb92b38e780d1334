//! Amounts of the resources that workers offer and that tasks and requests use.

use serde::{Deserialize, Serialize};

/// An amount of each resource; used for capacity, usage, limits and allotments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceAmounts {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
    /// Request slots of endpoints.
    pub slots: u64,
}

impl ResourceAmounts {
    /// 0 of each resource.
    pub const ZERO: Self = Self { cpu_millis: 0, memory_mb: 0, accelerators: 0, slots: 0 };

    /// More of each resource than any fleet has; stands for "no limit".
    pub const UNLIMITED: Self = Self {
        cpu_millis: u64::MAX / 4,
        memory_mb: u64::MAX / 4,
        accelerators: u64::MAX / 4,
        slots: u64::MAX / 4,
    };

    /// Returns the amounts as an array, in the order of the fields.
    #[must_use]
    pub const fn as_array(self) -> [u64; 4] {
        [self.cpu_millis, self.memory_mb, self.accelerators, self.slots]
    }

    /// Builds amounts from an array in the order of the fields.
    #[must_use]
    pub const fn from_array(amounts: [u64; 4]) -> Self {
        Self {
            cpu_millis: amounts[0],
            memory_mb: amounts[1],
            accelerators: amounts[2],
            slots: amounts[3],
        }
    }

    fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        let (left, right) = (self.as_array(), other.as_array());
        Self::from_array(std::array::from_fn(|index| combine(left[index], right[index])))
    }

    /// Returns the sum, saturating at the largest value.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference, with 0 where `other` is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the smaller of each amount.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger of each amount.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns each amount times `factor`, saturating.
    #[must_use]
    pub fn times(self, factor: u64) -> Self {
        Self::from_array(self.as_array().map(|amount| amount.saturating_mul(factor)))
    }

    /// Returns whether each amount is at most that of `capacity`.
    #[must_use]
    pub fn fits_in(self, capacity: Self) -> bool {
        self.as_array().iter().zip(capacity.as_array()).all(|(amount, bound)| *amount <= bound)
    }

    /// Returns whether every amount is 0.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// Returns the largest fraction of `total` that any resource takes, from 0.0 up.
    ///
    /// This is the dominant share of dominant resource fairness. Resources whose
    /// total is 0 are ignored.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "fleet totals stay far below 2^52")]
    pub fn dominant_share(self, total: Self) -> f64 {
        self.as_array()
            .iter()
            .zip(total.as_array())
            .filter(|(_, bound)| *bound > 0)
            .map(|(amount, bound)| *amount as f64 / bound as f64)
            .fold(0.0, f64::max)
    }
}
