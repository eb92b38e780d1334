//! The ownership row as this entry last saw it.

use model::authority::OwnerAuthority;
use model::name::EntryId;
use model::time::ClockMillis;

use crate::row::{EntryMember, OwnerRow};

/// The last known row with the instants that bound its age.
#[derive(Debug, Default)]
pub(super) struct RowView {
    /// Version of the row; 0 if there is none.
    pub(super) version: u64,
    /// The row, if there is one.
    pub(super) row: Option<Box<OwnerRow>>,
    /// When this entry first saw the present authority and renewal.
    ///
    /// Candidates change the version but not these, so their writes cannot
    /// postpone a claim.
    pub(super) first_seen: ClockMillis,
    /// An instant at which the present authority and renewal were not yet
    /// committed, so that nobody can have seen them earlier.
    pub(super) not_before: Option<ClockMillis>,
    /// When the call that last showed the row was made.
    pub(super) asked: Option<ClockMillis>,
}

impl RowView {
    /// Takes a row that the platform returned to a call made at `asked`.
    ///
    /// Returns false for a row that is older than the known one.
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

    /// Tells whether the row lists the entry as voter.
    pub(super) fn has_voter(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| contains(&row.voters, entry))
    }

    /// Tells whether the row lists the entry as candidate.
    pub(super) fn has_candidate(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| contains(&row.candidates, entry))
    }
}

/// Returns what only a holder or a claim changes in the row.
fn stamp(row: Option<&OwnerRow>) -> Option<(OwnerAuthority, u64, bool)> {
    row.map(|row| (row.authority, row.renewal, row.holder.is_none()))
}

/// Tells whether a list has an entry.
pub(super) fn contains(members: &[EntryMember], entry: &EntryId) -> bool {
    members.iter().any(|member| member.entry == *entry)
}
