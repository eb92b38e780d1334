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
    pub(super) last_call_sent_at: Option<ClockMillis>,
}

impl RowView {
    /// Applies a row that the platform returned to a call sent at `sent_at`.
    ///
    /// Returns false, and ignores the row, if it is older than the known one.
    pub(super) fn apply_row(
        &mut self,
        now: ClockMillis,
        sent_at: ClockMillis,
        version: u64,
        row: Option<Box<OwnerRow>>,
    ) -> bool {
        if self.last_call_sent_at.is_some() && version < self.version {
            return false;
        }
        if self.last_call_sent_at.is_none()
            || lease_stamp(row.as_deref()) != lease_stamp(self.row.as_deref())
        {
            self.first_seen = now;
            self.not_before = self.last_call_sent_at;
        }
        self.version = version;
        self.row = row;
        self.last_call_sent_at = self.last_call_sent_at.max(Some(sent_at));
        true
    }

    /// Returns an instant at which the given row's renewal was not yet
    /// committed, if this entry knows one.
    pub(super) fn not_before(&self, row: &OwnerRow) -> Option<ClockMillis> {
        if lease_stamp(Some(row)) > lease_stamp(self.row.as_deref()) {
            self.last_call_sent_at
        } else {
            self.not_before
        }
    }

    /// Returns whether the row lists the entry as a voter.
    pub(super) fn has_voter(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| has_member(&row.voters, entry))
    }

    /// Returns whether the row lists the entry as a candidate.
    pub(super) fn has_candidate(&self, entry: &EntryId) -> bool {
        self.row.as_ref().is_some_and(|row| has_member(&row.candidates, entry))
    }
}

/// Returns the part of the row that claims, renewals and releases change and joins do not.
fn lease_stamp(row: Option<&OwnerRow>) -> Option<(OwnerAuthority, u64, bool)> {
    row.map(|row| (row.authority, row.renewal, row.holder.is_none()))
}

/// Returns whether a list of members contains an entry.
pub(super) fn has_member(members: &[EntryMember], entry: &EntryId) -> bool {
    members.iter().any(|member| member.entry == *entry)
}
