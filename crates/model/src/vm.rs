//! Limits of the VM that a daemon runs on, and what clients may use of them.

use std::ops::RangeInclusive;

/// Bytes in a megabyte of the settings.
const MB: u64 = 1 << 20;
/// Memory that one connection may occupy beside its body: 8 KB each for reading and writing, up
/// to 16 KB for the head of a request and as much again while a buffer grows, up to 32 KB for the
/// list of small chunks that are decoded at once, less than 4 KB for the connection's state.
const CONNECTION_BYTES: u64 = 65_536;

/// Memory and descriptors of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors that a process may have open.
    pub max_fds: u64,
}

impl VmLimits {
    /// Limits that are assumed without settings.
    pub const DEFAULT: Self = Self { memory_mb: 256, max_fds: 4_096 };
    /// Accepted descriptors; with fewer, too few connections are left for callers.
    pub const MAX_FDS: RangeInclusive<u64> = 256..=1_048_576;
    /// Largest accepted memory in megabytes.
    pub const MAX_MEMORY_MB: u64 = 1_048_576;

    /// Returns the bytes that request bodies may occupy together: a quarter of the memory.
    #[must_use]
    pub const fn body_bytes(self) -> u64 {
        self.memory_mb * MB / 4
    }

    /// Returns the part of [`Self::body_bytes`] that is reserved for bodies of other entries,
    /// where these use the same kind of server: a quarter.
    #[must_use]
    pub const fn peer_body_bytes(self) -> u64 {
        self.body_bytes() / 4
    }

    /// Returns how many connections callers may have: half of the descriptors, and at most what
    /// a quarter of the memory can hold.
    #[must_use]
    pub const fn caller_connections(self) -> u64 {
        min(self.max_fds / 2, self.memory_mb * MB / 4 / CONNECTION_BYTES)
    }

    /// Returns how many connections other entries, readiness checks and scrapes may have: an
    /// eighth of the descriptors, and at most what an eighth of the memory can hold.
    #[must_use]
    pub const fn reserved_connections(self) -> u64 {
        min(self.max_fds / 8, self.memory_mb * MB / 8 / CONNECTION_BYTES)
    }
}

const fn min(left: u64, right: u64) -> u64 {
    if left < right { left } else { right }
}
