//! Optional parts of the planner, which an operator can switch off.

use serde::{Deserialize, Serialize};

/// Optional parts of the planner that are in use; by default all of them are.
///
/// Each part is without effect on a fleet that does not call for it (docs/hard-load.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent choice of the operator")]
pub struct PlanFeatures {
    /// Place tasks by the learned speed of workers.
    pub worker_speed: bool,
    /// Refuse jobs that could not be done in time for want of capacity, and order the others by
    /// what their delay costs callers.
    pub room_admission: bool,
    /// Stop less urgent runs that save their progress for urgent work that would be late.
    pub preemption: bool,
    /// Move runs off workers that leave, or that stand still.
    pub early_moves: bool,
}

impl Default for PlanFeatures {
    fn default() -> Self {
        Self { worker_speed: true, room_admission: true, preemption: true, early_moves: true }
    }
}
