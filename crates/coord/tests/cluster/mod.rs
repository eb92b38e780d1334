//! Model of a domain: several ownership state machines, their network and the
//! platform's ownership row.
//!
//! Times are simulated milliseconds. Each process has a clock of its own, with
//! an offset and a rate that deviates by up to 2 %.

use std::collections::BTreeMap;

use coord::owner::{OwnerAction, OwnerEvent, Ownership, WriteResult};
use coord::row::{EntryMember, OwnerRow};
use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId};
use model::time::ClockMillis;

/// Largest deviation of a clock's rate in millionths.
const RATE_PPM: u64 = 20_000;
/// Milliseconds by which simulated time advances at once.
const STEP_MS: u64 = 10;
/// Milliseconds between ticks of each state machine.
const TICK_MS: u64 = 50;
/// Milliseconds between rounds of calls to all peers.
const PEER_CALL_INTERVAL_MS: u64 = 1_000;

/// From this number on, a slot in a fault stands for that of the current holder.
pub const HOLDER_SLOT: usize = 6;

/// A fault or an operation on the cluster.
///
/// A slot is a place for one process at a time, with its own VM and address.
#[derive(Clone, Debug)]
pub enum ClusterFault {
    /// Kills a process; a new one starts at its address after `restart_after_ms`.
    Kill { slot: usize, restart_after_ms: u64 },
    /// Removes a VM; a new one with another address starts after `restart_after_ms`.
    Replace { slot: usize, restart_after_ms: u64 },
    /// Pauses a process for a while; its clock continues.
    Freeze { slot: usize, duration_ms: u64 },
    /// Drains a process; a new one starts at its address `restart_after_ms` after its end.
    Drain { slot: usize, restart_after_ms: u64 },
    /// Cuts all entries off from the platform and drains them one after the
    /// other at intervals; each is restarted at its address after `restart_after_ms`.
    CutPlatformAndRestartAll { restart_after_ms: u64, interval_ms: u64, duration_ms: u64 },
    /// Cuts one entry off from the platform.
    CutPlatform { slot: usize, duration_ms: u64 },
    /// Cuts all entries off from the platform.
    CutPlatformForAll { duration_ms: u64 },
    /// Cuts one entry off from its peers.
    CutPeers { slot: usize, duration_ms: u64 },
    /// Loses requests and replies, in thousandths.
    LoseMessages { permille: u64, duration_ms: u64 },
    /// Delays messages by up to `max_delay_ms`.
    DelayMessages { max_delay_ms: u64, duration_ms: u64 },
}

/// An event or a call of another process.
enum Message {
    Event(OwnerEvent),
    /// Requests a promise.
    Promise {
        requester: usize,
        token: u64,
        holder: EntryId,
        authority: OwnerAuthority,
        ttl_ms: u64,
    },
    /// Requests that the process prepares for a handover.
    Prepare {
        predecessor: usize,
        to: EntryMember,
        authority: OwnerAuthority,
    },
    /// Hands the domain over to the process.
    HandOver {
        predecessor: usize,
        authority: OwnerAuthority,
        version: u64,
        row: Box<OwnerRow>,
        lease_age_ms: u64,
    },
}

/// Something that is due at an instant; processes are named by their index.
enum ScheduledEvent {
    /// A call reaches the platform.
    Platform {
        caller: usize,
        call: PlatformCall,
    },
    /// A message reaches a process.
    Deliver {
        process: usize,
        message: Message,
    },
    Start {
        slot: usize,
    },
    Drain {
        slot: usize,
        restart_after_ms: u64,
    },
}

enum PlatformCall {
    Read { token: u64 },
    Write { token: u64, version: u64, row: Box<OwnerRow> },
}

/// A running process of an entry.
struct Process {
    slot: usize,
    member: EntryMember,
    machine: Ownership,
    started_at: u64,
    /// What the clock shows at the start.
    clock_offset: u64,
    rate_ppm: u64,
    frozen_until: u64,
    /// Messages that arrived while the process was frozen.
    inbox: Vec<Message>,
    /// When the drain began, and the delay before the restart.
    drain: Option<(u64, u64)>,
}

impl Process {
    /// Returns what the clock of the process shows.
    fn clock(&self, now: u64) -> ClockMillis {
        ClockMillis(self.clock_offset + (now - self.started_at) * self.rate_ppm / 1_000_000)
    }
}

/// All processes of a domain, the network between them and the platform.
pub struct Cluster {
    pub now: u64,
    /// State of the random numbers.
    seed: u64,
    /// All processes ever started; `None` if they have ended.
    processes: Vec<Option<Process>>,
    /// Index of the process in each slot.
    slots: Vec<Option<usize>>,
    removed_vms: Vec<String>,
    /// What is due, by instant and then in the order of scheduling.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    pub version: u64,
    pub row: Option<Box<OwnerRow>>,
    /// For each slot, until when it cannot reach the platform.
    platform_cut: Vec<u64>,
    /// For each slot, until when it cannot reach its peers.
    peer_cut: Vec<u64>,
    /// Share of lost messages in thousandths, and until when.
    message_loss: (u64, u64),
    /// Largest delay of messages, and until when.
    message_delay: (u64, u64),
    /// Instant and authority of each start of an ownership.
    pub acquired: Vec<(u64, OwnerAuthority)>,
    /// Number of ownerships that ended.
    pub lost: usize,
    /// Time in which a process held the lease.
    pub held_ms: u64,
    /// Time since a process last held the lease.
    gap_ms: u64,
    pub longest_gap_ms: u64,
    pub trace: Vec<String>,
}

impl Cluster {
    pub fn new(seed: u64, size: usize) -> Self {
        let mut cluster = Self {
            now: 1_000,
            seed,
            processes: Vec::new(),
            slots: vec![None; size],
            removed_vms: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            version: 0,
            row: None,
            platform_cut: vec![0; size],
            peer_cut: vec![0; size],
            message_loss: (0, 0),
            message_delay: (0, 0),
            acquired: Vec::new(),
            lost: 0,
            held_ms: 0,
            gap_ms: 0,
            longest_gap_ms: 0,
            trace: Vec::new(),
        };
        for slot in 0..size {
            let start_after_ms = cluster.random(800);
            cluster.schedule(start_after_ms, ScheduledEvent::Start { slot });
        }
        cluster
    }

    /// Returns a number below `bound` (splitmix64).
    fn random(&mut self, bound: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    fn schedule(&mut self, after: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), scheduled);
    }

    pub fn apply(&mut self, fault: &ClusterFault) {
        self.record_trace(&format!("{fault:?}"));
        match *fault {
            ClusterFault::Kill { slot, restart_after_ms } => {
                let slot = self.resolve_slot(slot);
                self.kill(slot);
                self.schedule(restart_after_ms, ScheduledEvent::Start { slot });
            }
            ClusterFault::Replace { slot, restart_after_ms } => {
                let slot = self.resolve_slot(slot);
                self.replace(slot, restart_after_ms);
            }
            ClusterFault::Freeze { slot, duration_ms } => {
                let (slot, until) = (self.resolve_slot(slot), self.now + duration_ms);
                if let Some(process) = self.process_at(slot) {
                    process.frozen_until = process.frozen_until.max(until);
                }
            }
            ClusterFault::Drain { slot, restart_after_ms } => {
                let slot = self.resolve_slot(slot);
                self.drain(slot, restart_after_ms);
            }
            ClusterFault::CutPlatformAndRestartAll {
                restart_after_ms,
                interval_ms,
                duration_ms,
            } => {
                self.platform_cut.fill(self.now + duration_ms);
                for (turn, slot) in (0..).zip(0..self.slots.len()) {
                    self.schedule(
                        turn * interval_ms,
                        ScheduledEvent::Drain { slot, restart_after_ms },
                    );
                }
            }
            ClusterFault::CutPlatform { slot, duration_ms } => {
                let slot = self.resolve_slot(slot);
                self.platform_cut[slot] = self.now + duration_ms;
            }
            ClusterFault::CutPlatformForAll { duration_ms } => {
                self.platform_cut.fill(self.now + duration_ms);
            }
            ClusterFault::CutPeers { slot, duration_ms } => {
                let slot = self.resolve_slot(slot);
                self.peer_cut[slot] = self.now + duration_ms;
            }
            ClusterFault::LoseMessages { permille, duration_ms } => {
                self.message_loss = (permille, self.now + duration_ms);
            }
            ClusterFault::DelayMessages { max_delay_ms, duration_ms } => {
                self.message_delay = (max_delay_ms, self.now + duration_ms);
            }
        }
    }

    /// Returns the slot that a number in a fault stands for.
    fn resolve_slot(&self, slot: usize) -> usize {
        let holder = self.holder_slot().filter(|_| slot >= HOLDER_SLOT);
        holder.unwrap_or(slot % self.slots.len())
    }

    /// Ends all faults and drops drains that have not begun; messages stay in flight.
    pub fn heal(&mut self) {
        self.record_trace("heal");
        self.queue.retain(|_, scheduled| !matches!(scheduled, ScheduledEvent::Drain { .. }));
        self.platform_cut.fill(0);
        self.peer_cut.fill(0);
        (self.message_loss, self.message_delay) = ((0, 0), (0, 0));
        for process in self.processes.iter_mut().flatten() {
            process.frozen_until = 0;
        }
    }

    /// Runs for some milliseconds; returns an error if an invariant is broken.
    pub fn run(&mut self, duration_ms: u64) -> Result<(), String> {
        let end = self.now + duration_ms;
        while self.now < end {
            while let Some(entry) =
                self.queue.first_entry().filter(|entry| entry.key().0 <= self.now)
            {
                let scheduled = entry.remove();
                self.handle_scheduled(scheduled);
                self.check_invariants()?;
            }
            if self.now.is_multiple_of(TICK_MS) {
                self.tick_all()?;
            }
            if self.now.is_multiple_of(PEER_CALL_INTERVAL_MS) {
                self.report_peers();
            }
            if self.holders().is_empty() {
                self.gap_ms += STEP_MS;
                self.longest_gap_ms = self.longest_gap_ms.max(self.gap_ms);
            } else {
                self.gap_ms = 0;
                self.held_ms += STEP_MS;
            }
            self.now += STEP_MS;
            self.check_invariants()?;
        }
        Ok(())
    }

    /// Returns the processes with a lease at this instant.
    pub fn holders(&self) -> Vec<(EntryId, OwnerAuthority)> {
        let processes = self.processes.iter().flatten();
        processes
            .filter_map(|process| {
                let authority = process.machine.leased_authority(process.clock(self.now))?;
                Some((process.member.entry.clone(), authority))
            })
            .collect()
    }

    /// Returns the slot of the process with a lease.
    pub fn holder_slot(&self) -> Option<usize> {
        let (entry, _) = self.holders().into_iter().next()?;
        Some(self.processes[self.find_process(&entry)?].as_ref()?.slot)
    }

    /// Checks that at most one process has a lease and that authorities grow.
    fn check_invariants(&self) -> Result<(), String> {
        let holders = self.holders();
        if holders.len() > 1 {
            return Err(format!("two leases at {}: {holders:?}", self.now));
        }
        let newest = self.acquired.len().saturating_sub(2);
        if let [(_, old), (_, new)] = self.acquired[newest..]
            && new <= old
        {
            return Err(format!("authority {new} after {old} at {}", self.now));
        }
        Ok(())
    }

    fn record_trace(&mut self, text: &str) {
        self.trace.push(format!("{:>7} {text}", self.now));
    }

    fn process_at(&mut self, slot: usize) -> Option<&mut Process> {
        self.processes[self.slots[slot]?].as_mut()
    }

    fn start(&mut self, slot: usize) {
        if self.slots[slot].is_some() || self.removed_vms.contains(&format!("vm{slot}")) {
            return;
        }
        let index = self.processes.len();
        let member = EntryMember {
            entry: EntryId::from(format!("e{index}")),
            address: format!("10.0.0.{slot}:1").into(),
            vm: format!("vm{slot}").into(),
        };
        let clock_offset = 100_000 + self.random(1_000_000);
        let rate_ppm = 1_000_000 - RATE_PPM + self.random(2 * RATE_PPM + 1);
        let machine =
            Ownership::new(DomainName::from("d"), member.clone(), ClockMillis(clock_offset));
        self.record_trace(&format!("start {} at slot {slot}", member.entry));
        self.processes.push(Some(Process {
            slot,
            member,
            machine,
            started_at: self.now,
            clock_offset,
            rate_ppm,
            frozen_until: 0,
            inbox: Vec::new(),
            drain: None,
        }));
        self.slots[slot] = Some(index);
    }

    fn kill(&mut self, slot: usize) {
        if let Some(index) = self.slots[slot].take() {
            self.processes[index] = None;
        }
    }

    fn replace(&mut self, slot: usize, restart_after_ms: u64) {
        if self.slots[slot].is_none() {
            return;
        }
        self.kill(slot);
        self.removed_vms.push(format!("vm{slot}"));
        self.slots.push(None);
        self.platform_cut.push(self.platform_cut[slot]);
        self.peer_cut.push(0);
        self.schedule(restart_after_ms, ScheduledEvent::Start { slot: self.slots.len() - 1 });
    }

    fn drain(&mut self, slot: usize, restart_after_ms: u64) {
        let now = self.now;
        let Some(index) = self.slots[slot] else { return };
        if let Some(process) = self.processes[index].as_mut()
            && process.drain.is_none()
        {
            process.drain = Some((now, restart_after_ms));
            self.schedule(
                0,
                ScheduledEvent::Deliver {
                    process: index,
                    message: Message::Event(OwnerEvent::Drain),
                },
            );
        }
    }

    /// Delivers to each process a tick and what arrived while it was frozen.
    fn tick_all(&mut self) -> Result<(), String> {
        for index in 0..self.processes.len() {
            let now = self.now;
            let Some(process) = self.processes[index].as_mut() else { continue };
            if process.frozen_until > now {
                continue;
            }
            for message in std::mem::take(&mut process.inbox) {
                self.deliver(index, message);
                self.check_invariants()?;
            }
            self.deliver(index, Message::Event(OwnerEvent::Tick));
            self.check_invariants()?;
            self.end_drained(index);
        }
        Ok(())
    }

    /// Ends a process that has drained, at the earliest 1 s after the drain began;
    /// kills it if it has not drained after 5 s.
    fn end_drained(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = self.processes[index].as_ref() else { return };
        let Some((since, restart_after_ms)) = process.drain else { return };
        let has_ended = process.machine.is_drained() && now - since > 1_000 || now - since > 5_000;
        if has_ended {
            let slot = process.slot;
            self.kill(slot);
            self.schedule(restart_after_ms, ScheduledEvent::Start { slot });
        }
    }

    fn handle_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Start { slot } => self.start(slot),
            ScheduledEvent::Drain { slot, restart_after_ms } => self.drain(slot, restart_after_ms),
            ScheduledEvent::Deliver { process, message } => self.deliver(process, message),
            ScheduledEvent::Platform { caller, call } => self.serve_platform_call(caller, call),
        }
    }

    /// Applies a call at the platform and sends its reply.
    fn serve_platform_call(&mut self, caller: usize, call: PlatformCall) {
        let event = match call {
            PlatformCall::Read { token } => {
                let row = self.row.clone().map(|row| (self.version, row));
                OwnerEvent::ReadDone { token, row }
            }
            PlatformCall::Write { token, version, row } if version == self.version => {
                self.version += 1;
                self.record_trace(&format!("row {} {row:?}", self.version));
                self.row = Some(row);
                let result = WriteResult::Committed { version: self.version };
                OwnerEvent::WriteDone { token, result }
            }
            PlatformCall::Write { token, .. } => {
                let result = WriteResult::Conflict { version: self.version, row: self.row.clone() };
                OwnerEvent::WriteDone { token, result }
            }
        };
        let slot = self.processes[caller].as_ref().map(|process| process.slot);
        if slot.is_some_and(|slot| self.platform_cut[slot] <= self.now) && !self.loses_message() {
            let delay = self.random_delay();
            let message = Message::Event(event);
            self.schedule(delay, ScheduledEvent::Deliver { process: caller, message });
        }
    }

    /// Decides at random whether a message is lost.
    fn loses_message(&mut self) -> bool {
        let (permille, until) = self.message_loss;
        self.now < until && self.random(1_000) < permille
    }

    fn random_delay(&mut self) -> u64 {
        let (delay_ms, until) = self.message_delay;
        let max_delay_ms = if self.now < until { delay_ms } else { 6 };
        1 + self.random(max_delay_ms)
    }

    /// Delivers a message to a process and carries out the actions that it returns.
    fn deliver(&mut self, index: usize, message: Message) {
        let now = self.now;
        let Some(process) = self.processes[index].as_mut() else { return };
        if process.frozen_until > now {
            process.inbox.push(message);
            return;
        }
        let clock = process.clock(now);
        let actions = match message {
            Message::Event(event) => process.machine.handle_event(clock, event),
            Message::Promise { requester, token, holder, authority, ttl_ms } => {
                let promised =
                    process.machine.handle_promise_request(clock, &holder, authority, ttl_ms);
                let voter = process.member.entry.clone();
                let event = OwnerEvent::PromiseReply { token, voter, promised };
                self.send(index, requester, Message::Event(event));
                return;
            }
            Message::Prepare { predecessor, to, authority } => {
                let prepared = process.machine.prepare_handover(clock, &to, authority);
                let event = OwnerEvent::PrepareDone { authority, prepared };
                self.send(index, predecessor, Message::Event(event));
                return;
            }
            Message::HandOver { predecessor, authority, version, row, lease_age_ms } => {
                let actions =
                    process.machine.accept_handover(clock, authority, version, row, lease_age_ms);
                let accepted = Some(!actions.is_empty());
                let event = OwnerEvent::HandoverDone { authority, accepted };
                self.send(index, predecessor, Message::Event(event));
                actions
            }
        };
        for action in actions {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: OwnerAction) {
        match action {
            OwnerAction::Read { token } => {
                let failure = OwnerEvent::ReadFailed { token };
                self.call_platform(index, PlatformCall::Read { token }, failure);
            }
            OwnerAction::Write { token, version, row } => {
                let failure = OwnerEvent::WriteDone { token, result: WriteResult::Unknown };
                self.call_platform(index, PlatformCall::Write { token, version, row }, failure);
            }
            OwnerAction::RequestPromise { token, voter, authority, ttl_ms } => {
                let Some(requester) = self.processes[index].as_ref() else { return };
                let holder = requester.member.entry.clone();
                let message =
                    Message::Promise { requester: index, token, holder, authority, ttl_ms };
                if let Some(target) = self.find_process(&voter.entry) {
                    self.send(index, target, message);
                }
            }
            OwnerAction::Prepare { to, authority } => {
                self.record_trace(&format!("prepare {} for {authority}", to.entry));
                if let Some(target) = self.find_process(&to.entry) {
                    self.send(
                        index,
                        target,
                        Message::Prepare { predecessor: index, to, authority },
                    );
                }
            }
            OwnerAction::HandOver { to, authority, version, row, lease_age_ms } => {
                self.record_trace(&format!("hand over to {} at {authority}", to.entry));
                let unanswered = OwnerEvent::HandoverDone { authority, accepted: None };
                let refused = OwnerEvent::HandoverDone { authority, accepted: Some(false) };
                let Some(target) = self.find_process(&to.entry) else {
                    let message = Message::Event(refused);
                    self.schedule(1, ScheduledEvent::Deliver { process: index, message });
                    return;
                };
                self.send(
                    index,
                    target,
                    Message::HandOver { predecessor: index, authority, version, row, lease_age_ms },
                );
                let message = Message::Event(unanswered);
                self.schedule(900, ScheduledEvent::Deliver { process: index, message });
            }
            OwnerAction::Acquired { authority, .. } => {
                self.record_trace(&format!("process {index} acquired {authority}"));
                self.acquired.push((self.now, authority));
            }
            OwnerAction::Lost => {
                self.record_trace(&format!("process {index} lost"));
                self.lost += 1;
            }
        }
    }

    fn find_process(&self, entry: &EntryId) -> Option<usize> {
        self.processes.iter().position(|process| {
            process.as_ref().is_some_and(|process| process.member.entry == *entry)
        })
    }

    /// Sends a call to the platform, or delivers `failure` if it is unreachable.
    ///
    /// While messages are lost, `failure` may also arrive for a call that takes effect.
    fn call_platform(&mut self, index: usize, call: PlatformCall, failure: OwnerEvent) {
        let Some(slot) = self.processes[index].as_ref().map(|process| process.slot) else { return };
        if self.platform_cut[slot] > self.now {
            // A refused connection fails at once, a dropped packet after a timeout.
            let after = if self.random(2) == 0 { 1 } else { 1_000 };
            let message = Message::Event(failure);
            self.schedule(after, ScheduledEvent::Deliver { process: index, message });
            return;
        }
        if !self.loses_message() {
            let delay = self.random_delay();
            self.schedule(delay, ScheduledEvent::Platform { caller: index, call });
        }
        if self.random(3) == 0 && self.message_loss.1 > self.now {
            let after = self.random(600);
            let message = Message::Event(failure);
            self.schedule(after, ScheduledEvent::Deliver { process: index, message });
        }
    }

    /// Sends a message from one process to another.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let slot = |index: usize| self.processes[index].as_ref().map(|process| process.slot);
        let (Some(from), Some(target)) = (slot(from), slot(to)) else { return };
        let is_cut = self.peer_cut[from] > self.now || self.peer_cut[target] > self.now;
        if is_cut || self.loses_message() {
            return;
        }
        let delay = self.random_delay();
        self.schedule(delay, ScheduledEvent::Deliver { process: to, message });
    }

    /// Reports to every process which entries answer at the other addresses, and
    /// which VMs the platform's list no longer contains.
    fn report_peers(&mut self) {
        let running: Vec<usize> = self.slots.iter().flatten().copied().collect();
        for &caller in &running {
            let Some(process) = self.processes[caller].as_ref() else { continue };
            let sent_at = process.clock(self.now);
            for &peer in running.iter().filter(|peer| **peer != caller) {
                let Some(peer) = self.processes[peer].as_ref() else { continue };
                if self.peer_cut[peer.slot] > self.now || peer.frozen_until > self.now {
                    continue;
                }
                let entry = peer.member.entry.clone();
                let address = peer.member.address.to_string();
                let authority = peer.machine.highest_authority();
                let may_hold = peer.machine.may_hold(peer.clock(self.now));
                let event =
                    OwnerEvent::PeerAnswered { entry, address, sent_at, authority, may_hold };
                let index = self.slots[peer.slot].unwrap_or(caller);
                self.send(index, caller, Message::Event(event));
            }
            for vm in self.removed_vms.clone() {
                let message = Message::Event(OwnerEvent::VmRemoved { vm });
                self.schedule(1, ScheduledEvent::Deliver { process: caller, message });
            }
        }
    }
}
