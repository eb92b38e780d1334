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
const SEEN_MS: u64 = 1_000;

/// From this number on, a slot in a fault stands for that of the current holder.
pub const HOLDER_SLOT: usize = 6;

/// A fault or an operation on the cluster.
///
/// A slot is a place for one process at a time, with its own VM and address.
#[derive(Clone, Debug)]
pub enum ClusterFault {
    /// Kills a process; a new one starts at its address after the pause.
    Kill { slot: usize, pause: u64 },
    /// Removes a VM; a new one with another address starts after the pause.
    Replace { slot: usize, pause: u64 },
    /// Pauses a process for a while; its clock continues.
    Freeze { slot: usize, millis: u64 },
    /// Drains a process; when it has ended, a new one starts at its address after the pause.
    Drain { slot: usize, pause: u64 },
    /// Cuts all entries off from the platform and drains them one after the
    /// other at the interval; each is restarted at its address after the pause.
    RollCutOff { pause: u64, interval: u64, millis: u64 },
    /// Cuts one entry off from the platform.
    CutOne { slot: usize, millis: u64 },
    /// Cuts all entries off from the platform.
    CutAll { millis: u64 },
    /// Cuts one entry off from its peers.
    Isolate { slot: usize, millis: u64 },
    /// Loses requests and replies, in thousandths.
    Lose { permille: u64, millis: u64 },
    /// Delays messages by up to `delay`.
    Slow { delay: u64, millis: u64 },
}

/// An event or a call of another process.
enum Delivery {
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
enum Happening {
    /// A call reaches the platform.
    Platform {
        caller: usize,
        call: PlatformCall,
    },
    /// A message reaches a process.
    Deliver {
        process: usize,
        delivery: Delivery,
    },
    Start {
        slot: usize,
    },
    Drain {
        slot: usize,
        pause: u64,
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
    start: u64,
    /// What the clock shows at the start.
    offset: u64,
    rate_ppm: u64,
    frozen_until: u64,
    /// Messages that arrived while the process was frozen.
    inbox: Vec<Delivery>,
    /// When the drain began, and the pause before the restart.
    drain: Option<(u64, u64)>,
}

impl Process {
    /// Returns what the clock of the process shows.
    fn clock(&self, now: u64) -> ClockMillis {
        ClockMillis(self.offset + (now - self.start) * self.rate_ppm / 1_000_000)
    }
}

/// All processes of a domain, the network between them and the platform.
pub struct Cluster {
    pub now: u64,
    /// State of the random numbers.
    seed: u64,
    /// All processes ever started; `None` if they have ended.
    processes: Vec<Option<Process>>,
    /// The process of each slot.
    slots: Vec<Option<usize>>,
    gone_vms: Vec<String>,
    /// What is due, by instant and then in the order of scheduling.
    queue: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
    pub version: u64,
    pub row: Option<Box<OwnerRow>>,
    /// For each slot, until when it cannot reach the platform.
    platform_cut: Vec<u64>,
    /// For each slot, until when it cannot reach its peers.
    peer_cut: Vec<u64>,
    /// Share of lost messages in thousandths, and until when.
    loss: (u64, u64),
    /// Largest delay of messages, and until when.
    slow: (u64, u64),
    /// Instant and authority of each begin of an ownership.
    pub acquired: Vec<(u64, OwnerAuthority)>,
    /// Number of ends of an ownership.
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
            gone_vms: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            version: 0,
            row: None,
            platform_cut: vec![0; size],
            peer_cut: vec![0; size],
            loss: (0, 0),
            slow: (0, 0),
            acquired: Vec::new(),
            lost: 0,
            held_ms: 0,
            gap_ms: 0,
            longest_gap_ms: 0,
            trace: Vec::new(),
        };
        for slot in 0..size {
            let pause = cluster.random(800);
            cluster.schedule(pause, Happening::Start { slot });
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

    fn schedule(&mut self, after: u64, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), happening);
    }

    pub fn apply(&mut self, fault: &ClusterFault) {
        self.note(&format!("{fault:?}"));
        match *fault {
            ClusterFault::Kill { slot, pause } => {
                let slot = self.resolve(slot);
                self.kill(slot);
                self.schedule(pause, Happening::Start { slot });
            }
            ClusterFault::Replace { slot, pause } => {
                let slot = self.resolve(slot);
                self.replace(slot, pause);
            }
            ClusterFault::Freeze { slot, millis } => {
                let (slot, until) = (self.resolve(slot), self.now + millis);
                if let Some(process) = self.current(slot) {
                    process.frozen_until = process.frozen_until.max(until);
                }
            }
            ClusterFault::Drain { slot, pause } => {
                let slot = self.resolve(slot);
                self.drain(slot, pause);
            }
            ClusterFault::RollCutOff { pause, interval, millis } => {
                self.platform_cut.fill(self.now + millis);
                for (turn, slot) in (0..).zip(0..self.slots.len()) {
                    self.schedule(turn * interval, Happening::Drain { slot, pause });
                }
            }
            ClusterFault::CutOne { slot, millis } => {
                let slot = self.resolve(slot);
                self.platform_cut[slot] = self.now + millis;
            }
            ClusterFault::CutAll { millis } => self.platform_cut.fill(self.now + millis),
            ClusterFault::Isolate { slot, millis } => {
                let slot = self.resolve(slot);
                self.peer_cut[slot] = self.now + millis;
            }
            ClusterFault::Lose { permille, millis } => self.loss = (permille, self.now + millis),
            ClusterFault::Slow { delay, millis } => self.slow = (delay, self.now + millis),
        }
    }

    fn resolve(&self, slot: usize) -> usize {
        let holder = self.holder_slot().filter(|_| slot >= HOLDER_SLOT);
        holder.unwrap_or(slot % self.slots.len())
    }

    /// Ends all faults and drops drains that have not begun; messages stay in flight.
    pub fn heal(&mut self) {
        self.note("heal");
        self.queue.retain(|_, happening| !matches!(happening, Happening::Drain { .. }));
        self.platform_cut.fill(0);
        self.peer_cut.fill(0);
        (self.loss, self.slow) = ((0, 0), (0, 0));
        for process in self.processes.iter_mut().flatten() {
            process.frozen_until = 0;
        }
    }

    /// Runs for some milliseconds; returns an error if an invariant is broken.
    pub fn run(&mut self, millis: u64) -> Result<(), String> {
        let end = self.now + millis;
        while self.now < end {
            while let Some(entry) =
                self.queue.first_entry().filter(|entry| entry.key().0 <= self.now)
            {
                let happening = entry.remove();
                self.happen(happening);
                self.check()?;
            }
            if self.now.is_multiple_of(TICK_MS) {
                self.tick_all()?;
            }
            if self.now.is_multiple_of(SEEN_MS) {
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
            self.check()?;
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
        Some(self.processes[self.find(&entry)?].as_ref()?.slot)
    }

    fn check(&self) -> Result<(), String> {
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

    fn note(&mut self, text: &str) {
        self.trace.push(format!("{:>7} {text}", self.now));
    }

    fn current(&mut self, slot: usize) -> Option<&mut Process> {
        self.processes[self.slots[slot]?].as_mut()
    }

    fn start(&mut self, slot: usize) {
        if self.slots[slot].is_some() || self.gone_vms.contains(&format!("vm{slot}")) {
            return;
        }
        let index = self.processes.len();
        let member = EntryMember {
            entry: EntryId::from(format!("e{index}")),
            address: format!("10.0.0.{slot}:1").into(),
            vm: format!("vm{slot}").into(),
        };
        let offset = 100_000 + self.random(1_000_000);
        let rate_ppm = 1_000_000 - RATE_PPM + self.random(2 * RATE_PPM + 1);
        let machine = Ownership::new(DomainName::from("d"), member.clone(), ClockMillis(offset));
        self.note(&format!("start {} at slot {slot}", member.entry));
        self.processes.push(Some(Process {
            slot,
            member,
            machine,
            start: self.now,
            offset,
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

    fn replace(&mut self, slot: usize, pause: u64) {
        if self.slots[slot].is_none() {
            return;
        }
        self.kill(slot);
        self.gone_vms.push(format!("vm{slot}"));
        self.slots.push(None);
        self.platform_cut.push(self.platform_cut[slot]);
        self.peer_cut.push(0);
        self.schedule(pause, Happening::Start { slot: self.slots.len() - 1 });
    }

    fn drain(&mut self, slot: usize, pause: u64) {
        let now = self.now;
        let Some(index) = self.slots[slot] else { return };
        if let Some(process) = self.processes[index].as_mut()
            && process.drain.is_none()
        {
            process.drain = Some((now, pause));
            self.schedule(
                0,
                Happening::Deliver { process: index, delivery: Delivery::Event(OwnerEvent::Drain) },
            );
        }
    }

    fn tick_all(&mut self) -> Result<(), String> {
        for index in 0..self.processes.len() {
            let now = self.now;
            let Some(process) = self.processes[index].as_mut() else { continue };
            if process.frozen_until > now {
                continue;
            }
            for delivery in std::mem::take(&mut process.inbox) {
                self.deliver(index, delivery);
                self.check()?;
            }
            self.deliver(index, Delivery::Event(OwnerEvent::Tick));
            self.check()?;
            self.end_drained(index);
        }
        Ok(())
    }

    fn end_drained(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = self.processes[index].as_ref() else { return };
        let Some((since, pause)) = process.drain else { return };
        let over = process.machine.is_drained() && now - since > 1_000 || now - since > 5_000;
        if over {
            let slot = process.slot;
            self.kill(slot);
            self.schedule(pause, Happening::Start { slot });
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Start { slot } => self.start(slot),
            Happening::Drain { slot, pause } => self.drain(slot, pause),
            Happening::Deliver { process, delivery } => self.deliver(process, delivery),
            Happening::Platform { caller, call } => self.serve(caller, call),
        }
    }

    /// Applies a call at the platform and sends its reply.
    fn serve(&mut self, caller: usize, call: PlatformCall) {
        let event = match call {
            PlatformCall::Read { token } => {
                let row = self.row.clone().map(|row| (self.version, row));
                OwnerEvent::ReadDone { token, row }
            }
            PlatformCall::Write { token, version, row } if version == self.version => {
                self.version += 1;
                self.note(&format!("row {} {row:?}", self.version));
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
        if slot.is_some_and(|slot| self.platform_cut[slot] <= self.now) && !self.is_lost() {
            let delay = self.delay();
            let delivery = Delivery::Event(event);
            self.schedule(delay, Happening::Deliver { process: caller, delivery });
        }
    }

    fn is_lost(&mut self) -> bool {
        let (permille, until) = self.loss;
        self.now < until && self.random(1_000) < permille
    }

    fn delay(&mut self) -> u64 {
        let (delay, until) = self.slow;
        let longest = if self.now < until { delay } else { 6 };
        1 + self.random(longest)
    }

    /// Delivers a message to a process and carries out the actions that it returns.
    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let Some(process) = self.processes[index].as_mut() else { return };
        if process.frozen_until > now {
            process.inbox.push(delivery);
            return;
        }
        let clock = process.clock(now);
        let actions = match delivery {
            Delivery::Event(event) => process.machine.handle_event(clock, event),
            Delivery::Promise { requester, token, holder, authority, ttl_ms } => {
                let given =
                    process.machine.handle_promise_request(clock, &holder, authority, ttl_ms);
                let voter = process.member.entry.clone();
                let event = OwnerEvent::PromiseReply { token, voter, given };
                self.send(index, requester, Delivery::Event(event));
                return;
            }
            Delivery::Prepare { predecessor, to, authority } => {
                let prepared = process.machine.prepare_handover(clock, &to, authority);
                let event = OwnerEvent::PrepareDone { authority, prepared };
                self.send(index, predecessor, Delivery::Event(event));
                return;
            }
            Delivery::HandOver { predecessor, authority, version, row, lease_age_ms } => {
                let actions =
                    process.machine.accept_handover(clock, authority, version, row, lease_age_ms);
                let accepted = Some(!actions.is_empty());
                let event = OwnerEvent::HandoverDone { authority, accepted };
                self.send(index, predecessor, Delivery::Event(event));
                actions
            }
        };
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: OwnerAction) {
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
                let delivery =
                    Delivery::Promise { requester: index, token, holder, authority, ttl_ms };
                if let Some(target) = self.find(&voter.entry) {
                    self.send(index, target, delivery);
                }
            }
            OwnerAction::Prepare { to, authority } => {
                self.note(&format!("prepare {} for {authority}", to.entry));
                if let Some(target) = self.find(&to.entry) {
                    self.send(
                        index,
                        target,
                        Delivery::Prepare { predecessor: index, to, authority },
                    );
                }
            }
            OwnerAction::HandOver { to, authority, version, row, lease_age_ms } => {
                self.note(&format!("hand over to {} at {authority}", to.entry));
                let unanswered = OwnerEvent::HandoverDone { authority, accepted: None };
                let refused = OwnerEvent::HandoverDone { authority, accepted: Some(false) };
                let Some(target) = self.find(&to.entry) else {
                    let delivery = Delivery::Event(refused);
                    self.schedule(1, Happening::Deliver { process: index, delivery });
                    return;
                };
                self.send(
                    index,
                    target,
                    Delivery::HandOver {
                        predecessor: index,
                        authority,
                        version,
                        row,
                        lease_age_ms,
                    },
                );
                let delivery = Delivery::Event(unanswered);
                self.schedule(900, Happening::Deliver { process: index, delivery });
            }
            OwnerAction::Acquired { authority, .. } => {
                self.note(&format!("process {index} acquired {authority}"));
                self.acquired.push((self.now, authority));
            }
            OwnerAction::Lost => {
                self.note(&format!("process {index} lost"));
                self.lost += 1;
            }
        }
    }

    fn find(&self, entry: &EntryId) -> Option<usize> {
        self.processes
            .iter()
            .position(|process| process.as_ref().is_some_and(|p| p.member.entry == *entry))
    }

    fn call_platform(&mut self, index: usize, call: PlatformCall, failure: OwnerEvent) {
        let Some(slot) = self.processes[index].as_ref().map(|process| process.slot) else { return };
        if self.platform_cut[slot] > self.now {
            // A refused connection fails at once, a dropped packet after a timeout.
            let after = if self.random(2) == 0 { 1 } else { 1_000 };
            let delivery = Delivery::Event(failure);
            self.schedule(after, Happening::Deliver { process: index, delivery });
            return;
        }
        if !self.is_lost() {
            let delay = self.delay();
            self.schedule(delay, Happening::Platform { caller: index, call });
        }
        if self.random(3) == 0 && self.loss.1 > self.now {
            let after = self.random(600);
            let delivery = Delivery::Event(failure);
            self.schedule(after, Happening::Deliver { process: index, delivery });
        }
    }

    /// Sends a message from one process to another.
    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        let slot = |index: usize| self.processes[index].as_ref().map(|process| process.slot);
        let (Some(from), Some(target)) = (slot(from), slot(to)) else { return };
        let cut = self.peer_cut[from] > self.now || self.peer_cut[target] > self.now;
        if cut || self.is_lost() {
            return;
        }
        let delay = self.delay();
        self.schedule(delay, Happening::Deliver { process: to, delivery });
    }

    /// Reports to every process which entries answer at the other addresses, and
    /// which VMs the platform's list no longer contains.
    fn report_peers(&mut self) {
        let running: Vec<usize> = self.slots.iter().flatten().copied().collect();
        for &caller in &running {
            let Some(process) = self.processes[caller].as_ref() else { continue };
            let asked_at = process.clock(self.now);
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
                    OwnerEvent::PeerAnswered { entry, address, asked_at, authority, may_hold };
                let index = self.slots[peer.slot].unwrap_or(caller);
                self.send(index, caller, Delivery::Event(event));
            }
            for vm in self.gone_vms.clone() {
                let delivery = Delivery::Event(OwnerEvent::VmRemoved { vm });
                self.schedule(1, Happening::Deliver { process: caller, delivery });
            }
        }
    }
}
