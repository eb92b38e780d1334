//! The retry budget of one entry, so that retries cannot multiply an overload.

/// Retries earned by each first attempt, in thousandths: 10 %.
const EARNED_PER_REQUEST: u64 = 100;
/// Cost of one retry in thousandths.
const RETRY_COST: u64 = 1000;
/// Most retries that a quiet time can save up, in thousandths.
const SAVED_BOUND: u64 = 20_000;

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u64,
}

impl Default for RetryBudget {
    /// Starts full, so that the first failures after a start can be retried.
    fn default() -> Self {
        Self { tokens: SAVED_BOUND }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(SAVED_BOUND);
    }

    /// Takes one retry from the budget; returns whether it may be made.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens >= RETRY_COST;
        if allowed {
            self.tokens -= RETRY_COST;
        }
        allowed
    }
}
