//! The ownership lease of one failure domain, from the view of one entry.

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

/// Milliseconds that a renewal of the ownership row is good for.
pub const OWNER_TTL_MS: u64 = 2_000;
/// Milliseconds between renewals.
pub const OWNER_RENEW_INTERVAL_MS: u64 = 500;
/// Milliseconds between reads of the row by standbys.
pub const STANDBY_READ_INTERVAL_MS: u64 = 250;
/// Milliseconds that a voter's promise lasts.
pub const PROMISE_TTL_MS: u64 = 5_000;
/// Milliseconds without platform contact before a voter promises.
pub const PROMISE_CONTACT_LOSS_MS: u64 = 500;
/// Longest time in milliseconds that a holder goes on by promises.
pub const MAX_PROMISE_TENURE_MS: u64 = 3_600_000;

/// Milliseconds after which a call without a reply counts as unknown.
pub const CALL_TIMEOUT_MS: u64 = 300;
/// Milliseconds between rounds of requests for promises.
pub const PROMISE_REQUEST_INTERVAL_MS: u64 = 500;
/// Milliseconds without a sign of life after which a voter leaves the row.
pub const VOTER_TIMEOUT_MS: u64 = 10_000;
/// Milliseconds that a draining holder looks for a successor.
pub const SUCCESSOR_SEARCH_TIMEOUT_MS: u64 = 2_000;
/// Milliseconds after which a request to prepare for a handover counts as refused.
pub const PREPARE_TIMEOUT_MS: u64 = 600;
/// Milliseconds that a prepared process waits for the handover. Longer than
/// the predecessor waits for the answer, so that a slow answer is still of use.
pub const PREPARED_TTL_MS: u64 = 2_000;

/// Identifies one write or read that the machine asked for.
pub type CallToken = u64;

/// How a write of the ownership row ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Committed {
        /// Version of the row.
        version: u64,
    },
    /// Another write came first; the present row, if there is one, with its version.
    Conflict {
        /// Version of the present row; 0 if there is none.
        version: u64,
        /// The present row.
        row: Option<Box<OwnerRow>>,
    },
    /// No reply: the write may have taken effect.
    Unknown,
}

/// Something that the ownership machine is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// A read ended: the row with its version, none if there is no row.
    ReadDone {
        /// The read.
        token: CallToken,
        /// Version and row.
        row: Option<(u64, Box<OwnerRow>)>,
    },
    /// A read got no reply.
    ReadFailed {
        /// The read.
        token: CallToken,
    },
    /// A write ended.
    WriteDone {
        /// The write.
        token: CallToken,
        /// How it ended.
        result: WriteResult,
    },
    /// A voter answered a request for a promise.
    PromiseReply {
        /// The request.
        token: CallToken,
        /// Who answered.
        voter: EntryId,
        /// Whether it promised.
        given: bool,
    },
    /// A peer answered under this identity at this peer address.
    PeerAnswered {
        /// Who answered.
        entry: EntryId,
        /// Where it was called.
        address: String,
        /// When it was called. A late answer of an earlier process at the
        /// address must not count as proof that the present one is dead.
        asked_at: ClockMillis,
        /// The highest authority that it knows.
        authority: OwnerAuthority,
        /// Whether it holds the domain by a handover or is prepared for one.
        may_hold: bool,
    },
    /// A process answered a request to prepare for a handover.
    PrepareDone {
        /// The authority that was offered.
        authority: OwnerAuthority,
        /// Whether it is prepared.
        prepared: bool,
    },
    /// The platform's list once contained this VM and no longer does.
    ///
    /// Repeated while it holds, because a proof counts only for members that
    /// the row names at that moment.
    VmRemoved {
        /// Name of the VM.
        vm: String,
    },
    /// A standby accepted or refused a handover, or did not answer.
    HandoverDone {
        /// The authority that was offered, so that a late answer to an earlier
        /// handover is not taken for the answer to the present one.
        authority: OwnerAuthority,
        /// Whether it accepted; `None` without an answer, after which it may act.
        accepted: Option<bool>,
    },
    /// This entry begins to shut down.
    Drain,
}

/// Something that the transport has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the ownership row.
    Read {
        /// Returned with the result.
        token: CallToken,
    },
    /// Write the ownership row if it is at a version.
    Write {
        /// Returned with the result.
        token: CallToken,
        /// Version that the row must have; 0 if it must not exist.
        version: u64,
        /// New value.
        row: Box<OwnerRow>,
    },
    /// Ask a voter for a promise.
    RequestPromise {
        /// Returned with the answer.
        token: CallToken,
        /// Whom to ask.
        voter: EntryMember,
        /// Authority of the holder that asks.
        authority: OwnerAuthority,
        /// Milliseconds that the promise lasts.
        ttl_ms: u64,
    },
    /// Ask a process that is not a voter to prepare for a handover.
    Prepare {
        /// Whom to ask.
        to: EntryMember,
        /// Authority of the handover.
        authority: OwnerAuthority,
    },
    /// Hand the domain over to a standby, under the given authority.
    HandOver {
        /// To whom.
        to: EntryMember,
        /// Authority of the successor.
        authority: OwnerAuthority,
        /// Version of the row as last known, for the successor to go on from.
        version: u64,
        /// The row. Its candidates are those that an unconfirmed write of the
        /// predecessor may have made voters.
        row: Box<OwnerRow>,
        /// Milliseconds since the instant on which the predecessor's lease rests.
        lease_age_ms: u64,
    },
    /// This entry now owns the domain.
    Acquired {
        /// Under this authority.
        authority: OwnerAuthority,
        /// Whether the state came by a handover, so that nothing need be waited for.
        handed_over: bool,
    },
    /// This entry no longer owns the domain and must drop all control state.
    Lost,
}
