//! Last known state of the ownership row.

use model::authority::OwnerAuthority;
use model::name::EntryId;
use model::time::ClockMillis;

use crate::row::{EntryMember, OwnerRow};

/// The last known row and the instants that bound the age of its lease.
#[derive(Debug, Default)]
pub(super) struct RowView {
    /// Version of the row; 0 if there is none.
    pub(super) version: u64,
    /// The row, if there is one.
    pub(super) row: Option<Box<OwnerRow>>,
    /// When this entry first saw the authority and renewal of the row.
    ///
    /// Candidates that join change the version but neither of these, so that
    /// their writes cannot postpone a claim.
    pub(super) first_seen: ClockMillis,
    /// An instant at which the authority and renewal of the row were not yet
    /// committed, so that no entry can have seen them earlier.
    pub(super) not_before: Option<ClockMillis>,
    /// When the last call that returned the row was sent.
    pub(super) asked: Option<ClockMillis>,
}

impl RowView {
    /// Applies a row that the platform returned to a call sent at `asked`.
    ///
    /// Returns false, and ignores the row, if it is older than the known one.
    pub(super) fn observe(
        &mut self,
        now: ClockMillis,
        asked: ClockMillis,
        version: u64,
        row: Option<Box<OwnerRow>>,
    ) -> bool {
        if self.asked.is_some() && version < self.version {
            return false;
        }
        if self.asked.is_none() || stamp(row.as_deref()) != stamp(self.row.as_deref()) {
            self.first_seen = now;
            self.not_before = self.asked;
        }
        self.version = version;
        self.row = row;
        self.asked = self.asked.max(Some(asked));
        true
    }

    /// Returns an instant at which the given row's renewal was not yet
    /// committed, if this entry knows one.
    pub(super) fn not_before(&self, row: &OwnerRow) -> Option<ClockMillis> {
        if stamp(Some(row)) > stamp(self.row.as_deref()) { self.asked } else { self.not_before }
    }

    /// Returns whether the row lists the entry as a voter.
    pub(super) fn has_voter(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| contains(&row.voters, entry))
    }

    /// Returns whether the row lists the entry as a candidate.
    pub(super) fn has_candidate(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| contains(&row.candidates, entry))
    }
}

/// Returns the part of the row that claims, renewals and releases change and joins do not.
fn stamp(row: Option<&OwnerRow>) -> Option<(OwnerAuthority, u64, bool)> {
    row.map(|row| (row.authority, row.renewal, row.holder.is_none()))
}

/// Returns whether a list of members contains an entry.
pub(super) fn contains(members: &[EntryMember], entry: &EntryId) -> bool {
    members.iter().any(|member| member.entry == *entry)
}
