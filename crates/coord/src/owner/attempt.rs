//! Writes of the ownership row by this entry that may still take effect.

use model::time::ClockMillis;

use super::{CallToken, OWNER_TTL_MS};
use crate::row::OwnerRow;

/// Purpose of a write of the ownership row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    /// Adds this entry to the candidates.
    Join,
    /// Makes this entry the holder.
    Claim,
    /// Renews the lease of this entry.
    Renew,
    /// Leaves the row without a holder.
    Release,
}

/// A write that was sent.
#[derive(Clone, Debug)]
pub(super) struct WriteAttempt {
    pub(super) token: CallToken,
    pub(super) kind: WriteKind,
    /// When the write was sent.
    pub(super) sent_at: ClockMillis,
    /// Version that the row must have for the write to take effect.
    pub(super) version: u64,
    pub(super) row: Box<OwnerRow>,
}

/// The writes that may still take effect.
#[derive(Debug, Default)]
pub(super) struct AttemptList(Vec<WriteAttempt>);

impl AttemptList {
    /// Adds a write and drops older ones that need not be tracked any more.
    ///
    /// An older write is dropped if a lease that starts with it would have
    /// ended and if it has the purpose, version and voters of the new one.
    pub(super) fn push(&mut self, attempt: WriteAttempt) {
        self.0.retain(|old| {
            attempt.sent_at.since(old.sent_at) < OWNER_TTL_MS
                || old.kind != attempt.kind
                || old.version != attempt.version
                || old.row.voters != attempt.row.voters
        });
        self.0.push(attempt);
    }

    /// Returns the write with this token.
    pub(super) fn by_token(&self, token: CallToken) -> Option<&WriteAttempt> {
        self.0.iter().find(|attempt| attempt.token == token)
    }

    /// Returns the write that produced the row, if it was one of these.
    ///
    /// Only claims and renewals are found. Each of them has its own renewal number
    /// within a process, so the number together with holder and authority
    /// identifies the write.
    pub(super) fn find_by_row(&self, row: &OwnerRow) -> Option<&WriteAttempt> {
        self.0.iter().find(|attempt| {
            matches!(attempt.kind, WriteKind::Claim | WriteKind::Renew)
                && attempt.row.authority == row.authority
                && attempt.row.renewal == row.renewal
                && attempt.row.holder == row.holder
        })
    }

    /// Drops the writes that can no longer take effect because the row has passed their version.
    pub(super) fn drop_obsolete(&mut self, version: u64) {
        self.0.retain(|attempt| attempt.version >= version);
    }

    /// Returns whether a claim may still take effect.
    pub(super) fn has_claim(&self) -> bool {
        self.0.iter().any(|attempt| attempt.kind == WriteKind::Claim)
    }

    /// Returns the writes.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WriteAttempt> {
        self.0.iter()
    }
}
