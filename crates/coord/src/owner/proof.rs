//! Which members of the row are proven dead.

use model::name::EntryId;
use model::time::ClockMillis;

use crate::row::{EntryMember, OwnerRow};

/// One member of the row and what is known of its process.
#[derive(Debug)]
struct KnownMember {
    member: EntryMember,
    since: ClockMillis,
    dead: bool,
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
                let dead = member.address == own.address && member.entry != own.entry;
                self.0.push(KnownMember { member: member.clone(), since: now, dead });
            }
        }
    }

    /// Notes which process answered at an address to a call made at `asked`.
    pub(super) fn peer_seen(&mut self, entry: &EntryId, address: &str, asked: ClockMillis) {
        for known in &mut self.0 {
            let replaced = known.member.address == address && known.member.entry != *entry;
            known.dead |= replaced && known.since <= asked;
        }
    }

    /// Notes that a VM has left the platform's list.
    pub(super) fn vm_gone(&mut self, vm: &str) {
        for known in &mut self.0 {
            known.dead |= known.member.vm == vm;
        }
    }

    /// Tells whether an entry is proven dead.
    pub(super) fn is_dead(&self, entry: &EntryId) -> bool {
        self.0.iter().any(|known| known.dead && known.member.entry == *entry)
    }
}

fn named(row: &OwnerRow) -> impl Iterator<Item = &EntryMember> {
    row.holder.iter().chain(&row.voters).chain(&row.candidates)
}
