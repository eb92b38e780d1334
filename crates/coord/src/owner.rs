//! Ownership of one failure domain, from the view of one entry.
//!
//! At most one entry at a time, the holder, owns a domain. It owns it by a
//! lease: it claims the row `owner/<domain>` in the platform's table and renews
//! it from then on. The row names the voters, the only entries that may claim
//! it when the renewals stop. Other entries of the domain are candidates until
//! the holder makes them voters.
//!
//! A holder that cannot reach the platform extends its lease by promises of all
//! voters not to claim. A holder that shuts down, or that has lost the platform
//! while a voter has not, hands the domain over to another entry. Each claim
//! begins a new term, each handover has a number within its term, and the two
//! together are the authority that orders all holders.

mod attempt;
mod holder;
mod machine;
mod proof;
mod standby;
mod view;

use model::authority::OwnerAuthority;
use model::name::EntryId;
use model::time::ClockMillis;

pub use self::machine::Ownership;
use crate::row::{EntryMember, OwnerRow};

/// Milliseconds that the lease lasts from when a committed claim or renewal was sent.
pub const OWNER_TTL_MS: u64 = 2_000;
/// Milliseconds between renewals of the ownership row by its holder.
pub const OWNER_RENEW_INTERVAL_MS: u64 = 500;
/// Milliseconds between reads of the ownership row by a standby.
pub const STANDBY_READ_INTERVAL_MS: u64 = 250;
/// Milliseconds that a voter's promise not to claim lasts.
pub const PROMISE_TTL_MS: u64 = 5_000;
/// Milliseconds without an answer of the platform before a voter promises.
pub const PROMISE_CONTACT_LOSS_MS: u64 = 500;
/// Longest time in milliseconds that promises extend a lease without a renewal.
pub const MAX_PROMISE_TENURE_MS: u64 = 3_600_000;

/// Milliseconds after which a call to the platform without a reply counts as failed.
pub const CALL_TIMEOUT_MS: u64 = 300;
/// Milliseconds between rounds of requests for promises.
pub const PROMISE_REQUEST_INTERVAL_MS: u64 = 500;
/// Milliseconds without an answer after which the holder removes a voter from the row.
pub const VOTER_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds that a draining holder looks for a successor before it releases
/// the row, and that a holder waits for the answer to a handover.
pub const SUCCESSOR_SEARCH_TIMEOUT_MS: u64 = 2_000;
/// Milliseconds after which a request to prepare for a handover counts as refused.
pub const PREPARE_TIMEOUT_MS: u64 = 600;
/// Milliseconds that a prepared process waits for the handover. Longer than
/// [`PREPARE_TIMEOUT_MS`], for which the predecessor waits for the answer to its
/// request, so that a slow answer can still be used.
pub const PREPARED_TTL_MS: u64 = 2_000;

/// Identifies one read, write or promise request of a state machine.
pub type CallToken = u64;

/// Result of a write of the ownership row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Committed {
        /// Version of the row.
        version: u64,
    },
    /// The row did not have the expected version because another write came first.
    Conflict {
        /// Version of the current row; 0 if there is none.
        version: u64,
        /// The current row.
        row: Option<Box<OwnerRow>>,
    },
    /// No reply: the write may have taken effect or may still do so.
    Unknown,
}

/// Input of the ownership state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// A read succeeded.
    ReadDone {
        /// The read.
        token: CallToken,
        /// Version and row; `None` if there is no row.
        row: Option<(u64, Box<OwnerRow>)>,
    },
    /// A read got no reply.
    ReadFailed {
        /// The read.
        token: CallToken,
    },
    /// A write succeeded, failed or got no reply.
    WriteDone {
        /// The write.
        token: CallToken,
        /// Its result.
        result: WriteResult,
    },
    /// A voter answered a request for a promise.
    PromiseReply {
        /// The request.
        token: CallToken,
        /// The voter that answered.
        voter: EntryId,
        /// Whether the voter promised not to claim.
        promised: bool,
    },
    /// An entry answered a call to a peer address.
    PeerAnswered {
        /// The entry that answered.
        entry: EntryId,
        /// The address that was called.
        address: String,
        /// When the call was sent. A late answer of an earlier process at the
        /// address must not count as proof that the current one is dead.
        sent_at: ClockMillis,
        /// Highest authority that the entry knows.
        authority: OwnerAuthority,
        /// Whether the entry holds the domain or is prepared for a handover.
        may_hold: bool,
    },
    /// An entry answered a request to prepare for a handover.
    PrepareDone {
        /// Authority of the handover.
        authority: OwnerAuthority,
        /// Whether the entry is prepared.
        prepared: bool,
    },
    /// The platform's list of VMs once contained this VM and no longer does.
    ///
    /// Sent repeatedly, because the event proves the death only of members that
    /// the row names at that moment.
    VmRemoved {
        /// Name of the VM.
        vm: String,
    },
    /// An entry accepted or refused a handover, or did not answer.
    HandoverDone {
        /// Authority of the handover, so that a late answer to an earlier
        /// handover is not taken for the answer to the current one.
        authority: OwnerAuthority,
        /// Whether the entry accepted. `None` without an answer: the entry may
        /// have accepted and may act as owner.
        accepted: Option<bool>,
    },
    /// This entry begins to shut down.
    Drain,
}

/// Effect that the caller of the ownership state machine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the ownership row.
    Read {
        /// Identifies the result.
        token: CallToken,
    },
    /// Write the ownership row if it has the expected version.
    Write {
        /// Identifies the result.
        token: CallToken,
        /// Version that the row must have; 0 if it must not exist.
        version: u64,
        /// New value.
        row: Box<OwnerRow>,
    },
    /// Request a voter's promise not to claim.
    RequestPromise {
        /// Identifies the answer.
        token: CallToken,
        /// The voter.
        voter: EntryMember,
        /// Authority of the holder that requests the promise.
        authority: OwnerAuthority,
        /// Milliseconds that the promise lasts.
        ttl_ms: u64,
    },
    /// Request that an entry which is not a voter prepares for a handover.
    Prepare {
        /// The entry.
        to: EntryMember,
        /// Authority of the handover.
        authority: OwnerAuthority,
    },
    /// Hand the domain over to another entry.
    HandOver {
        /// The successor.
        to: EntryMember,
        /// Authority of the successor.
        authority: OwnerAuthority,
        /// Last known version of the row, from which the successor continues.
        version: u64,
        /// The row. Its candidates are those that an unconfirmed write of the
        /// predecessor may have made voters.
        row: Box<OwnerRow>,
        /// Milliseconds since the start of the predecessor's lease.
        lease_age_ms: u64,
    },
    /// This entry now owns the domain.
    Acquired {
        /// Authority of this entry.
        authority: OwnerAuthority,
        /// Whether the predecessor handed the domain over together with its
        /// state, so that this entry can act at once.
        handed_over: bool,
    },
    /// This entry no longer owns the domain and must drop all control state.
    Lost,
}
