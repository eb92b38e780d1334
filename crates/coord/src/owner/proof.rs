//! Which members of the row are proven dead.

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
    /// When the first answer with these values came.
    first: ClockMillis,
    /// When the last call with such an answer was made.
    last: ClockMillis,
}

/// What a peer said of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerAnswer<'a> {
    pub(super) entry: &'a EntryId,
    pub(super) address: &'a str,
    pub(super) asked: ClockMillis,
    pub(super) authority: OwnerAuthority,
    pub(super) may_hold: bool,
}

/// One member of the row and what is known of its process.
#[derive(Debug)]
struct KnownMember {
    member: EntryMember,
    since: ClockMillis,
    /// When it was proven dead.
    dead: Option<ClockMillis>,
    gone: bool,
    present: Option<PresentPeer>,
}

/// Proofs of death for the members of the present row.
#[derive(Debug, Default)]
pub(super) struct DeathProofs(Vec<KnownMember>);

impl DeathProofs {
    /// Follows the row; members that it no longer names are forgotten.
    pub(super) fn follow(&mut self, now: ClockMillis, own: &EntryMember, row: &OwnerRow) {
        self.0.retain(|known| named(row).any(|member| member.entry == known.member.entry));
        for member in named(row) {
            if !self.0.iter().any(|known| known.member.entry == member.entry) {
                // Only one process can listen at an address, so a member at
                // this entry's own address is an earlier process.
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

    /// Notes which process answered at an address.
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

    /// Notes that a VM has left the platform's list.
    pub(super) fn vm_gone(&mut self, now: ClockMillis, vm: &str) {
        for known in self.0.iter_mut().filter(|known| known.member.vm == vm) {
            known.dead.get_or_insert(now);
            known.gone = true;
        }
    }

    /// Tells whether an entry is proven dead.
    pub(super) fn is_dead(&self, entry: &EntryId) -> bool {
        self.0.iter().any(|known| known.dead.is_some() && known.member.entry == *entry)
    }

    /// Tells whether, at one instant not before `since`, the holder and all
    /// voters were dead and no process at their addresses could come to hold
    /// the domain by a handover.
    ///
    /// Two calls of each process show this: the answers to the first are all
    /// there before the second are made, and nothing changed between them. With
    /// single answers a handover from a process not yet called to one already
    /// called would go unnoticed.
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

    /// Returns the processes that answer at the addresses of members proven
    /// dead, the one called last first.
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
