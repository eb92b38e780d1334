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
struct PresentPeer {
    entry: EntryId,
    authority: OwnerAuthority,
    may_hold: bool,
    /// When the first answer with these values arrived.
    first: ClockMillis,
    /// When the last call with such an answer was sent.
    last: ClockMillis,
}

/// Answer of a peer to a call that asks for its identity and ownership state.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAnswer<'a> {
    pub(super) entry: &'a EntryId,
    /// The address that was called.
    pub(super) address: &'a str,
    /// When the call was sent.
    pub(super) asked: ClockMillis,
    pub(super) authority: OwnerAuthority,
    pub(super) may_hold: bool,
}

/// A member of the row and the evidence about its process.
#[derive(Debug)]
struct KnownMember {
    member: EntryMember,
    /// When this entry first saw the member in the row.
    since: ClockMillis,
    /// When the member was proven dead.
    dead: Option<ClockMillis>,
    /// Whether the platform's list no longer contains the VM.
    gone: bool,
    /// The process that now answers at the member's address.
    present: Option<PresentPeer>,
}

/// Evidence about the members of the last known row.
#[derive(Debug, Default)]
pub(super) struct DeathProofs(Vec<KnownMember>);

impl DeathProofs {
    /// Tracks the members that the row names and forgets all others.
    pub(super) fn follow(&mut self, now: ClockMillis, own: &EntryMember, row: &OwnerRow) {
        self.0.retain(|known| named(row).any(|member| member.entry == known.member.entry));
        for member in named(row) {
            if !self.0.iter().any(|known| known.member.entry == member.entry) {
                // Only one process can listen at an address, so another member
                // at this entry's own address is an earlier process.
                let replaced = member.address == own.address && member.entry != own.entry;
                self.0.push(KnownMember {
                    member: member.clone(),
                    since: now,
                    dead: replaced.then_some(now),
                    gone: false,
                    present: None,
                });
            }
        }
    }

    /// Records which process answered at an address.
    ///
    /// Ignores answers to calls that were sent before this entry saw the member
    /// in the row: they may come from a process that preceded the member.
    pub(super) fn peer_seen(&mut self, now: ClockMillis, answer: &PeerAnswer<'_>) {
        for known in &mut self.0 {
            let replaced =
                known.member.address == answer.address && known.member.entry != *answer.entry;
            if replaced && known.since <= answer.asked {
                known.dead.get_or_insert(now);
                known.note_present(now, answer);
            }
        }
    }

    /// Records that the platform's list no longer contains a VM.
    pub(super) fn vm_gone(&mut self, now: ClockMillis, vm: &str) {
        for known in self.0.iter_mut().filter(|known| known.member.vm == vm) {
            known.dead.get_or_insert(now);
            known.gone = true;
        }
    }

    /// Returns whether an entry is proven dead.
    pub(super) fn is_dead(&self, entry: &EntryId) -> bool {
        self.0.iter().any(|known| known.dead.is_some() && known.member.entry == *entry)
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
        let mut last_calls = SmallVec::<[ClockMillis; 4]>::new();
        for member in holder_and_voters(row) {
            let Some(known) = self.0.iter().find(|known| known.member.entry == member.entry) else {
                return false;
            };
            let Some(dead) = known.dead else { return false };
            instant = instant.max(dead);
            if known.gone || member.address == own.address {
                continue;
            }
            let Some(present) = known.present.as_ref().filter(|present| !present.may_hold) else {
                return false;
            };
            instant = instant.max(present.first);
            last_calls.push(present.last);
        }
        last_calls.iter().all(|last| *last >= instant)
    }

    /// Returns the processes that answer at the addresses of members that are
    /// proven dead, the one called last first.
    pub(super) fn replacements(&self, row: &OwnerRow) -> Vec<EntryMember> {
        let mut found: Vec<(ClockMillis, EntryMember)> = holder_and_voters(row)
            .filter_map(|member| {
                let known = self.0.iter().find(|known| known.member.entry == member.entry)?;
                let present = known.present.as_ref().filter(|_| !known.gone)?;
                let entry = present.entry.clone();
                Some((present.last, EntryMember { entry, ..member.clone() }))
            })
            .collect();
        found.sort_by_key(|(last, _)| std::cmp::Reverse(*last));
        found.into_iter().map(|(_, member)| member).collect()
    }
}

impl KnownMember {
    fn note_present(&mut self, now: ClockMillis, answer: &PeerAnswer<'_>) {
        let same = |present: &&mut PresentPeer| {
            present.entry == *answer.entry
                && present.authority == answer.authority
                && present.may_hold == answer.may_hold
        };
        if let Some(present) = self.present.as_mut().filter(same) {
            present.last = present.last.max(answer.asked);
            return;
        }
        self.present = Some(PresentPeer {
            entry: answer.entry.clone(),
            authority: answer.authority,
            may_hold: answer.may_hold,
            first: now,
            last: answer.asked,
        });
    }
}

fn holder_and_voters(row: &OwnerRow) -> impl Iterator<Item = &EntryMember> {
    row.holder.iter().chain(&row.voters)
}

fn named(row: &OwnerRow) -> impl Iterator<Item = &EntryMember> {
    row.holder.iter().chain(&row.voters).chain(&row.candidates)
}
