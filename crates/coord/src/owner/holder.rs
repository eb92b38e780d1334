//! What a holder does: renew, collect promises, hand over.

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

/// Calls without a reply after which the platform counts as away.
pub(super) const PLATFORM_UNREACHABLE_FAILURES: u32 = 2;
/// Milliseconds of lease by the row that must be left before candidates become
/// voters. From the write on their promises are needed, so without this rest a
/// lease by promises would end with the write.
const PROMOTE_LEASE_MS: u64 = 1_000;

/// Milliseconds without platform contact after which a holder hands over to a
/// voter that refuses to promise. The holder's last answer may be older than
/// the voter's by one renewal period; if both lost the platform at once, the
/// voter has none to promise after `PROMISE_CONTACT_LOSS_MS` more.
const HANDOVER_CONTACT_MS: u64 = 1_100;
/// Milliseconds between requests while a promise is still missing.
const PROMISE_RETRY_MS: u64 = PROMISE_REQUEST_INTERVAL_MS / 2;

/// A request for a promise.
#[derive(Debug)]
struct PromiseRequest {
    token: CallToken,
    voter: EntryId,
    asked: ClockMillis,
}

/// A handover without an answer yet.
#[derive(Debug)]
pub(super) struct HandoverOffer {
    to: EntryMember,
    authority: OwnerAuthority,
    since: ClockMillis,
}

/// An entry and an instant that belongs to it.
type EntryInstants = SmallVec<[(EntryId, ClockMillis); 4]>;

/// What a holder keeps.
#[derive(Debug)]
pub(super) struct HolderState {
    pub(super) authority: OwnerAuthority,
    /// When the last write that committed was asked for.
    base: Option<ClockMillis>,
    /// An instant before the row that this entry was given was committed.
    given: Option<ClockMillis>,
    /// When this entry took the domain over or claimed it.
    since: ClockMillis,
    pub(super) acquired: bool,
    pub(super) failures: u32,
    pub(super) must_read: bool,
    asks: Vec<PromiseRequest>,
    next_ask: ClockMillis,
    /// When the promises were asked for that voters gave.
    promises: EntryInstants,
    /// When each voter last gave a sign of life.
    pub(super) heard: EntryInstants,
    /// Voters that cannot claim any more, so that their promise is not needed.
    exempted: SmallVec<[EntryId; 4]>,
    /// Voters and possible voters that the predecessor named.
    given_voters: SmallVec<[EntryId; 4]>,
    /// A request to prepare for a handover that has no answer yet.
    preparing: Option<HandoverOffer>,
    pub(super) offer: Option<HandoverOffer>,
    /// Handover number of the last offer; each offer has its own.
    last_offer: u32,
    refused: SmallVec<[EntryId; 4]>,
    drain_since: Option<ClockMillis>,
}

impl HolderState {
    /// Returns the state after a claim that was asked for at `asked`.
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
    /// Until this entry has renewed, its lease rests on that instant: no voter
    /// can have seen the row earlier, so none claims within `OWNER_TTL` of it.
    /// The predecessor's lease would not do, because the message may take any time.
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
            // A write without a reply would leave it open which members the row
            // names, and with it to whom this entry may hand over.
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

    /// Takes the voters of a given row; exempts a predecessor that left them, which it
    /// does when it drains.
    pub(super) fn take_given(&mut self, row: &OwnerRow) {
        let voters = row.voters.iter().chain(&row.candidates);
        self.given_voters = voters.map(|voter| voter.entry.clone()).collect();
        if let Some(predecessor) = &row.holder
            && !view::contains(&row.voters, &predecessor.entry)
        {
            self.exempted.push(predecessor.entry.clone());
        }
    }

    /// Returns the end of the lease, if there is one.
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

    /// Tells whether candidates may become voters by a write asked for now.
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
    /// Returns every entry that may be a voter and could still claim.
    ///
    /// Writes without a reply count as well: they may have made voters of
    /// candidates. So do the candidates that the predecessor of a handover named.
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

    /// Exempts voters that the predecessor had exempted but a row written before the
    /// handover still lists.
    pub(super) fn exempt_dropped_voters(&mut self) {
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

    /// Exempts members that are proven dead from promising.
    ///
    /// Only while the lease runs: it shows that they have not claimed before
    /// they died.
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

    /// Takes a new row; `shown` tells when the write of this entry that it shows was asked for.
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
        // A lower authority shows that the row does not know of the handover yet.
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
            // Without an answer the successor may act: this entry never does
            // again under its authority, and must not release the row either,
            // because an entry that promised nothing could claim it at once.
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

    /// Reports a lease that has begun or ended.
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
        // A successor asks at once: it cannot know whether the predecessor had contact.
        let away = state.failures >= PLATFORM_UNREACHABLE_FAILURES || state.base.is_none();
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

    /// Hands over to a voter, another one if it refuses, or releases the row.
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

    /// Returns the voter that gave the latest sign of life and has not refused.
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

    /// Tells whether every write without a reply names a member at this address.
    fn is_member_in_attempts(&self, member: &EntryMember) -> bool {
        self.attempts.iter().all(|attempt| {
            let mut named = attempt.row.holder.iter().chain(&attempt.row.voters);
            named.any(|known| known.address == member.address)
        })
    }

    /// Returns the process at the address of a dead member that was called last
    /// and has not refused.
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

    /// Hands over to a process that is prepared.
    ///
    /// Only while the lease runs: it shows that nobody has claimed before the
    /// other process had prepared.
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
        // Entries that only an unconfirmed write lists as voters go as
        // candidates: the successor needs their promise, but must not hand over
        // to them, because other entries may not know them as voters. So do
        // voters that an unconfirmed write removes.
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
