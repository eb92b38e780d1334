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
pub(super) const AWAY_FAILURES: u32 = 2;
/// Milliseconds of lease from the last renewal that must be left when a write
/// makes candidates voters. From that write on their promises are required, so
/// that a lease that rests on promises alone would end at once.
const PROMOTE_LEASE_MS: u64 = 1_000;

/// Milliseconds without an answer of the platform after which a holder hands
/// over to a voter that refuses to promise. If both lost the platform at the
/// same time, the holder's last answer may be older than the voter's by one
/// renewal interval, and the voter promises only `PROMISE_CONTACT_MS` after
/// its own last answer.
const HANDOVER_CONTACT_MS: u64 = 1_100;
/// Milliseconds between rounds of promise requests while a promise is missing or old.
const PROMISE_RETRY_MS: u64 = PROMISE_ASK_MS / 2;

/// A request for a promise.
#[derive(Debug)]
struct PromiseRequest {
    token: CallToken,
    voter: EntryId,
    asked: ClockMillis,
}

/// A handover, or a request to prepare for one, that has no answer yet.
#[derive(Debug)]
pub(super) struct HandoverOffer {
    to: EntryMember,
    authority: OwnerAuthority,
    since: ClockMillis,
}

/// One instant for each entry.
type EntryInstants = SmallVec<[(EntryId, ClockMillis); 4]>;

/// State of a holder.
#[derive(Debug)]
pub(super) struct HolderState {
    pub(super) authority: OwnerAuthority,
    /// When the last committed claim or renewal of this tenure was sent.
    base: Option<ClockMillis>,
    /// Start of the lease after a handover; `None` after a claim.
    given: Option<ClockMillis>,
    /// When this entry sent its claim or accepted the handover.
    since: ClockMillis,
    /// Whether `Acquired` was reported.
    pub(super) acquired: bool,
    /// Calls without a reply since the last write that committed.
    pub(super) failures: u32,
    /// Whether the row has to be read before the next renewal.
    pub(super) must_read: bool,
    /// Promise requests that may still be answered.
    asks: Vec<PromiseAsk>,
    /// When the next round of promise requests is due.
    next_ask: ClockMillis,
    /// For each voter that promised, when the request was sent.
    promises: EntryInstants,
    /// When each voter last answered.
    pub(super) heard: EntryInstants,
    /// Voters that cannot claim any more, so that their promise is not required.
    exempted: SmallVec<[EntryId; 4]>,
    /// Voters and candidates of the row that the predecessor handed over.
    given_voters: SmallVec<[EntryId; 4]>,
    /// Request to prepare for a handover that has no answer yet.
    preparing: Option<HandoverOffer>,
    /// Handover that has no answer yet.
    pub(super) offer: Option<HandoverOffer>,
    /// Handover number of the last handover or preparation; no two share one.
    last_offer: u32,
    /// Entries that refused a handover or did not prepare for one.
    refused: SmallVec<[EntryId; 4]>,
    /// When the drain began, if this entry drains.
    drain_since: Option<ClockMillis>,
}

impl HolderState {
    /// Returns the state after a claim that was sent at `asked`.
    pub(super) fn claimed(now: ClockMillis, authority: OwnerAuthority, asked: ClockMillis) -> Self {
        Self {
            base: Some(asked),
            given: None,
            must_read: false,
            ..Self::given(now, authority, asked)
        }
    }

    /// Returns the state after a handover of a row that was not yet committed at `not_before`.
    ///
    /// Until this entry has renewed the row, its lease starts at that instant:
    /// no voter can have seen the row earlier, so none claims within
    /// `OWNER_TTL_MS` of it. What is left of the predecessor's lease cannot be
    /// used instead, because the message may have been delayed by any time.
    pub(super) fn given(
        now: ClockMillis,
        authority: OwnerAuthority,
        not_before: ClockMillis,
    ) -> Self {
        Self {
            authority,
            base: None,
            given: Some(not_before),
            since: now,
            acquired: false,
            failures: 0,
            // If the first write got no reply, this entry would not know which
            // members the row names, and so to whom it may hand over.
            must_read: true,
            asks: Vec::new(),
            next_ask: now,
            promises: SmallVec::new(),
            heard: SmallVec::new(),
            exempted: SmallVec::new(),
            given_voters: SmallVec::new(),
            preparing: None,
            offer: None,
            last_offer: authority.handover,
            refused: SmallVec::new(),
            drain_since: None,
        }
    }

    /// Records the voters of the row that the predecessor handed over.
    ///
    /// Exempts the predecessor if it has left the voters, as it does when it drains.
    pub(super) fn take_given(&mut self, row: &OwnerRow) {
        let voters = row.voters.iter().chain(&row.candidates);
        self.given_voters = voters.map(|voter| voter.entry.clone()).collect();
        if let Some(predecessor) = &row.holder
            && !view::contains(&row.voters, &predecessor.entry)
        {
            self.exempted.push(predecessor.entry.clone());
        }
    }

    /// Returns the end of the lease, by the last renewal or by the promises of
    /// the `required` voters, whichever is later; `None` without a lease.
    pub(super) fn lease_end(&self, required: &[&EntryMember]) -> Option<ClockMillis> {
        let start = self.base.or(self.given)?;
        let bound = start + MAX_PROMISE_TENURE_MS;
        let promise_end = required.iter().try_fold(bound, |end, voter| {
            let asked = instant_of(&self.promises, &voter.entry)?;
            Some(end.min(asked + PROMISE_TTL_MS))
        });
        Some(promise_end.map_or(start + OWNER_TTL_MS, |end| end.max(start + OWNER_TTL_MS)))
    }

    fn has_promises(&self, required: &[&EntryMember], asked_after: ClockMillis) -> bool {
        let held = |voter: &&EntryMember| {
            instant_of(&self.promises, &voter.entry).is_some_and(|asked| asked >= asked_after)
        };
        required.iter().all(held)
    }

    /// Returns whether a write that is sent now may make candidates voters.
    fn may_promote(&self, now: ClockMillis) -> bool {
        self.base.is_some_and(|base| now + PROMOTE_LEASE_MS < base + OWNER_TTL_MS)
    }

    fn is_silent(&self, now: ClockMillis, voter: &EntryId) -> bool {
        instant_of(&self.heard, voter).is_some_and(|heard| now.since(heard) > VOTER_TIMEOUT_MS)
    }

    fn take_ask(&mut self, token: CallToken, voter: &EntryId) -> Option<ClockMillis> {
        let found = self.asks.iter().position(|ask| ask.token == token && ask.voter == *voter)?;
        Some(self.asks.swap_remove(found).asked)
    }
}

fn instant_of(instants: &EntryInstants, entry: &EntryId) -> Option<ClockMillis> {
    instants.iter().find(|(known, _)| known == entry).map(|(_, instant)| *instant)
}

fn set_instant(instants: &mut EntryInstants, entry: &EntryId, instant: ClockMillis) {
    match instants.iter_mut().find(|(known, _)| known == entry) {
        Some((_, present)) => *present = instant.max(*present),
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
        let given = self.view.row.as_deref().filter(|_| state.base.is_none());
        let candidates = given
            .into_iter()
            .flat_map(|row| &row.candidates)
            .filter(|member| state.given_voters.contains(&member.entry));
        let mut voters: Vec<&EntryMember> = Vec::new();
        for voter in self.other_voters().chain(written).chain(candidates) {
            let counts = voter.entry != self.member.entry && !state.exempted.contains(&voter.entry);
            if counts && !voters.iter().any(|known| known.entry == voter.entry) {
                voters.push(voter);
            }
        }
        voters
    }

    /// Exempts voters that the predecessor had exempted.
    ///
    /// A row that was written before the handover may still list them.
    pub(super) fn excuse_dropped(&mut self) {
        let OwnerRole::Holder(state) = &self.role else { return };
        if state.given.is_none() || state.base.is_some() {
            return;
        }
        let dropped: Vec<EntryId> = self
            .other_voters()
            .filter(|voter| !state.given_voters.contains(&voter.entry))
            .filter(|voter| !state.exempted.contains(&voter.entry))
            .map(|voter| voter.entry.clone())
            .collect();
        if let OwnerRole::Holder(state) = &mut self.role {
            state.exempted.extend(dropped);
        }
    }

    /// Exempts voters that are proven dead.
    ///
    /// Does so only while the lease runs, which proves that they did not claim
    /// before they died.
    pub(super) fn exempt_dead(&mut self, now: ClockMillis) {
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

    pub(super) fn note_alive(&mut self, now: ClockMillis, entry: &EntryId) {
        if let OwnerRole::Holder(state) = &mut self.role {
            set_instant(&mut state.heard, entry, now);
        }
    }

    /// Applies a row that the platform returned; `shown` is when the write of
    /// this tenure that produced the row was sent, if it was one.
    pub(super) fn observe_as_holder(
        &mut self,
        now: ClockMillis,
        shown: Option<ClockMillis>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.must_read = false;
        let own = &self.member.entry;
        let row = self.view.row.as_deref();
        // A lower authority means that the row was written before the handover.
        let is_own = row.is_some_and(|row| {
            let holds = row.holder.as_ref().is_some_and(|holder| holder.entry == *own);
            row.authority < state.authority || row.authority == state.authority && holds
        });
        if !is_own {
            self.stand_down(now, actions);
            return;
        }
        state.base = state.base.max(shown);
        self.exempt_dropped_voters();
        self.next_call = shown.map_or(now, |asked| asked + OWNER_RENEW_INTERVAL_MS);
        let voters: Vec<EntryId> = self.other_voters().map(|voter| voter.entry.clone()).collect();
        if let OwnerRole::Holder(state) = &mut self.role {
            state.heard.retain(|(entry, _)| voters.contains(entry));
            for voter in &voters {
                if instant_of(&state.heard, voter).is_none() {
                    set_instant(&mut state.heard, voter, now);
                }
            }
        }
    }

    pub(super) fn promise_reply(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        voter: &EntryId,
        given: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.note_alive(now, voter);
        let is_cut_off = now.since(self.contact) >= HANDOVER_CONTACT_MS;
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let Some(asked) = state.take_ask(token, voter) else { return };
        if given {
            set_instant(&mut state.promises, voter, asked);
        } else if is_cut_off && state.acquired && state.offer.is_none() {
            let target = self.other_voters().find(|known| known.entry == *voter).cloned();
            if let Some(target) = target.filter(|_| self.leased_authority(now).is_some()) {
                self.offer_to(now, target, actions);
            }
        }
    }

    pub(super) fn handover_done(
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
            state.refused.push(offer.to.entry);
        } else {
            self.successor = Some((authority, offer.to));
            // Without an answer, the successor may act as owner. This entry must
            // not act again under its authority, and must not release the row
            // either: an entry that promised nothing could claim it at once.
            self.stand_down(now, actions);
        }
    }

    pub(super) fn advance_holder(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        if let Some(offer) = &state.offer {
            if now.since(offer.since) >= SUCCESSOR_SEARCH_TIMEOUT_MS {
                self.stand_down(now, actions);
            }
            return;
        }
        self.settle_lease(now, actions);
        if self.draining {
            self.drain(now, actions);
            return;
        }
        self.ask_promises(now, actions);
        let OwnerRole::Holder(state) = &self.role else { return };
        if self.pending.is_some() || now < self.next_call {
            return;
        }
        if state.must_read {
            self.ask_read(now, actions);
        } else if let Some(row) = self.renewal_row(now) {
            self.next_call = now + OWNER_RENEW_INTERVAL_MS;
            self.ask_write(now, WriteKind::Renew, row, actions);
        }
    }

    /// Reports that the lease has begun or ended; ends a tenure whose lease did
    /// not begin within `OWNER_TTL_MS`.
    fn settle_lease(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let runs = self.leased_authority(now).is_some();
        let OwnerRole::Holder(state) = &mut self.role else { return };
        if runs && !state.acquired {
            state.acquired = true;
            let handed_over = state.given.is_some();
            actions.push(OwnerAction::Acquired { authority: state.authority, handed_over });
        } else if !runs && (state.acquired || now.since(state.since) >= OWNER_TTL_MS) {
            self.stand_down(now, actions);
        }
    }

    fn ask_promises(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &self.role else { return };
        // A successor requests promises at once, because it does not know
        // whether the predecessor could reach the platform.
        let away = state.failures >= AWAY_FAILURES || state.base.is_none();
        if !away || now < state.next_ask {
            return;
        }
        let authority = state.authority;
        let required = self.required_voters(state);
        let has_all = state.has_promises(&required, now - PROMISE_TTL_MS / 2);
        let pause = if has_all { PROMISE_REQUEST_INTERVAL_MS } else { PROMISE_RETRY_MS };
        let voters: Vec<EntryMember> = required.into_iter().cloned().collect();
        for voter in voters {
            let token = self.token();
            let ask = PromiseRequest { token, voter: voter.entry.clone(), asked: now };
            if let OwnerRole::Holder(state) = &mut self.role {
                state.asks.push(ask);
            }
            let ttl_ms = PROMISE_TTL_MS;
            actions.push(OwnerAction::RequestPromise { token, voter, authority, ttl_ms });
        }
        if let OwnerRole::Holder(state) = &mut self.role {
            state.next_ask = now + pause;
            state.asks.retain(|ask| now.since(ask.asked) < PROMISE_TTL_MS);
        }
    }

    fn renewal_row(&mut self, now: ClockMillis) -> Option<OwnerRow> {
        let renewal = self.next_renewal();
        let OwnerRole::Holder(state) = &self.role else { return None };
        let row = self.view.row.as_deref()?;
        let leaves = |entry: &EntryId| {
            let gone = self.proofs.is_dead(entry) || state.exempted.contains(entry);
            *entry != self.member.entry && (gone || state.is_silent(now, entry))
        };
        let kept = row.voters.iter().filter(|voter| !leaves(&voter.entry));
        let mut voters: MemberList = kept.cloned().collect();
        standby::add_member(&mut voters, &self.member);
        let alive = row.candidates.iter().filter(|member| !self.proofs.is_dead(&member.entry));
        let mut candidates: MemberList = alive.cloned().collect();
        if state.may_promote(now) {
            for member in candidates.drain(..) {
                standby::add_member(&mut voters, &member);
            }
        }
        let holder = Some(self.member.clone());
        Some(OwnerRow { authority: state.authority, holder, renewal, voters, candidates })
    }

    /// Takes the next step of a drain.
    ///
    /// Hands over to a voter, or to the next one if it refuses; without voters,
    /// to a process that replaced a dead member; at last, releases the row.
    fn drain(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let authority = state.authority;
        if !state.acquired {
            self.stand_down(now, actions);
            return;
        }
        let since = *state.drain_since.get_or_insert(now);
        if let Some(asked) = state.preparing.take() {
            if now.since(asked.since) < PREPARE_TIMEOUT_MS {
                state.preparing = Some(asked);
                return;
            }
            state.refused.push(asked.to.entry);
        }
        let in_time = now.since(since) < SUCCESSOR_SEARCH_TIMEOUT_MS;
        if let Some(target) = self.drain_target().filter(|_| in_time) {
            self.offer_to(now, target, actions);
        } else if let Some(target) = self.replacement_target().filter(|_| in_time) {
            self.ask_to_prepare(now, target, actions);
        } else {
            self.stand_down(now, actions);
            self.releasing = Some(authority);
            self.observed = true;
        }
    }

    /// Returns the voter that answered last, of those that have not refused.
    fn drain_target(&self) -> Option<EntryMember> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        let fits = |entry: &EntryId| {
            !state.refused.contains(entry)
                && !state.exempted.contains(entry)
                && !self.proofs.is_dead(entry)
        };
        self.other_voters()
            .filter(|voter| fits(&voter.entry) && self.is_member_in_attempts(voter))
            .max_by_key(|voter| instant_of(&state.heard, &voter.entry))
            .cloned()
    }

    /// Returns whether every write without a reply names a holder or voter at this address.
    fn is_member_in_attempts(&self, member: &EntryMember) -> bool {
        self.attempts.iter().all(|attempt| {
            let mut named = attempt.row.holder.iter().chain(&attempt.row.voters);
            named.any(|known| known.address == member.address)
        })
    }

    /// Returns the process at the address of a dead member that was called last,
    /// of those that have not refused.
    fn replacement_target(&self) -> Option<EntryMember> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        let row = self.view.row.as_deref()?;
        self.proofs.replacements(row).into_iter().find(|target| {
            !state.refused.contains(&target.entry) && self.is_member_in_attempts(target)
        })
    }

    fn ask_to_prepare(
        &mut self,
        now: ClockMillis,
        to: EntryMember,
        actions: &mut Vec<OwnerAction>,
    ) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.last_offer += 1;
        let authority = OwnerAuthority { term: state.authority.term, handover: state.last_offer };
        state.preparing = Some(HandoverOffer { to: to.clone(), authority, since: now });
        actions.push(OwnerAction::Prepare { to, authority });
    }

    /// Hands over to a process that has prepared for it.
    ///
    /// Does so only while the lease runs, which proves that nobody had claimed
    /// when the process prepared.
    pub(super) fn prepare_done(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        prepared: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        let runs = self.leased_authority(now).is_some();
        let OwnerRole::Holder(state) = &mut self.role else { return };
        let Some(asked) = state.preparing.take_if(|asked| asked.authority == authority) else {
            return;
        };
        if prepared && runs {
            self.send_offer(now, asked.to, authority, actions);
        } else {
            state.refused.push(asked.to.entry);
        }
    }

    fn offer_to(&mut self, now: ClockMillis, to: EntryMember, actions: &mut Vec<OwnerAction>) {
        let OwnerRole::Holder(state) = &mut self.role else { return };
        state.last_offer += 1;
        let authority = OwnerAuthority { term: state.authority.term, handover: state.last_offer };
        self.send_offer(now, to, authority, actions);
    }

    fn send_offer(
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
        let Some(start) = state.base.or(state.given) else { return };
        let lease_age_ms = now.since(start);
        row.voters.retain(|voter| self.is_member_in_attempts(voter));
        let required = self.required_voters(state);
        row.candidates = required
            .iter()
            .filter(|voter| !view::contains(&row.voters, &voter.entry))
            .map(|voter| (*voter).clone())
            .collect();
        let leaves = |entry: &EntryId| {
            let is_own = *entry == self.member.entry;
            state.exempted.contains(entry) || is_own && self.draining
        };
        row.voters.retain(|voter| !leaves(&voter.entry));
        row.holder = Some(self.member.clone());
        let version = self.view.version;
        if let OwnerRole::Holder(state) = &mut self.role {
            state.offer = Some(HandoverOffer { to: to.clone(), authority, since: now });
        }
        actions.push(OwnerAction::HandOver { to, authority, version, row, lease_age_ms });
    }
}
