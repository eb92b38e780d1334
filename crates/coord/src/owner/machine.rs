//! State machine of the ownership of one domain, as run by one entry.

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

/// Milliseconds without events after which this entry counts as having been
/// paused. It could not receive answers meanwhile, so the timeouts of voters
/// start anew.
const PAUSE_DETECTION_MS: u64 = 1_000;
/// Milliseconds before a holder repeats a read that failed.
const HOLDER_READ_RETRY_MS: u64 = 100;

/// Role of the entry in its domain.
#[derive(Debug)]
pub(super) enum OwnerRole {
    /// Reads the row and claims it when it may.
    Standby,
    /// Holds the domain, or has taken it over and waits for its lease to begin.
    Holder(Box<HolderState>),
}

/// The call to the platform that has no reply yet; there is at most one.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingCall {
    pub(super) token: CallToken,
    pub(super) sent_at: ClockMillis,
    pub(super) is_write: bool,
}

/// A promise of this entry not to claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct GivenPromise {
    pub(super) authority: OwnerAuthority,
    pub(super) until: ClockMillis,
}

/// A handover that this entry is prepared for.
#[derive(Clone, Copy, Debug)]
struct PreparedHandover {
    authority: OwnerAuthority,
    prepared_at: ClockMillis,
}

/// State machine of the ownership of one domain, as run by one entry.
#[derive(Debug)]
pub struct Ownership {
    domain: DomainName,
    /// This entry.
    pub(super) member: EntryMember,
    /// Milliseconds added to the wait before a claim.
    pub(super) claim_jitter_ms: u64,
    pub(super) role: OwnerRole,
    pub(super) view: RowView,
    pub(super) proofs: DeathProofs,
    pub(super) attempts: AttemptList,
    pub(super) pending_call: Option<PendingCall>,
    pub(super) given_promise: Option<GivenPromise>,
    /// The handover that this entry last prepared for.
    prepared: Option<PreparedHandover>,
    /// When this entry last stopped being holder, or when its last preparation
    /// for a handover ends.
    pub(super) tenure_end: ClockMillis,
    /// Authority under which this entry has to release the row, if it has to.
    pub(super) releasing: Option<OwnerAuthority>,
    /// The last known holder by a handover, which the row may not show yet.
    pub(super) successor: Option<(OwnerAuthority, EntryMember)>,
    /// Highest authority that this entry has seen in the row, promised to, prepared for or held.
    pub(super) highest_authority: OwnerAuthority,
    /// When the platform last answered.
    pub(super) platform_answered_at: ClockMillis,
    /// When the next call to the platform is due.
    pub(super) next_call_at: ClockMillis,
    /// Token of the last call.
    last_token: CallToken,
    /// Highest renewal number that this entry has seen or used.
    last_renewal: u64,
    pub(super) draining: bool,
    /// Whether the platform returned a row that this entry has not acted on yet.
    pub(super) has_unhandled_row: bool,
    last_event_at: ClockMillis,
}

impl Ownership {
    /// Creates the state machine of an entry that has just started.
    #[must_use]
    pub fn new(domain: DomainName, member: EntryMember, now: ClockMillis) -> Self {
        let claim_jitter_ms = compute_claim_jitter(&member.entry);
        Self {
            domain,
            member,
            claim_jitter_ms,
            role: OwnerRole::Standby,
            view: RowView::default(),
            proofs: DeathProofs::default(),
            attempts: AttemptList::default(),
            pending_call: None,
            given_promise: None,
            prepared: None,
            tenure_end: now,
            releasing: None,
            successor: None,
            highest_authority: OwnerAuthority::default(),
            platform_answered_at: now,
            next_call_at: now,
            last_token: 0,
            last_renewal: 0,
            draining: false,
            has_unhandled_row: false,
            last_event_at: now,
        }
    }

    /// Applies an event and returns the actions to carry out.
    pub fn handle_event(&mut self, now: ClockMillis, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.reset_timeouts_after_pause(now);
        match event {
            OwnerEvent::Tick => {}
            OwnerEvent::ReadDone { token, row } => {
                self.handle_read_done(now, token, row, &mut actions);
            }
            OwnerEvent::ReadFailed { token } => self.handle_call_failure(now, token, 1),
            OwnerEvent::WriteDone { token, result } => {
                self.handle_write_done(now, token, result, &mut actions);
            }
            OwnerEvent::PromiseReply { token, voter, promised } => {
                self.handle_promise_reply(now, token, &voter, promised, &mut actions);
            }
            OwnerEvent::PeerAnswered { entry, address, sent_at, authority, may_hold } => {
                let answer =
                    PeerAnswer { entry: &entry, address: &address, sent_at, authority, may_hold };
                self.proofs.record_peer_answer(now, &answer);
                self.exempt_dead_voters(now);
                self.record_answer_time(now, &entry);
            }
            OwnerEvent::VmRemoved { vm } => {
                self.proofs.record_vm_removal(now, &vm);
                self.exempt_dead_voters(now);
            }
            OwnerEvent::PrepareDone { authority, prepared } => {
                self.handle_prepare_done(now, authority, prepared, &mut actions);
            }
            OwnerEvent::HandoverDone { authority, accepted } => {
                self.handle_handover_done(now, authority, accepted, &mut actions);
            }
            OwnerEvent::Drain => self.draining = true,
        }
        self.take_due_steps(now, &mut actions);
        actions
    }

    /// Returns the authority under which this entry may act as owner at this instant, if any.
    #[must_use]
    pub fn leased_authority(&self, now: ClockMillis) -> Option<OwnerAuthority> {
        let OwnerRole::Holder(state) = &self.role else { return None };
        if state.offer.is_some() {
            return None;
        }
        let end = state.lease_end(&self.required_voters(state))?;
        (now < end).then_some(state.authority)
    }

    /// Returns the last known holder, to which requests are forwarded.
    #[must_use]
    pub fn known_holder(&self) -> Option<&EntryMember> {
        match &self.role {
            OwnerRole::Holder(_) => Some(&self.member),
            OwnerRole::Standby => {
                let row = self.view.row.as_deref();
                let row_authority = row.map_or(OwnerAuthority::default(), |row| row.authority);
                match &self.successor {
                    Some((authority, member)) if *authority > row_authority => Some(member),
                    _ => row?.holder.as_ref(),
                }
            }
        }
    }

    /// Returns the members that the last known row names, some of them twice.
    pub fn known_members(&self) -> impl Iterator<Item = &EntryMember> {
        let row = self.view.row.as_deref();
        row.into_iter().flat_map(|row| row.voters.iter().chain(&row.candidates).chain(&row.holder))
    }

    /// Returns the domain.
    #[must_use]
    pub const fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Returns whether a drain has finished, so that the process may exit.
    #[must_use]
    pub const fn is_drained(&self) -> bool {
        self.draining && matches!(self.role, OwnerRole::Standby) && self.releasing.is_none()
    }

    /// Decides on a holder's request for a promise not to claim for `ttl_ms`
    /// milliseconds; returns whether this entry promises.
    ///
    /// The request also names the holder, so that this entry can forward to a
    /// successor that cannot write the row.
    ///
    /// An entry that can reach the platform refuses, so that the holder hands
    /// over to it. A draining entry promises even then: it never claims again
    /// and could not accept a handover.
    pub fn handle_promise_request(
        &mut self,
        now: ClockMillis,
        holder: &EntryId,
        authority: OwnerAuthority,
        ttl_ms: u64,
    ) -> bool {
        self.record_successor(holder, authority);
        let is_connected =
            now.since(self.platform_answered_at) < PROMISE_CONTACT_LOSS_MS && !self.draining;
        let is_holder = matches!(self.role, OwnerRole::Holder(_));
        // A claim without a reply could still take effect after the promise.
        if is_holder
            || is_connected
            || authority < self.highest_authority
            || self.attempts.has_claim()
        {
            return false;
        }
        let row = self.view.row.as_deref().filter(|row| row.authority == authority);
        if row.is_some_and(|row| row.holder.as_ref().is_none_or(|own| own.entry != *holder)) {
            return false;
        }
        self.highest_authority = authority;
        let end = now + time::with_clock_margin(ttl_ms);
        let until = self.given_promise.map_or(end, |promise| promise.until.max(end));
        self.given_promise = Some(GivenPromise { authority, until });
        true
    }

    /// Prepares for a handover; returns whether this entry is prepared.
    ///
    /// Until the handover has ended or has not arrived in time, this entry
    /// answers its peers that it may hold the domain, so that none of them claims.
    ///
    /// `to` must be this very process. The predecessor chose it because it has
    /// the address and the VM of a member of the row: entries that could claim
    /// look for a successor only there.
    pub fn prepare_handover(
        &mut self,
        now: ClockMillis,
        to: &EntryMember,
        authority: OwnerAuthority,
    ) -> bool {
        let can_prepare = !self.draining
            && *to == self.member
            && matches!(self.role, OwnerRole::Standby)
            && authority > self.highest_authority
            && !self.attempts.has_claim();
        if can_prepare {
            self.highest_authority = authority;
            self.prepared = Some(PreparedHandover { authority, prepared_at: now });
            self.tenure_end = now + PREPARED_TTL_MS;
        }
        can_prepare
    }

    /// Returns the highest authority that this entry knows.
    #[must_use]
    pub const fn highest_authority(&self) -> OwnerAuthority {
        self.highest_authority
    }

    /// Returns whether this entry holds the domain or is prepared for a handover.
    #[must_use]
    pub fn may_hold(&self, now: ClockMillis) -> bool {
        matches!(self.role, OwnerRole::Holder(_)) || self.valid_preparation(now).is_some()
    }

    fn valid_preparation(&self, now: ClockMillis) -> Option<PreparedHandover> {
        self.prepared.filter(|prepared| now < prepared.prepared_at + PREPARED_TTL_MS)
    }

    /// Returns the start of this entry's lease after a handover with this row;
    /// `None` if it must refuse the handover.
    ///
    /// A voter relies on its own reads of the row. An entry that is not a voter
    /// prepared before the predecessor computed `lease_age_ms`, so that the
    /// instant so long before the preparation is not later than the start of
    /// the predecessor's lease.
    fn handover_lease_start(
        &self,
        now: ClockMillis,
        authority: OwnerAuthority,
        row: &OwnerRow,
        lease_age_ms: u64,
    ) -> Option<ClockMillis> {
        if super::view::has_member(&row.voters, &self.member.entry) {
            return self.view.not_before(row).filter(|_| authority > self.highest_authority);
        }
        let prepared = self.valid_preparation(now)?;
        let is_prepared = prepared.authority == authority && authority == self.highest_authority;
        is_prepared.then(|| ClockMillis(prepared.prepared_at.0.saturating_sub(lease_age_ms)))
    }

    /// Accepts or refuses a handover of the domain to this entry.
    ///
    /// Returns no actions if it refuses: if this entry is draining, is the
    /// holder, has a claim without a reply, knows a higher authority, or is
    /// neither a voter of the given row that has read the row itself nor
    /// prepared for this handover.
    pub fn accept_handover(
        &mut self,
        now: ClockMillis,
        authority: OwnerAuthority,
        version: u64,
        row: Box<OwnerRow>,
        lease_age_ms: u64,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.reset_timeouts_after_pause(now);
        if self.can_accept_handover()
            && let Some(not_before) = self.handover_lease_start(now, authority, &row, lease_age_ms)
        {
            let mut state = HolderState::after_handover(now, authority, not_before);
            state.apply_handover_row(&row);
            self.highest_authority = authority;
            if version >= self.view.version {
                self.proofs.track_row(now, &self.member, &row);
                self.view.version = version;
                self.view.row = Some(row);
            }
            self.pending_call = None;
            self.become_holder(now, state);
            self.exempt_dropped_voters();
            self.take_due_steps(now, &mut actions);
        }
        actions
    }

    fn record_successor(&mut self, holder: &EntryId, authority: OwnerAuthority) {
        let row = self.view.row.as_deref();
        let mut members = row.into_iter().flat_map(|row| row.voters.iter().chain(&row.candidates));
        let known = self.successor.as_ref().map(|(known, _)| *known);
        if authority >= self.highest_authority
            && known <= Some(authority)
            && let Some(member) = members.find(|member| member.entry == *holder)
        {
            self.successor = Some((authority, member.clone()));
        }
    }

    fn can_accept_handover(&self) -> bool {
        !self.draining && matches!(self.role, OwnerRole::Standby) && !self.attempts.has_claim()
    }

    pub(super) fn become_holder(&mut self, now: ClockMillis, mut state: HolderState) {
        state.last_answers = self.other_voters().map(|voter| (voter.entry.clone(), now)).collect();
        self.prepared = None;
        self.role = OwnerRole::Holder(Box::new(state));
        self.next_call_at = now;
        self.has_unhandled_row = false;
    }

    /// Makes this entry a standby; reports `Lost` only if `Acquired` was reported.
    pub(super) fn become_standby(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        if let OwnerRole::Holder(state) = &self.role
            && state.acquired
        {
            actions.push(OwnerAction::Lost);
        }
        self.role = OwnerRole::Standby;
        self.tenure_end = now;
        self.view.first_seen = now;
        self.next_call_at = now;
    }

    fn reset_timeouts_after_pause(&mut self, now: ClockMillis) {
        if now.since(self.last_event_at) > PAUSE_DETECTION_MS
            && let OwnerRole::Holder(state) = &mut self.role
        {
            state.last_answers.iter_mut().for_each(|(_, answered_at)| *answered_at = now);
        }
        self.last_event_at = self.last_event_at.max(now);
    }

    fn handle_read_done(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        row: Option<(u64, Box<OwnerRow>)>,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.platform_answered_at = now;
        let Some(call) = self.pending_call.filter(|call| call.token == token && !call.is_write)
        else {
            return;
        };
        self.pending_call = None;
        let (version, row) = row.map_or((0, None), |(version, row)| (version, Some(row)));
        self.apply_row(now, call.sent_at, version, row, actions);
    }

    fn handle_write_done(
        &mut self,
        now: ClockMillis,
        token: CallToken,
        result: WriteResult,
        actions: &mut Vec<OwnerAction>,
    ) {
        if result == WriteResult::Unknown {
            self.handle_call_failure(now, token, 1);
            return;
        }
        self.platform_answered_at = now;
        self.pending_call = self.pending_call.filter(|call| call.token != token);
        let Some(attempt) = self.attempts.by_token(token) else { return };
        let sent_at = attempt.sent_at;
        match result {
            WriteResult::Committed { version } => {
                let row = Some(attempt.row.clone());
                self.apply_row(now, sent_at, version, row, actions);
                if let OwnerRole::Holder(state) = &mut self.role {
                    state.failed_calls = 0;
                }
            }
            WriteResult::Conflict { version, row } => {
                self.apply_row(now, sent_at, version, row, actions);
            }
            WriteResult::Unknown => {}
        }
    }

    /// Ends the pending call, which failed or got no reply.
    fn handle_call_failure(&mut self, now: ClockMillis, token: CallToken, failure_count: u32) {
        let Some(call) = self.pending_call.filter(|call| call.token == token) else { return };
        self.pending_call = None;
        match &mut self.role {
            OwnerRole::Holder(state) => {
                state.failed_calls = state.failed_calls.saturating_add(failure_count);
                state.must_read = true;
                self.next_call_at = if call.is_write { now } else { now + HOLDER_READ_RETRY_MS };
            }
            OwnerRole::Standby if call.is_write => self.next_call_at = now,
            OwnerRole::Standby => {
                self.next_call_at = now.max(call.sent_at + STANDBY_READ_INTERVAL_MS);
            }
        }
    }

    fn apply_row(
        &mut self,
        now: ClockMillis,
        sent_at: ClockMillis,
        version: u64,
        row: Option<Box<OwnerRow>>,
        actions: &mut Vec<OwnerAction>,
    ) {
        if !self.view.apply_row(now, sent_at, version, row) {
            return;
        }
        self.has_unhandled_row = true;
        let mut shown_write = None;
        if let Some(row) = self.view.row.as_deref() {
            self.highest_authority = self.highest_authority.max(row.authority);
            self.last_renewal = self.last_renewal.max(row.renewal);
            self.proofs.track_row(now, &self.member, row);
            shown_write = self.attempts.find_by_row(row);
        }
        let shown_write =
            shown_write.map(|attempt| (attempt.kind, attempt.sent_at, attempt.row.authority));
        self.attempts.drop_obsolete(version);
        match (&self.role, shown_write) {
            (OwnerRole::Holder(state), _) => {
                // A write of an earlier tenure does not renew this one: other
                // entries may have held the domain in between.
                let own_authority = state.authority;
                let own_write = shown_write.filter(|(_, _, authority)| *authority == own_authority);
                self.apply_row_as_holder(now, own_write.map(|(_, sent_at, _)| sent_at), actions);
            }
            (OwnerRole::Standby, Some((WriteKind::Claim, sent_at, authority)))
                if now < sent_at + OWNER_TTL_MS =>
            {
                self.become_holder(now, HolderState::after_claim(now, authority, sent_at));
                self.next_call_at = sent_at + OWNER_RENEW_INTERVAL_MS;
            }
            (OwnerRole::Standby, _) => {}
        }
    }

    /// Takes the steps that are due at this instant.
    fn take_due_steps(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        if let Some(call) = self.pending_call
            && now.since(call.sent_at) >= CALL_TIMEOUT_MS
        {
            self.handle_call_failure(now, call.token, holder::PLATFORM_UNREACHABLE_FAILURES);
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

    pub(super) fn next_call_token(&mut self) -> CallToken {
        self.last_token += 1;
        self.last_token
    }

    /// Returns a renewal number that no other write of this process uses.
    pub(super) fn next_renewal(&mut self) -> u64 {
        self.last_renewal += 1;
        self.last_renewal
    }

    pub(super) fn request_read(&mut self, now: ClockMillis, actions: &mut Vec<OwnerAction>) {
        let token = self.next_call_token();
        self.pending_call = Some(PendingCall { token, sent_at: now, is_write: false });
        actions.push(OwnerAction::Read { token });
    }

    pub(super) fn request_write(
        &mut self,
        now: ClockMillis,
        kind: WriteKind,
        row: OwnerRow,
        actions: &mut Vec<OwnerAction>,
    ) {
        let (token, version, row) = (self.next_call_token(), self.view.version, Box::new(row));
        self.pending_call = Some(PendingCall { token, sent_at: now, is_write: true });
        self.attempts.push(WriteAttempt { token, kind, sent_at: now, version, row: row.clone() });
        actions.push(OwnerAction::Write { token, version, row });
    }
}

/// Returns 0 to 63 ms by a hash of the entry's name, to spread claims in time.
fn compute_claim_jitter(entry: &EntryId) -> u64 {
    let hash = entry.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash >> 58
}
