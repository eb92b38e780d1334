//! Pure logic that decides which VMs should own the fleet.
//!
//! The owner calls every worker, so a VM with little processor time or a slow link cannot serve
//! a large fleet (docs/platform.md, "Ownership"). Small VMs serve callers and own the fleet only
//! while no larger one does.

use serde::{Deserialize, Serialize};

/// Thousandths of a core that weigh as much as one Mbit/s: an owner of 350 workers uses a
/// quarter of a core and about 20 Mbit/s at its peak.
const CPU_MILLIS_PER_MBPS: f64 = 12.0;
/// How long a VM leaves a fleet without an owner to larger VMs before it claims the fleet, in
/// milliseconds; a larger VM that runs claims within a fifth of that.
pub const SMALL_CLAIM_DELAY_MS: u64 = 1_500;
/// How long the very first claim waits for the other VMs to register, in milliseconds; all
/// processes start within 300 ms.
pub const FIRST_CLAIM_DELAY_MS: u64 = 600;

/// Capacity of a VM for owning the fleet; higher is more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmStrength(u32);

impl VmStrength {
    /// Rates a VM by the scarcer of its processor time, in thousandths of a core, and its link.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "links have some thousands of Mbit/s at most"
    )]
    pub fn new(cpu_millis: u32, link_mbps: f64) -> Self {
        let link_millis = (link_mbps * CPU_MILLIS_PER_MBPS).max(0.0) as u32;
        Self(cpu_millis.min(link_millis))
    }

    /// Returns true if this VM's capacity is more than one and a half times the other's, so that
    /// the other should leave the fleet to it.
    #[must_use]
    pub fn far_exceeds(self, other: Self) -> bool {
        u64::from(self.0) * 2 > u64::from(other.0) * 3
    }
}

/// Returns how long a VM waits before it claims a fleet that nobody holds, in milliseconds.
#[must_use]
pub fn claim_delay_ms(own: VmStrength, mut others: impl Iterator<Item = VmStrength>) -> u64 {
    if others.any(|other| other.far_exceeds(own)) { SMALL_CLAIM_DELAY_MS } else { 0 }
}
