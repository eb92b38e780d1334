//! The ownership lease of one failure domain, from the view of one entry.

use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId};
use model::time::ClockMillis;

use crate::row::{EntryMember, OwnerRow};

/// Milliseconds that a renewal of the ownership row is good for.
pub const OWNER_TTL_MS: u64 = 2_000;
/// Milliseconds between renewals.
pub const OWNER_RENEW_MS: u64 = 500;
/// Milliseconds between reads of the row by standbys.
pub const STANDBY_READ_MS: u64 = 250;
/// Milliseconds that a voter's promise lasts.
pub const PROMISE_TTL_MS: u64 = 5_000;
/// Milliseconds without platform contact before a voter promises.
pub const PROMISE_CONTACT_MS: u64 = 500;
/// Longest time in milliseconds that a holder goes on by promises.
pub const CUT_OFF_BOUND_MS: u64 = 3_600_000;

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
    PeerSeen {
        /// Who answered.
        entry: EntryId,
        /// Where it was called.
        address: String,
    },
    /// The platform's list once contained this VM and no longer does.
    VmGone {
        /// Name of the VM.
        vm: String,
    },
    /// A standby accepted or refused a handover, or did not answer.
    HandoverDone {
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
    AskPromise {
        /// Returned with the answer.
        token: CallToken,
        /// Whom to ask.
        voter: EntryMember,
        /// Authority of the holder that asks.
        authority: OwnerAuthority,
        /// Milliseconds that the promise lasts.
        ttl_ms: u64,
    },
    /// Hand the domain over to a standby, under the given authority.
    HandOver {
        /// To whom.
        to: EntryMember,
        /// Authority of the successor.
        authority: OwnerAuthority,
        /// The row with its version as last known, for the successor to go on from.
        version: u64,
        /// The row.
        row: Box<OwnerRow>,
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

/// The ownership machine of one entry.
#[derive(Debug)]
pub struct Ownership {
    domain: DomainName,
    member: EntryMember,
}

impl Ownership {
    /// Creates the machine of an entry that has just started.
    #[must_use]
    pub fn new(domain: DomainName, member: EntryMember, now: ClockMillis) -> Self {
        let _ = now;
        Self { domain, member }
    }

    /// Takes one event and returns what to do.
    pub fn on(&mut self, now: ClockMillis, event: OwnerEvent) -> Vec<OwnerAction> {
        let _ = (&self.domain, &self.member, now, event);
        Vec::new()
    }

    /// Returns the authority under which this entry may act at this instant, if any.
    #[must_use]
    pub fn lease(&self, now: ClockMillis) -> Option<OwnerAuthority> {
        let _ = now;
        None
    }

    /// Returns the holder that this entry last knew, for forwarding.
    #[must_use]
    pub fn known_holder(&self) -> Option<&EntryMember> {
        None
    }

    /// Decides on a holder's request for a promise not to claim for `ttl_ms`.
    pub fn promise(
        &mut self,
        now: ClockMillis,
        holder: &EntryId,
        authority: OwnerAuthority,
        ttl_ms: u64,
    ) -> bool {
        let _ = (now, holder, authority, ttl_ms);
        false
    }

    /// Takes the domain over from a holder that hands it over.
    ///
    /// Returns no action if this entry is draining or knows a higher authority.
    pub fn take_over(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        version: u64,
        row: Box<OwnerRow>,
    ) -> Vec<OwnerAction> {
        let _ = (now, authority, version, row);
        Vec::new()
    }
}
