//! The ownership machine of one entry: events in, actions out.

use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId};
use model::time::{self, ClockMillis};

use super::attempt::{AttemptList, WriteAttempt, WriteKind};
use super::holder::HolderState;
use super::proof::{DeathProofs, PeerAnswer};
use super::view::RowView;
use super::{
    CALL_TIMEOUT_MS, CallToken, OWNER_RENEW_INTERVAL_MS, OWNER_TTL_MS, OwnerAction, OwnerEvent,
    PREPARED_TTL_MS, PROMISE_CONTACT_LOSS_MS, STANDBY_READ_INTERVAL_MS, WriteResult, holder,
};
use crate::row::{EntryMember, OwnerRow};

/// Milliseconds without events after which silence of voters is not held
/// against them, because this entry itself was paused.
const PAUSE_MS: u64 = 1_000;
/// Milliseconds between reads of a holder that gets no reply.
const RETRY_MS: u64 = 100;

/// What the entry is for its domain.
#[derive(Debug)]
pub(super) enum OwnerRole {
    /// Reads the row and waits.
    Standby,
    /// Holds the domain, or was given it and waits for a lease.
    Holder(Box<HolderState>),
}

/// The one call to the platform that has no reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingCall {
    pub(super) token: CallToken,
    pub(super) asked: ClockMillis,
    pub(super) is_write: bool,
}

/// A promise not to claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct GivenPromise {
    pub(super) authority: OwnerAuthority,
    pub(super) until: ClockMillis,
}

/// A handover that this process is prepared for.
#[derive(Clone, Copy, Debug)]
struct PreparedHandover {
    authority: OwnerAuthority,
    at: ClockMillis,
}

/// The ownership machine of one entry.
#[derive(Debug)]
pub struct Ownership {
    domain: DomainName,
    pub(super) member: EntryMember,
    pub(super) jitter: u64,
    pub(super) role: OwnerRole,
    pub(super) view: RowView,
    pub(super) proofs: DeathProofs,
    pub(super) attempts: AttemptList,
    pub(super) pending: Option<PendingCall>,
    pub(super) promised: Option<GivenPromise>,
    /// The handover that this entry last prepared for.
    prepared: Option<PreparedHandover>,
    /// When this entry last ceased to hold or to be prepared.
    pub(super) tenure_end: ClockMillis,
    /// Authority under which this entry has to release the row.
    pub(super) releasing: Option<OwnerAuthority>,
    /// Holder by a handover that the row may not show yet.
    pub(super) successor: Option<(OwnerAuthority, EntryMember)>,
    /// Highest authority seen in the row, in a promise or held.
    pub(super) highest: OwnerAuthority,
    /// When the platform last answered.
    pub(super) contact: ClockMillis,
    pub(super) next_call: ClockMillis,
    next_token: CallToken,
    renewal: u64,
    pub(super) draining: bool,
    /// Whether the row was read since it was last acted on.
    pub(super) observed: bool,
    last_event: ClockMillis,
}

impl Ownership {
    /// Creates the machine of an entry that has just started.
    #[must_use]
    pub fn new(domain: DomainName, member: EntryMember, now: ClockMillis) -> Self {
        let jitter = jitter_of(&member.entry);
        Self {
            domain,
            member,
            jitter,
            role: OwnerRole::Standby,
            view: RowView::default(),
            proofs: DeathProofs::default(),
            attempts: AttemptList::default(),
            pending: None,
            promised: None,
            prepared: None,
            tenure_end: now,
            releasing: None,
            successor: None,
            highest: OwnerAuthority::default(),
            contact: now,
            next_call: now,
            next_token: 0,
            renewal: 0,
            draining: false,
            observed: false,
            last_event: now,
        }
    }

    /// Takes one event and returns what to do.
    pub fn handle_event(&mut self, now: ClockMillis, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.note_pause(now);
        match event {
            OwnerEvent::Tick => {}
            OwnerEvent::ReadDone { token, row } => self.read_done(now, token, row, &mut actions),
            OwnerEvent::ReadFailed { token } => self.call_failed(now, token, 1),
            OwnerEvent::WriteDone { token, result } => {
                self.write_done(now, token, result, &mut actions);
            }
            OwnerEvent::PromiseReply { token, voter, given } => {
                self.promise_reply(now, token, &voter, given, &mut actions);
            }
            OwnerEvent::PeerAnswered { entry, address, asked_at, authority, may_hold } => {
                let (entry_ref, asked) = (&entry, asked_at);
                let answer =
                    PeerAnswer { entry: entry_ref, address: &address, asked, authority, may_hold };
                self.proofs.peer_seen(now, &answer);
                self.exempt_dead(now);
                self.note_alive(now, &entry);
            }
            OwnerEvent::VmRemoved { vm } => {
                self.proofs.vm_gone(now, &vm);
                self.exempt_dead(now);
            }
            OwnerEvent::PrepareDone { authority, prepared } => {
                self.prepare_done(now, authority, prepared, &mut actions);
            }
            OwnerEvent::HandoverDone { authority, accepted } => {
                self.handover_done(now, authority, accepted, &mut actions);
            }
            OwnerEvent::Drain => self.draining = true,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the authority under which this entry may act at this instant, if any.
    #[must_use]
    pub fn leased_authority(&self, now: ClockMillis) -> Option<OwnerAuthority> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        if state.offer.is_some() {
            return None;
        }
        let end = state.lease_end(&self.required_voters(state))?;
        (now < end).then_some(state.authority)
    }

    /// Returns the holder that this entry last knew, for forwarding.
    #[must_use]
    pub fn known_holder(&self) -> Option<&EntryMember> {
        match &self.role {
            OwnerRole::Holder(_) => Some(&self.member),
            OwnerRole::Standby => {
                let row = self.view.row.as_deref();
                let shown = row.map_or(OwnerAuthority::default(), |row| row.authority);
                match &self.successor {
                    Some((authority, member)) if *authority > shown => Some(member),
                    _ => row?.holder.as_ref(),
                }
            }
        }
    }

    /// Returns the other entries that the row names, as last known.
    pub fn known_members(&self) -> impl Iterator<Item = &EntryMember> {
        let row = self.view.row.as_deref();
        row.into_iter().flat_map(|row| row.voters.iter().chain(&row.candidates).chain(&row.holder))
    }

    /// Returns the domain.
    #[must_use]
    pub const fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Tells whether a drain is over, so that the process may end.
    #[must_use]
    pub const fn is_drained(&self) -> bool {
        self.draining && matches!(self.role, OwnerRole::Standby) && self.releasing.is_none()
    }

    /// Decides on a holder's request for a promise not to claim for `ttl_ms`.
    ///
    /// Also tells this entry who holds the domain, so that it can forward to a
    /// successor that cannot write the row.
    ///
    /// An entry with platform contact refuses, so that the holder hands over
    /// to it. A draining entry promises in any case: it never claims again and
    /// could not take a handover.
    pub fn handle_promise_request(
        &mut self,
        now: ClockMillis,
        holder: &EntryId,
        authority: OwnerAuthority,
        ttl_ms: u64,
    ) -> bool {
        self.note_successor(holder, authority);
        let connected = now.since(self.contact) < PROMISE_CONTACT_LOSS_MS && !self.draining;
        let is_holder = matches!(self.role, OwnerRole::Holder(_));
        // A claim without a reply may still take effect after the promise.
        if is_holder || connected || authority < self.highest || self.attempts.has_claim() {
            return false;
        }
        let row = self.view.row.as_deref().filter(|row| row.authority == authority);
        if row.is_some_and(|row| row.holder.as_ref().is_none_or(|own| own.entry != *holder)) {
            return false;
        }
        self.highest = authority;
        let end = now + time::with_clock_margin(ttl_ms);
        let until = self.promised.map_or(end, |promise| promise.until.max(end));
        self.promised = Some(GivenPromise { authority, until });
        true
    }

    /// Prepares for a handover; returns whether this entry is prepared.
    ///
    /// From now on until the handover is over or has not come in time, this
    /// entry tells its peers that it may hold the domain, so that none claims.
    ///
    /// The predecessor chose `to` because a member of the row had its address and VM;
    /// only at those do entries that could claim look for a successor.
    pub fn prepare_handover(
        &mut self,
        now: ClockMillis,
        to: &EntryMember,
        authority: OwnerAuthority,
    ) -> bool {
        let fits = !self.draining
            && *to == self.member
            && matches!(self.role, OwnerRole::Standby)
            && authority > self.highest
            && !self.attempts.has_claim();
        if fits {
            self.highest = authority;
            self.prepared = Some(PreparedHandover { authority, at: now });
            self.tenure_end = now + PREPARED_TTL_MS;
        }
        fits
    }

    /// Returns the highest authority that this entry knows.
    #[must_use]
    pub const fn highest_authority(&self) -> OwnerAuthority {
        self.highest
    }

    /// Tells whether this entry holds the domain or is prepared for a handover.
    #[must_use]
    pub fn may_hold(&self, now: ClockMillis) -> bool {
        matches!(self.role, OwnerRole::Holder(_)) || self.prepared_at(now).is_some()
    }

    fn prepared_at(&self, now: ClockMillis) -> Option<PreparedHandover> {
        self.prepared.filter(|prepared| now < prepared.at + PREPARED_TTL_MS)
    }

    /// Returns the instant on which the lease rests after a handover of a row.
    ///
    /// A voter has read the row itself. A process that is not a voter has
    /// prepared before the predecessor sent `lease_age_ms`, so that the instant so
    /// far before its preparation is not later than the predecessor's.
    fn lease_basis(
        &self,
        now: ClockMillis,
        authority: OwnerAuthority,
        row: &OwnerRow,
        lease_age_ms: u64,
    ) -> Option<ClockMillis> {
        if super::view::contains(&row.voters, &self.member.entry) {
            return self.view.not_before(row).filter(|_| authority > self.highest);
        }
        let prepared = self.prepared_at(now)?;
        let fits = prepared.authority == authority && authority == self.highest;
        fits.then(|| ClockMillis(prepared.at.0.saturating_sub(lease_age_ms)))
    }

    /// Takes the domain over from a holder that hands it over.
    ///
    /// Returns no action, which is a refusal, if this entry is draining, is
    /// holder, has a claim without a reply, knows a higher authority, or is
    /// neither a listed voter that has read the row nor prepared for this
    /// handover.
    pub fn accept_handover(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        version: u64,
        row: Box<OwnerRow>,
        lease_age_ms: u64,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.note_pause(now);
        if self.may_take_over()
            && let Some(not_before) = self.lease_basis(now, authority, &row, lease_age_ms)
        {
            let mut state = HolderState::given(now, authority, not_before);
            state.take_given(&row);
            self.highest = authority;
            if version >= self.view.version {
                self.proofs.follow(now, &self.member, &row);
                self.view.version = version;
                self.view.row = Some(row);
            }
            self.pending = None;
            self.begin_holding(now, state);
            self.exempt_dropped_voters();
            self.advance(now, &mut actions);
        }
        actions
    }

    fn note_successor(&mut self, holder: &EntryId, authority: OwnerAuthority) {
        let row = self.view.row.as_deref();
        let mut members = row.into_iter().flat_map(|row| row.voters.iter().chain(&row.candidates));
        let known = self.successor.as_ref().map(|(known, _)| *known);
        if authority >= self.highest
            && known <= Some(authority)
            && let Some(member) = members.find(|member| member.entry == *holder)
        {
            self.successor = Some((authority, member.clone()));
        }
    }

    fn may_take_over(&self) -> bool {
        !self.draining && matches!(self.role, OwnerRole::Standby) && !self.attempts.has_claim()
    }

    pub(super) fn begin_holding(&mut self, now: ClockMillis, mut state: HolderState) {
        state.heard = self.other_voters().map(|voter| (voter.entry.clone(), now)).collect();
        self.prepared = None;
        self.role = OwnerRole::Holder(Box::new(state));
        self.next_call = now;
        self.observed = false;
    }

    /// Gives up holding; `Lost` is emitted only after `Acquired`.
    pub(super) fn stand_down(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        if let OwnerRole::Holder(state) = &self.role
            && state.acquired
        {
            actions.push(OwnerAction::Lost);
        }
        self.role = OwnerRole::Standby;
        self.tenure_end = now;
        self.view.first_seen = now;
        self.next_call = now;
    }

    fn note_pause(&mut self, now: ClockMillis) {
        if now.since(self.last_event) > PAUSE_MS
            && let OwnerRole::Holder(state) = &mut self.role
        {
            state.heard.iter_mut().for_each(|(_, heard)| *heard = now);
        }
        self.last_event = self.last_event.max(now);
    }

    fn read_done(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        row: Option<(u64, Box<OwnerRow>)>,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.contact = now;
        let Some(call) = self.pending.filter(|call| call.token == token && !call.is_write) else {
            return;
        };
        self.pending = None;
        let (version, row) = row.map_or((0, None), |(version, row)| (version, Some(row)));
        self.observe(now, call.asked, version, row, actions);
    }

    fn write_done(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        result: WriteResult,
        actions: &mut Vec<OwnerAction>,
    ) {
        if result == WriteResult::Unknown {
            self.call_failed(now, token, 1);
            return;
        }
        self.contact = now;
        self.pending = self.pending.filter(|call| call.token != token);
        let Some(attempt) = self.attempts.by_token(token) else { return };
        let asked = attempt.asked;
        match result {
            WriteResult::Committed { version } => {
                let row = Some(attempt.row.clone());
                self.observe(now, asked, version, row, actions);
                if let OwnerRole::Holder(state) = &mut self.role {
                    state.failures = 0;
                }
            }
            WriteResult::Conflict { version, row } => {
                self.observe(now, asked, version, row, actions);
            }
            WriteResult::Unknown => {}
        }
    }

    /// Ends the pending call without a result.
    fn call_failed(&mut self, now: ClockMillis, token: CallToken, weight: u32) {
        let Some(call) = self.pending.filter(|call| call.token == token) else { return };
        self.pending = None;
        match &mut self.role {
            OwnerRole::Holder(state) => {
                state.failures = state.failures.saturating_add(weight);
                state.must_read = true;
                self.next_call = if call.is_write { now } else { now + RETRY_MS };
            }
            OwnerRole::Standby if call.is_write => self.next_call = now,
            OwnerRole::Standby => self.next_call = now.max(call.asked + STANDBY_READ_INTERVAL_MS),
        }
    }

    fn observe(
        &mut self,
        now: ClockMillis,
        asked: ClockMillis,
        version: u64,
        row: Option<Box<OwnerRow>>,
        actions: &mut Vec<OwnerAction>,
    ) {
        if !self.view.observe(now, asked, version, row) {
            return;
        }
        self.observed = true;
        let mut shown = None;
        if let Some(row) = self.view.row.as_deref() {
            self.highest = self.highest.max(row.authority);
            self.renewal = self.renewal.max(row.renewal);
            self.proofs.follow(now, &self.member, row);
            shown = self.attempts.find_by_row(row);
        }
        let shown = shown.map(|attempt| (attempt.kind, attempt.asked, attempt.row.authority));
        self.attempts.drop_obsolete(version);
        match (&self.role, shown) {
            (OwnerRole::Holder(state), _) => {
                // A write of an earlier tenure says nothing about this one.
                let held = state.authority;
                let renewed = shown.filter(|(_, _, authority)| *authority == held);
                self.observe_as_holder(now, renewed.map(|(_, asked, _)| asked), actions);
            }
            (OwnerRole::Standby, Some((WriteKind::Claim, asked, authority)))
                if now < asked + OWNER_TTL_MS =>
            {
                self.begin_holding(now, HolderState::claimed(now, authority, asked));
                self.next_call = asked + OWNER_RENEW_INTERVAL_MS;
            }
            (OwnerRole::Standby, _) => {}
        }
    }

    /// Does what is due at this instant.
    fn advance(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        if let Some(call) = self.pending
            && now.since(call.asked) >= CALL_TIMEOUT_MS
        {
            self.call_failed(now, call.token, holder::PLATFORM_UNREACHABLE_FAILURES);
        }
        if matches!(self.role, OwnerRole::Holder(_)) {
            self.advance_holder(now, actions);
        }
        if matches!(self.role, OwnerRole::Standby) {
            self.advance_standby(now, actions);
        }
    }

    pub(super) fn other_voters(&self) -> impl Iterator<Item = &EntryMember> {
        let voters = self.view.row.as_deref().map_or(&[][..], |row| &row.voters);
        voters.iter().filter(|voter| voter.entry != self.member.entry)
    }

    pub(super) fn token(&mut self) -> CallToken {
        self.next_token += 1;
        self.next_token
    }

    /// Returns a renewal number that no other write of this process has.
    pub(super) fn next_renewal(&mut self) -> u64 {
        self.renewal += 1;
        self.renewal
    }

    pub(super) fn ask_read(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let token = self.token();
        self.pending = Some(PendingCall { token, asked: now, is_write: false });
        actions.push(OwnerAction::Read { token });
    }

    pub(super) fn ask_write(
        &mut self,
        now: ClockMillis,
        kind: WriteKind,
        row: OwnerRow,
        actions: &mut Vec<OwnerAction>,
    ) {
        let (token, version, row) = (self.token(), self.view.version, Box::new(row));
        self.pending = Some(PendingCall { token, asked: now, is_write: true });
        self.attempts.push(WriteAttempt { token, kind, asked: now, version, row: row.clone() });
        actions.push(OwnerAction::Write { token, version, row });
    }
}

/// Returns a number from 0 to 63 that differs between entries, to spread their claims.
fn jitter_of(entry: &EntryId) -> u64 {
    let hash = entry.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash >> 58
}
