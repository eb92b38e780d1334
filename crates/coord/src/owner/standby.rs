//! Steps of a standby: reads, joins, claims, and the release after a drain.

use model::authority::OwnerAuthority;
use model::time::{self, ClockMillis};

use super::attempt::WriteKind;
use super::machine::Ownership;
use super::view;
use super::{MAX_PROMISE_TENURE_MS, OWNER_TTL_MS, OwnerAction, STANDBY_READ_INTERVAL_MS};
use crate::row::{EntryMember, MemberList, OwnerRow};

impl Ownership {
    pub(super) fn advance_standby(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        if self.pending_call.is_some() {
            return;
        }
        // Acts only on a row that was just read, so that an entry that cannot
        // reach the platform sends no claim whose result it would not learn.
        if std::mem::take(&mut self.has_unhandled_row) {
            self.next_call_at = now + STANDBY_READ_INTERVAL_MS;
            if self.releasing.is_some() {
                self.write_release(now, actions);
            } else if !self.draining {
                self.claim_or_join(now, actions);
            }
        } else if now >= self.next_call_at {
            self.request_read(now, actions);
        }
    }

    fn claim_or_join(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let claim_at = self.earliest_claim(now);
        if now >= claim_at {
            let row = self.build_claim_row();
            self.request_write(now, WriteKind::Claim, row, actions);
        } else if !self.is_listed() {
            let row = self.build_join_row();
            self.request_write(now, WriteKind::Join, row, actions);
        } else {
            self.next_call_at = self.next_call_at.min(claim_at);
        }
    }

    fn is_listed(&self) -> bool {
        let entry = &self.member.entry;
        self.view.has_voter(entry) || self.view.has_candidate(entry)
    }

    /// Returns the earliest instant at which this entry may claim the row that it last read.
    fn earliest_claim(&self, now: ClockMillis) -> ClockMillis {
        let Some(row) = self.view.row.as_deref() else { return ClockMillis(0) };
        let is_released = row.holder.is_none();
        // A promise to a holder that released the row afterwards no longer binds.
        let promise =
            self.given_promise.filter(|promise| !is_released || row.authority < promise.authority);
        let promise_end = promise.map_or(ClockMillis(0), |promise| promise.until);
        if is_released {
            return promise_end;
        }
        let wait = if self.view.has_voter(&self.member.entry) || self.is_vacant(now, row) {
            time::with_clock_margin(OWNER_TTL_MS) + self.claim_jitter_ms
        } else {
            // The holder does not need the promise of an entry that is not a
            // voter, so the longest lease by promises has to end first.
            time::with_clock_margin(MAX_PROMISE_TENURE_MS + OWNER_TTL_MS) + self.claim_jitter_ms
        };
        promise_end.max(self.view.first_seen + wait)
    }

    /// Returns whether the holder and all voters are proven dead and none of the
    /// processes at their addresses can hold the domain by a handover.
    ///
    /// The death of the holder alone is not enough: it may have handed over to a
    /// voter that cannot reach the platform and extends its lease by promises,
    /// or to the process that replaced a member.
    fn is_vacant(&self, now: ClockMillis, row: &OwnerRow) -> bool {
        !self.may_hold(now) && self.proofs.is_vacant(row, &self.member, self.tenure_end)
    }

    fn build_claim_row(&mut self) -> OwnerRow {
        let renewal = self.next_renewal();
        let row = self.view.row.as_deref();
        let members = row.into_iter().flat_map(|row| row.voters.iter().chain(&row.candidates));
        let mut voters = MemberList::new();
        for member in members.filter(|member| !self.proofs.is_dead(&member.entry)) {
            add_member(&mut voters, member);
        }
        add_member(&mut voters, &self.member);
        OwnerRow {
            authority: OwnerAuthority { term: self.highest_authority.term + 1, handover: 0 },
            holder: Some(self.member.clone()),
            renewal,
            voters,
            candidates: MemberList::new(),
        }
    }

    fn build_join_row(&self) -> OwnerRow {
        let mut row = self.view.row.as_deref().cloned().unwrap_or_default();
        // A candidate at this entry's address is an earlier process, which has ended.
        row.candidates.retain(|member| member.address != self.member.address);
        add_member(&mut row.candidates, &self.member);
        row
    }

    /// Writes the row without a holder if it does not show a later holder than this entry.
    fn write_release(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let own = &self.member.entry;
        let authority = self.releasing.unwrap_or_default();
        let is_own = |row: &&OwnerRow| {
            row.authority < authority
                || row.authority == authority
                    && row.holder.as_ref().is_some_and(|holder| holder.entry == *own)
        };
        let Some(mut row) = self.view.row.as_deref().filter(is_own).cloned() else {
            self.releasing = None;
            return;
        };
        row.voters.retain(|member| member.entry != *own);
        row.authority = authority;
        row.holder = None;
        row.renewal = self.next_renewal();
        self.request_write(now, WriteKind::Release, row, actions);
    }
}

/// Adds a member unless the list contains its entry.
pub(super) fn add_member(members: &mut MemberList, member: &EntryMember) {
    if !view::has_member(members, &member.entry) {
        members.push(member.clone());
    }
}
