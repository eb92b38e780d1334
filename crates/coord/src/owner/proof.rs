//! Proofs that members of the ownership row are dead.
//!
//! A member is a process. It is proven dead when another process answers at its
//! address, or when the platform's list no longer contains its VM.

use model::authority::OwnerAuthority;
use model::name::EntryId;
use model::time::ClockMillis;
use smallvec::SmallVec;

use crate::row::{EntryMember, OwnerRow};

/// A process that answers at the address of a member that is proven dead.
#[derive(Clone, Debug)]
struct ReplacementProcess {
    entry: EntryId,
    authority: OwnerAuthority,
    may_hold: bool,
    /// When the first answer with these values arrived.
    first_answer_at: ClockMillis,
    /// When the last call with such an answer was sent.
    last_sent_at: ClockMillis,
}

/// Answer of a peer to a call that asks for its identity and ownership state.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAnswer<'a> {
    pub(super) entry: &'a EntryId,
    /// The address that was called.
    pub(super) address: &'a str,
    /// When the call was sent.
    pub(super) sent_at: ClockMillis,
    pub(super) authority: OwnerAuthority,
    pub(super) may_hold: bool,
}

/// A member of the row and the evidence about its process.
#[derive(Debug)]
struct KnownMember {
    member: EntryMember,
    /// When this entry first saw the member in the row.
    first_seen: ClockMillis,
    /// When the member was proven dead.
    dead_since: Option<ClockMillis>,
    /// Whether the platform's list no longer contains the VM.
    is_vm_removed: bool,
    /// The process that now answers at the member's address.
    replacement: Option<ReplacementProcess>,
}

/// Evidence about the members of the last known row.
#[derive(Debug, Default)]
pub(super) struct DeathProofs(Vec<KnownMember>);

impl DeathProofs {
    /// Tracks the members that the row names and forgets all others.
    pub(super) fn track_row(&mut self, now: ClockMillis, own: &EntryMember, row: &OwnerRow) {
        self.0.retain(|known| all_members(row).any(|member| member.entry == known.member.entry));
        for member in all_members(row) {
            if !self.0.iter().any(|known| known.member.entry == member.entry) {
                // Only one process can listen at an address, so another member
                // at this entry's own address is an earlier process.
                let is_replaced = member.address == own.address && member.entry != own.entry;
                self.0.push(KnownMember {
                    member: member.clone(),
                    first_seen: now,
                    dead_since: is_replaced.then_some(now),
                    is_vm_removed: false,
                    replacement: None,
                });
            }
        }
    }

    /// Records which process answered at an address.
    ///
    /// Ignores answers to calls that were sent before this entry saw the member
    /// in the row: they may come from a process that preceded the member.
    pub(super) fn record_peer_answer(&mut self, now: ClockMillis, answer: &PeerAnswer<'_>) {
        for known in &mut self.0 {
            let is_replaced =
                known.member.address == answer.address && known.member.entry != *answer.entry;
            if is_replaced && known.first_seen <= answer.sent_at {
                known.dead_since.get_or_insert(now);
                known.record_replacement(now, answer);
            }
        }
    }

    /// Records that the platform's list no longer contains a VM.
    pub(super) fn record_vm_removal(&mut self, now: ClockMillis, vm: &str) {
        for known in self.0.iter_mut().filter(|known| known.member.vm == vm) {
            known.dead_since.get_or_insert(now);
            known.is_vm_removed = true;
        }
    }

    /// Returns whether an entry is proven dead.
    pub(super) fn is_dead(&self, entry: &EntryId) -> bool {
        self.0.iter().any(|known| known.dead_since.is_some() && known.member.entry == *entry)
    }

    /// Returns whether, at one instant not before `since`, the holder and all
    /// voters were dead and no process at their addresses could come to hold
    /// the domain by a handover.
    ///
    /// Two calls to each process prove this: all answers to the first calls
    /// have arrived before the second calls are sent, and the second answers
    /// are the same. Single calls would miss a handover from a process that has
    /// not been called yet to one that has already answered.
    pub(super) fn is_vacant(&self, row: &OwnerRow, own: &EntryMember, since: ClockMillis) -> bool {
        let mut instant = since;
        let mut second_calls = SmallVec::<[ClockMillis; 4]>::new();
        for member in holder_and_voters(row) {
            let Some(known) = self.0.iter().find(|known| known.member.entry == member.entry) else {
                return false;
            };
            let Some(dead_since) = known.dead_since else { return false };
            instant = instant.max(dead_since);
            if known.is_vm_removed || member.address == own.address {
                continue;
            }
            let Some(replacement) =
                known.replacement.as_ref().filter(|replacement| !replacement.may_hold)
            else {
                return false;
            };
            instant = instant.max(replacement.first_answer_at);
            second_calls.push(replacement.last_sent_at);
        }
        second_calls.iter().all(|sent_at| *sent_at >= instant)
    }

    /// Returns the processes that answer at the addresses of members that are
    /// proven dead, the one called last first.
    pub(super) fn replacements(&self, row: &OwnerRow) -> Vec<EntryMember> {
        let mut found: Vec<(ClockMillis, EntryMember)> = holder_and_voters(row)
            .filter_map(|member| {
                let known = self.0.iter().find(|known| known.member.entry == member.entry)?;
                let replacement = known.replacement.as_ref().filter(|_| !known.is_vm_removed)?;
                let entry = replacement.entry.clone();
                Some((replacement.last_sent_at, EntryMember { entry, ..member.clone() }))
            })
            .collect();
        found.sort_by_key(|(sent_at, _)| std::cmp::Reverse(*sent_at));
        found.into_iter().map(|(_, member)| member).collect()
    }
}

impl DeathProofs {
    /// Returns whether another member of the row has not refused, and no process that
    /// replaced it has answered yet.
    pub(super) fn may_be_replaced(
        &self,
        row: &OwnerRow,
        own: &EntryMember,
        refused_by: &[EntryId],
    ) -> bool {
        holder_and_voters(row)
            .filter(|member| member.address != own.address && !refused_by.contains(&member.entry))
            .filter_map(|member| self.0.iter().find(|known| known.member.entry == member.entry))
            .any(|known| !known.is_vm_removed && known.replacement.is_none())
    }
}

impl KnownMember {
    fn record_replacement(&mut self, now: ClockMillis, answer: &PeerAnswer<'_>) {
        let is_unchanged = |replacement: &&mut ReplacementProcess| {
            replacement.entry == *answer.entry
                && replacement.authority == answer.authority
                && replacement.may_hold == answer.may_hold
        };
        if let Some(replacement) = self.replacement.as_mut().filter(is_unchanged) {
            replacement.last_sent_at = replacement.last_sent_at.max(answer.sent_at);
            return;
        }
        self.replacement = Some(ReplacementProcess {
            entry: answer.entry.clone(),
            authority: answer.authority,
            may_hold: answer.may_hold,
            first_answer_at: now,
            last_sent_at: answer.sent_at,
        });
    }
}

fn holder_and_voters(row: &OwnerRow) -> impl Iterator<Item = &EntryMember> {
    row.holder.iter().chain(&row.voters)
}

fn all_members(row: &OwnerRow) -> impl Iterator<Item = &EntryMember> {
    row.holder.iter().chain(&row.voters).chain(&row.candidates)
}
