//! Steps of a holder: renewals, promise requests and handovers.

use model::authority::OwnerAuthority;
use model::name::EntryId;
use model::time::ClockMillis;
use smallvec::SmallVec;

use super::attempt::WriteKind;
use super::machine::{OwnerRole, Ownership};
use super::standby;
use super::view;
use super::{
    CallToken, MAX_PROMISE_TENURE_MS, OWNER_RENEW_INTERVAL_MS, OWNER_TTL_MS, OwnerAction,
    PREPARE_TIMEOUT_MS, PROMISE_REQUEST_INTERVAL_MS, PROMISE_TTL_MS, SUCCESSOR_SEARCH_TIMEOUT_MS,
    VOTER_TIMEOUT_MS,
};
use crate::row::{EntryMember, MemberList, OwnerRow};

/// Failed calls since the last committed write after which the platform counts
/// as unreachable. A call that timed out counts as this many.
pub(super) const PLATFORM_UNREACHABLE_FAILURES: u32 = 2;
/// Milliseconds of lease from the last renewal that must be left when a write
/// makes candidates voters. From that write on their promises are required as
/// well, and a lease that rests on promises alone would end at once.
const MIN_PROMOTION_LEASE_MS: u64 = 1_000;

/// Milliseconds without an answer of the platform after which a holder hands
/// over to a voter that refuses to promise. If both lost the platform at the
/// same time, the holder's last answer may be older than the voter's by one
/// renewal interval, and the voter promises only `PROMISE_CONTACT_LOSS_MS` after
/// its own last answer.
const HANDOVER_CONTACT_LOSS_MS: u64 = 1_100;
/// Milliseconds between rounds of promise requests while a promise is missing or old.
const MISSING_PROMISE_RETRY_MS: u64 = PROMISE_REQUEST_INTERVAL_MS / 2;

/// A request for a promise.
#[derive(Debug)]
struct PromiseRequest {
    token: CallToken,
    voter: EntryId,
    sent_at: ClockMillis,
}

/// A handover, or a request to prepare for one, that has no answer yet.
#[derive(Debug)]
pub(super) struct HandoverOffer {
    to: EntryMember,
    authority: OwnerAuthority,
    sent_at: ClockMillis,
}

/// One instant for each entry.
type EntryInstants = SmallVec<[(EntryId, ClockMillis); 4]>;

/// State of a holder.
#[derive(Debug)]
pub(super) struct HolderState {
    pub(super) authority: OwnerAuthority,
    /// When the last committed claim or renewal of this tenure was sent.
    renewal_sent_at: Option<ClockMillis>,
    /// Start of the lease after a handover; `None` after a claim.
    handover_lease_start: Option<ClockMillis>,
    /// When this entry sent its claim or accepted the handover.
    began_at: ClockMillis,
    /// Whether `Acquired` was reported.
    pub(super) acquired: bool,
    /// Failed calls since the last committed write; a call that timed out counts as
    /// `PLATFORM_UNREACHABLE_FAILURES`.
    pub(super) failed_calls: u32,
    /// Whether the row has to be read before the next renewal.
    pub(super) must_read: bool,
    /// Promise requests that may still be answered.
    promise_requests: Vec<PromiseRequest>,
    /// When the next round of promise requests is due.
    next_promise_request: ClockMillis,
    /// For each voter that promised, when the request was sent.
    promises: EntryInstants,
    /// When each voter last answered.
    pub(super) last_answers: EntryInstants,
    /// Voters that cannot claim any more, so that their promise is not required.
    exempted: SmallVec<[EntryId; 4]>,
    /// Voters and candidates of the row that the predecessor handed over.
    handover_voters: SmallVec<[EntryId; 4]>,
    /// Request to prepare for a handover that has no answer yet.
    preparing: Option<HandoverOffer>,
    /// Handover that has no answer yet.
    pub(super) offer: Option<HandoverOffer>,
    /// Handover number of the last handover or preparation; no two share one.
    last_offer_number: u32,
    /// Entries that refused a handover or did not prepare for one.
    refused_by: SmallVec<[EntryId; 4]>,
    /// When the drain began, if this entry drains.
    drain_began_at: Option<ClockMillis>,
}

impl HolderState {
    /// Returns the state after a claim that was sent at `sent_at`.
    pub(super) fn after_claim(
        now: ClockMillis,
        authority: OwnerAuthority,
        sent_at: ClockMillis,
    ) -> Self {
        Self {
            renewal_sent_at: Some(sent_at),
            handover_lease_start: None,
            must_read: false,
            ..Self::after_handover(now, authority, sent_at)
        }
    }

    /// Returns the state after a handover of a row that was not yet committed at `not_before`.
    ///
    /// Until this entry has renewed the row, its lease starts at that instant:
    /// no voter can have seen the row earlier, so none claims within
    /// `OWNER_TTL_MS` of it. What is left of the predecessor's lease cannot be
    /// used instead, because the message may have been delayed by any time.
    pub(super) fn after_handover(
        now: ClockMillis,
        authority: OwnerAuthority,
        not_before: ClockMillis,
    ) -> Self {
        Self {
            authority,
            renewal_sent_at: None,
            handover_lease_start: Some(not_before),
            began_at: now,
            acquired: false,
            failed_calls: 0,
            // If the first write got no reply, this entry would not know which
            // members the row names, and so to whom it may hand over.
            must_read: true,
            promise_requests: Vec::new(),
            next_promise_request: now,
            promises: SmallVec::new(),
            last_answers: SmallVec::new(),
            exempted: SmallVec::new(),
            handover_voters: SmallVec::new(),
            preparing: None,
            offer: None,
            last_offer_number: authority.handover,
            refused_by: SmallVec::new(),
            drain_began_at: None,
        }
    }

    /// Records the voters of the row that the predecessor handed over.
    ///
    /// Exempts the predecessor if it has left the voters, as it does when it drains.
    pub(super) fn apply_handover_row(&mut self, row: &OwnerRow) {
        let voters = row.voters.iter().chain(&row.candidates);
        self.handover_voters = voters.map(|voter| voter.entry.clone()).collect();
        if let Some(predecessor) = &row.holder
            && !view::has_member(&row.voters, &predecessor.entry)
        {
            self.exempted.push(predecessor.entry.clone());
        }
    }

    /// Returns the end of the lease, by the last renewal or by the promises of
    /// the `required` voters, whichever is later; `None` without a lease.
    pub(super) fn lease_end(&self, required: &[&EntryMember]) -> Option<ClockMillis> {
        let start = self.renewal_sent_at.or(self.handover_lease_start)?;
        let bound = start + MAX_PROMISE_TENURE_MS;
        let promise_end = required.iter().try_fold(bound, |end, voter| {
            let sent_at = find_instant(&self.promises, &voter.entry)?;
            Some(end.min(sent_at + PROMISE_TTL_MS))
        });
        Some(promise_end.map_or(start + OWNER_TTL_MS, |end| end.max(start + OWNER_TTL_MS)))
    }

    fn has_promises(&self, required: &[&EntryMember], sent_after: ClockMillis) -> bool {
        let has_promise = |voter: &&EntryMember| {
            find_instant(&self.promises, &voter.entry).is_some_and(|sent_at| sent_at >= sent_after)
        };
        required.iter().all(has_promise)
    }

    /// Returns whether a write that is sent now may make candidates voters.
    fn can_promote_candidates(&self, now: ClockMillis) -> bool {
        self.renewal_sent_at.is_some_and(|renewal_sent_at| {
            now + MIN_PROMOTION_LEASE_MS < renewal_sent_at + OWNER_TTL_MS
        })
    }

    fn has_timed_out(&self, now: ClockMillis, voter: &EntryId) -> bool {
        find_instant(&self.last_answers, voter)
            .is_some_and(|answered_at| now.since(answered_at) > VOTER_TIMEOUT_MS)
    }

    fn take_promise_request(&mut self, token: CallToken, voter: &EntryId) -> Option<ClockMillis> {
        let found = self
            .promise_requests
            .iter()
            .position(|request| request.token == token && request.voter == *voter)?;
        Some(self.promise_requests.swap_remove(found).sent_at)
    }
}

fn find_instant(instants: &EntryInstants, entry: &EntryId) -> Option<ClockMillis> {
    instants.iter().find(|(known, _)| known == entry).map(|(_, instant)| *instant)
}

fn update_instant(instants: &mut EntryInstants, entry: &EntryId, instant: ClockMillis) {
    match instants.iter_mut().find(|(known, _)| known == entry) {
        Some((_, latest)) => *latest = instant.max(*latest),
        None => instants.push((entry.clone(), instant)),
    }
}

impl Ownership {
    /// Returns every other entry that may be a voter and could still claim.
    ///
    /// Includes the voters of writes without a reply, which may have made
    /// candidates voters. Until the first renewal after a handover, includes
    /// the candidates that the predecessor named.
    pub(super) fn required_voters(&self, state: &HolderState) -> Vec<&EntryMember> {
        let written = self.attempts.iter().flat_map(|attempt| &attempt.row.voters);
        let handed_over_row = self.view.row.as_deref().filter(|_| state.renewal_sent_at.is_none());
        let candidates = handed_over_row
            .into_iter()
            .flat_map(|row| &row.candidates)
            .filter(|member| state.handover_voters.contains(&member.entry));
        let mut voters: Vec<&EntryMember> = Vec::new();
        for voter in self.other_voters().chain(written).chain(candidates) {
            let is_required =
                voter.entry != self.member.entry && !state.exempted.contains(&voter.entry);
            if is_required && !voters.iter().any(|known| known.entry == voter.entry) {
                voters.push(voter);
            }
        }
        voters
    }

    /// Exempts voters that the predecessor had exempted.
    ///
    /// A row that was written before the handover may still list them.
    pub(super) fn exempt_dropped_voters(&mut self) {
        let OwnerRole::Holder(state) = &self.role else { return };
        if state.handover_lease_start.is_none() || state.renewal_sent_at.is_some() {
            return;
        }
        let exempted: Vec<EntryId> = self
            .other_voters()
            .filter(|voter| !state.handover_voters.contains(&voter.entry))
            .filter(|voter| !state.exempted.contains(&voter.entry))
            .map(|voter| voter.entry.clone())
            .collect();
        if let OwnerRole::Holder(state) = &mut self.role {
            state.exempted.extend(exempted);
        }
    }

    /// Exempts voters that are proven dead.
    ///
    /// Does so only while the lease runs, which proves that they did not claim
    /// before they died.
    pub(super) fn exempt_dead_voters(&mut self, now: ClockMillis) {
        if self.leased_authority(now).is_none() {
            return;
        }
        let OwnerRole::Holder(state) = &self.role else { return };
        let dead: Vec<EntryId> = self
            .required_voters(state)
            .into_iter()
            .filter(|voter| self.proofs.is_dead(&voter.entry))
            .map(|voter| voter.entry.clone())
            .collect();
        if let OwnerRole::Holder(state) = &mut self.role {
            state.exempted.extend(dead);
        }
    }

    pub(super) fn record_answer_time(&mut self, now: ClockMillis, entry: &EntryId) {
        if let OwnerRole::Holder(state) = &mut self.role {
            update_instant(&mut state.last_answers, entry, now);
        }
    }

    /// Applies a row that the platform returned; `write_sent_at` is when the write of
    /// this tenure that produced the row was sent, if it was one.
    pub(super) fn apply_row_as_holder(
        &mut self,
        now: ClockMillis,
        write_sent_at: Option<ClockMillis>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.must_read = false;
        let own = &self.member.entry;
        let row = self.view.row.as_deref();
        // A lower authority means that the row was written before the handover.
        let is_own = row.is_some_and(|row| {
            let is_holder = row.holder.as_ref().is_some_and(|holder| holder.entry == *own);
            row.authority < state.authority || row.authority == state.authority && is_holder
        });
        if !is_own {
            self.become_standby(now, actions);
            return;
        }
        state.renewal_sent_at = state.renewal_sent_at.max(write_sent_at);
        self.exempt_dropped_voters();
        self.next_call_at = write_sent_at.map_or(now, |sent_at| sent_at + OWNER_RENEW_INTERVAL_MS);
        let voters: Vec<EntryId> = self.other_voters().map(|voter| voter.entry.clone()).collect();
        if let OwnerRole::Holder(state) = &mut self.role {
            state.last_answers.retain(|(entry, _)| voters.contains(entry));
            for voter in &voters {
                if find_instant(&state.last_answers, voter).is_none() {
                    update_instant(&mut state.last_answers, voter, now);
                }
            }
        }
    }

    pub(super) fn handle_promise_reply(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        voter: &EntryId,
        promised: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.record_answer_time(now, voter);
        let is_platform_lost = now.since(self.platform_answered_at) >= HANDOVER_CONTACT_LOSS_MS;
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let Some(sent_at) = state.take_promise_request(token, voter) else { return };
        if promised {
            update_instant(&mut state.promises, voter, sent_at);
        } else if is_platform_lost && state.acquired && state.offer.is_none() {
            let successor = self.other_voters().find(|known| known.entry == *voter).cloned();
            if let Some(successor) = successor.filter(|_| self.leased_authority(now).is_some()) {
                self.offer_handover(now, successor, actions);
            }
        }
    }

    pub(super) fn handle_handover_done(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        accepted: Option<bool>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let Some(offer) = state.offer.take_if(|offer| offer.authority == authority) else {
            return;
        };
        if accepted == Some(false) {
            state.refused_by.push(offer.to.entry);
        } else {
            self.successor = Some((authority, offer.to));
            // Without an answer, the successor may act as owner. This entry must
            // not act again under its authority, and must not release the row
            // either: an entry that promised nothing could claim it at once.
            self.become_standby(now, actions);
        }
    }

    pub(super) fn advance_holder(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        if let Some(offer) = &state.offer {
            if now.since(offer.sent_at) >= SUCCESSOR_SEARCH_TIMEOUT_MS {
                self.become_standby(now, actions);
            }
            return;
        }
        self.report_lease_change(now, actions);
        if self.draining {
            self.continue_drain(now, actions);
            return;
        }
        self.request_promises(now, actions);
        let OwnerRole::Holder(state) = &self.role else { return };
        if self.pending_call.is_some() || now < self.next_call_at {
            return;
        }
        if state.must_read {
            self.request_read(now, actions);
        } else if let Some(row) = self.build_renewal_row(now) {
            self.next_call_at = now + OWNER_RENEW_INTERVAL_MS;
            self.request_write(now, WriteKind::Renew, row, actions);
        }
    }

    /// Reports that the lease has begun or ended; ends a tenure whose lease did
    /// not begin within `OWNER_TTL_MS`.
    fn report_lease_change(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let has_lease = self.leased_authority(now).is_some();
        let OwnerRole::Holder(state) = &mut self.role else { return };
        if has_lease && !state.acquired {
            state.acquired = true;
            let handed_over = state.handover_lease_start.is_some();
            actions.push(OwnerAction::Acquired { authority: state.authority, handed_over });
        } else if !has_lease && (state.acquired || now.since(state.began_at) >= OWNER_TTL_MS) {
            self.become_standby(now, actions);
        }
    }

    fn request_promises(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &self.role else { return };
        // A successor requests promises at once, because it does not know
        // whether the predecessor could reach the platform.
        let is_unreachable =
            state.failed_calls >= PLATFORM_UNREACHABLE_FAILURES || state.renewal_sent_at.is_none();
        if !is_unreachable || now < state.next_promise_request {
            return;
        }
        let authority = state.authority;
        let required = self.required_voters(state);
        let has_all = state.has_promises(&required, now - PROMISE_TTL_MS / 2);
        let delay = if has_all { PROMISE_REQUEST_INTERVAL_MS } else { MISSING_PROMISE_RETRY_MS };
        let voters: Vec<EntryMember> = required.into_iter().cloned().collect();
        for voter in voters {
            let token = self.next_call_token();
            let request = PromiseRequest { token, voter: voter.entry.clone(), sent_at: now };
            if let OwnerRole::Holder(state) = &mut self.role {
                state.promise_requests.push(request);
            }
            let ttl_ms = PROMISE_TTL_MS;
            actions.push(OwnerAction::RequestPromise { token, voter, authority, ttl_ms });
        }
        if let OwnerRole::Holder(state) = &mut self.role {
            state.next_promise_request = now + delay;
            state.promise_requests.retain(|request| now.since(request.sent_at) < PROMISE_TTL_MS);
        }
    }

    fn build_renewal_row(&mut self, now: ClockMillis) -> Option<OwnerRow> {
        let renewal = self.next_renewal();
        let OwnerRole::Holder(state) = &self.role else { return None };
        let row = self.view.row.as_deref()?;
        let is_removed = |entry: &EntryId| {
            let is_excluded = self.proofs.is_dead(entry) || state.exempted.contains(entry);
            *entry != self.member.entry && (is_excluded || state.has_timed_out(now, entry))
        };
        let remaining = row.voters.iter().filter(|voter| !is_removed(&voter.entry));
        let mut voters: MemberList = remaining.cloned().collect();
        standby::add_member(&mut voters, &self.member);
        let alive = row.candidates.iter().filter(|member| !self.proofs.is_dead(&member.entry));
        let mut candidates: MemberList = alive.cloned().collect();
        if state.can_promote_candidates(now) {
            for member in candidates.drain(..) {
                standby::add_member(&mut voters, &member);
            }
        }
        let holder = Some(self.member.clone());
        Some(OwnerRow { authority: state.authority, holder, renewal, voters, candidates })
    }

    /// Takes the next step of a drain.
    ///
    /// Hands over to a voter, to the next one if it refuses, and if none is left
    /// to a process that replaced a dead member. Waits for such a process while the
    /// platform is unreachable. Releases the row if all refuse.
    fn continue_drain(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let authority = state.authority;
        if !state.acquired {
            self.become_standby(now, actions);
            return;
        }
        let began_at = *state.drain_began_at.get_or_insert(now);
        if let Some(preparation) = state.preparing.take() {
            if now.since(preparation.sent_at) < PREPARE_TIMEOUT_MS {
                state.preparing = Some(preparation);
                return;
            }
            state.refused_by.push(preparation.to.entry);
        }
        let in_time = now.since(began_at) < SUCCESSOR_SEARCH_TIMEOUT_MS;
        if let Some(successor) = self.choose_voter_successor().filter(|_| in_time) {
            self.offer_handover(now, successor, actions);
        } else if let Some(successor) = self.choose_replacement_successor().filter(|_| in_time) {
            self.request_preparation(now, successor, actions);
        } else if in_time && self.may_find_successor() {
            // Serves on until a process at the address of another member has answered.
        } else {
            self.become_standby(now, actions);
            self.releasing = Some(authority);
            self.has_unhandled_row = true;
        }
    }

    /// Returns the voter that answered last, of those that have not refused.
    fn choose_voter_successor(&self) -> Option<EntryMember> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        let is_eligible = |entry: &EntryId| {
            !state.refused_by.contains(entry)
                && !state.exempted.contains(entry)
                && !self.proofs.is_dead(entry)
        };
        self.other_voters()
            .filter(|voter| is_eligible(&voter.entry) && self.is_address_in_all_attempts(voter))
            .max_by_key(|voter| find_instant(&state.last_answers, &voter.entry))
            .cloned()
    }

    /// Returns whether every write without a reply names a holder or voter at this address.
    fn is_address_in_all_attempts(&self, member: &EntryMember) -> bool {
        self.attempts.iter().all(|attempt| {
            let mut named = attempt.row.holder.iter().chain(&attempt.row.voters);
            named.any(|known| known.address == member.address)
        })
    }

    /// Returns the process that this entry called last, of those that answer at the
    /// address of a dead member and have not refused.
    fn choose_replacement_successor(&self) -> Option<EntryMember> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        let row = self.view.row.as_deref()?;
        self.proofs.replacements(row).into_iter().find(|successor| {
            !state.refused_by.contains(&successor.entry)
                && self.is_address_in_all_attempts(successor)
        })
    }

    /// Returns whether a process may still answer at the address of another member.
    ///
    /// Holds while the platform is unreachable only: otherwise any entry can claim the
    /// released domain, and there is no need to wait.
    fn may_find_successor(&self) -> bool {
        let OwnerRole::Holder(state) = &self.role else { return false };
        let Some(row) = self.view.row.as_deref() else { return false };
        let is_unreachable =
            state.failed_calls >= PLATFORM_UNREACHABLE_FAILURES || state.renewal_sent_at.is_none();
        is_unreachable && self.proofs.may_be_replaced(row, &self.member, &state.refused_by)
    }

    fn request_preparation(
        &mut self,
        now: ClockMillis,
        to: EntryMember,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.last_offer_number += 1;
        let authority =
            OwnerAuthority { term: state.authority.term, handover: state.last_offer_number };
        state.preparing = Some(HandoverOffer { to: to.clone(), authority, sent_at: now });
        actions.push(OwnerAction::Prepare { to, authority });
    }

    /// Hands over to a process that has prepared for it.
    ///
    /// Does so only while the lease runs, which proves that nobody had claimed
    /// when the process prepared.
    pub(super) fn handle_prepare_done(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        prepared: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        let has_lease = self.leased_authority(now).is_some();
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let Some(preparation) =
            state.preparing.take_if(|preparation| preparation.authority == authority)
        else {
            return;
        };
        if prepared && has_lease {
            self.send_handover(now, preparation.to, authority, actions);
        } else {
            state.refused_by.push(preparation.to.entry);
        }
    }

    fn offer_handover(
        &mut self,
        now: ClockMillis,
        to: EntryMember,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.last_offer_number += 1;
        let authority =
            OwnerAuthority { term: state.authority.term, handover: state.last_offer_number };
        self.send_handover(now, to, authority, actions);
    }

    fn send_handover(
        &mut self,
        now: ClockMillis,
        to: EntryMember,
        authority: OwnerAuthority,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &self.role else { return };
        let Some(mut row) = self.view.row.clone() else { return };
        // Entries that only an unconfirmed write lists as voters, or that an
        // unconfirmed write removes from the voters, are sent as candidates: the
        // successor needs their promise, but must not hand over to them, because
        // other entries may not know them as voters.
        let Some(start) = state.renewal_sent_at.or(state.handover_lease_start) else { return };
        let lease_age_ms = now.since(start);
        row.voters.retain(|voter| self.is_address_in_all_attempts(voter));
        let required = self.required_voters(state);
        row.candidates = required
            .iter()
            .filter(|voter| !view::has_member(&row.voters, &voter.entry))
            .map(|voter| (*voter).clone())
            .collect();
        let is_removed = |entry: &EntryId| {
            let is_own = *entry == self.member.entry;
            state.exempted.contains(entry) || is_own && self.draining
        };
        row.voters.retain(|voter| !is_removed(&voter.entry));
        row.holder = Some(self.member.clone());
        let version = self.view.version;
        if let OwnerRole::Holder(state) = &mut self.role {
            state.offer = Some(HandoverOffer { to: to.clone(), authority, sent_at: now });
        }
        actions.push(OwnerAction::HandOver { to, authority, version, row, lease_age_ms });
    }
}
