//! Rules of the ownership state machine, one per test.

use coord::owner::{
    MAX_PROMISE_TENURE_MS, OwnerAction, OwnerEvent, Ownership, PROMISE_TTL_MS, WriteResult,
};
use coord::row::{EntryMember, OwnerRow};
use model::authority::OwnerAuthority;
use model::name::{DomainName, EntryId};
use model::time::ClockMillis;

fn member(name: &str) -> EntryMember {
    let (address, vm) = (format!("{name}:1").into(), format!("vm-{name}").into());
    EntryMember { entry: EntryId::from(name), address, vm }
}

fn row(term: u64, renewal: u64, holder: &str, voters: &[&str], candidates: &[&str]) -> OwnerRow {
    OwnerRow {
        authority: OwnerAuthority { term, handover: 0 },
        holder: (!holder.is_empty()).then(|| member(holder)),
        renewal,
        voters: voters.iter().map(|name| member(name)).collect(),
        candidates: candidates.iter().map(|name| member(name)).collect(),
    }
}

/// One state machine and a platform that answers at once unless it is unreachable.
struct Bench {
    machine: Ownership,
    now: u64,
    version: u64,
    row: Option<OwnerRow>,
    away: bool,
    /// Writes that the platform answers before it becomes unreachable.
    replies: usize,
    /// Actions other than reads and writes.
    actions: Vec<OwnerAction>,
    /// Rows of all writes that were sent.
    writes: Vec<OwnerRow>,
}

impl Bench {
    fn new(name: &str, row: Option<OwnerRow>) -> Self {
        let machine = Ownership::new(DomainName::from("d"), member(name), ClockMillis(1_000));
        let version = u64::from(row.is_some());
        let (actions, writes) = (Vec::new(), Vec::new());
        Self {
            machine,
            now: 1_000,
            version,
            row,
            away: false,
            replies: usize::MAX,
            actions,
            writes,
        }
    }

    /// Creates a holder of term 1 whose row lists these voters besides itself.
    fn holder(voters: &[&str]) -> Self {
        let mut bench = Self::new("a", None);
        bench.run(100);
        let present = bench.row.as_mut().expect("claimed");
        present.voters.extend(voters.iter().map(|name| member(name)));
        bench.version += 1;
        bench.run(1_000);
        bench.take();
        bench
    }

    fn on(&mut self, event: OwnerEvent) {
        let actions = self.machine.handle_event(ClockMillis(self.now), event);
        self.carry(actions);
    }

    fn carry(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Read { token } if !self.away => {
                    let row = self.row.clone().map(|row| (self.version, Box::new(row)));
                    self.on(OwnerEvent::ReadDone { token, row });
                }
                OwnerAction::Write { token, version, row } => {
                    self.writes.push((*row).clone());
                    if self.away || self.replies == 0 {
                        self.away = true;
                        continue;
                    }
                    self.replies -= 1;
                    let result = if version == self.version {
                        self.version += 1;
                        self.row = Some(*row);
                        WriteResult::Committed { version: self.version }
                    } else {
                        let row = self.row.clone().map(Box::new);
                        WriteResult::Conflict { version: self.version, row }
                    };
                    self.on(OwnerEvent::WriteDone { token, result });
                }
                OwnerAction::Read { .. } => {}
                other => self.actions.push(other),
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += 50;
            self.on(OwnerEvent::Tick);
        }
    }

    /// Runs and answers every request for a promise.
    fn run_with_promises(&mut self, millis: u64, given: bool) {
        for _ in 0..millis / 50 {
            self.run(50);
            for action in self.take() {
                let OwnerAction::RequestPromise { token, voter, .. } = action else {
                    self.actions.push(action);
                    continue;
                };
                self.on(OwnerEvent::PromiseReply { token, voter: voter.entry, given });
            }
        }
    }

    fn take(&mut self) -> Vec<OwnerAction> {
        std::mem::take(&mut self.actions)
    }

    fn lease(&self) -> Option<(u64, u32)> {
        let authority = self.machine.leased_authority(ClockMillis(self.now))?;
        Some((authority.term, authority.handover))
    }

    fn see(&mut self, name: &str, address: &str, asked: u64) {
        self.see_as(name, address, asked, OwnerAuthority::default(), false);
    }

    /// Reports the answer of a process that knows the authority of a handover.
    fn see_state(&mut self, name: &str, address: &str, handover: u32, may_hold: bool) {
        let authority = OwnerAuthority { term: 1, handover };
        self.see_as(name, address, self.now - 10, authority, may_hold);
    }

    fn see_as(
        &mut self,
        name: &str,
        address: &str,
        asked: u64,
        authority: OwnerAuthority,
        may_hold: bool,
    ) {
        let (entry, address) = (EntryId::from(name), format!("{address}:1"));
        let asked_at = ClockMillis(asked);
        self.on(OwnerEvent::PeerAnswered { entry, address, asked_at, authority, may_hold });
    }

    fn promise(&mut self, holder: &str, term: u64) -> bool {
        let authority = OwnerAuthority { term, handover: 0 };
        let holder = EntryId::from(holder);
        self.machine.handle_promise_request(
            ClockMillis(self.now),
            &holder,
            authority,
            PROMISE_TTL_MS,
        )
    }

    /// Returns the authority and the successor of the handover that was sent, if any.
    fn offered(&mut self) -> Option<(OwnerAuthority, String)> {
        self.take().into_iter().find_map(|action| match action {
            OwnerAction::HandOver { authority, to, .. } => Some((authority, to.entry.to_string())),
            _ => None,
        })
    }
}

/// Guards against an entry that waits for a lease to end although the row does
/// not exist yet or was released.
#[test]
fn claims_at_once_without_holder() {
    for row in [None, Some(row(4, 9, "", &["b"], &[]))] {
        let term = row.as_ref().map_or(1, |_| 5);
        let mut bench = Bench::new("a", row);
        bench.run(50);
        assert_eq!(bench.lease(), Some((term, 0)));
    }
}

/// Guards against a claim before the holder's lease has ended by any clock, and
/// against candidates that delay a claim because each join changes the row.
#[test]
fn voter_claims_after_the_margin() {
    let mut bench = Bench::new("a", Some(row(1, 5, "b", &["a", "b"], &[])));
    for candidate in 0..21 {
        bench.run(100);
        let name = format!("c{candidate}");
        bench.row.as_mut().expect("row").candidates.push(member(&name));
        bench.version += 1;
    }
    assert_eq!(bench.writes.len(), 0, "claimed 2.05 s after it saw the row");
    bench.run(500);
    assert_eq!(bench.lease(), Some((2, 0)));
    assert_eq!(bench.writes[0].voters.len(), 23);
}

/// Guards against a candidate that claims beside a live holder.
///
/// The holder may have handed over to a voter, or to a process that replaced
/// one, before it died. Also guards against a domain that stays without owner
/// because the proofs of death never come.
#[test]
fn candidate_waits_for_proofs_or_the_bound() {
    let present = row(1, 5, "b", &["b", "c"], &["a"]);
    let mut bench = Bench::new("a", Some(present.clone()));
    bench.run(3_000);
    bench.see("b2", "b", 3_000);
    bench.run(3_000);
    assert_eq!(bench.writes.len(), 0, "the voter c may have been given the domain");
    bench.see("c2", "c", 500);
    bench.run(3_000);
    assert_eq!(bench.writes.len(), 0, "the answer may be of a process before c");
    bench.on(OwnerEvent::VmRemoved { vm: "vm-c".to_owned() });
    bench.run(500);
    assert_eq!(bench.writes.len(), 0, "b2 may have been given the domain before c died");
    bench.see("b2", "b", bench.now);
    bench.run(500);
    assert_eq!(bench.lease(), Some((2, 0)));
    assert_eq!(bench.row.expect("row").voters.as_slice(), [member("a")]);

    let mut bench = Bench::new("a", Some(present));
    bench.run(3_700_000);
    assert_eq!(bench.writes.len(), 0, "claimed within the bound");
    bench.run(100_000);
    assert_eq!(bench.lease(), Some((2, 0)));
}

/// Guards against the loss of ownership because the reply to a renewal was lost,
/// and against a lease that starts with the read that showed the renewal instead
/// of with the write.
#[test]
fn lost_reply_is_read_back() {
    let mut bench = Bench::holder(&["b"]);
    bench.away = true;
    let written = bench.writes.len();
    while bench.writes.len() == written {
        bench.run(50);
    }
    let asked = bench.now;
    bench.row = bench.writes.last().cloned();
    bench.version += 1;
    bench.run(250);
    bench.away = false;
    bench.run(50);
    bench.away = true;
    bench.run(asked + 1_950 - bench.now);
    assert_eq!(bench.lease(), Some((1, 0)));
    bench.run(50);
    assert_eq!(bench.lease(), None);
    assert!(bench.actions.contains(&OwnerAction::Lost));
}

/// Guards against a holder that ends its ownership because a candidate's join
/// conflicted with its renewal, or that continues after another entry claimed.
#[test]
fn conflict_with_a_candidate_is_not_a_claim() {
    let mut bench = Bench::holder(&["b"]);
    bench.row.as_mut().expect("row").candidates.push(member("c"));
    bench.version += 1;
    bench.run(600);
    assert!(bench.take().is_empty());
    assert_eq!(bench.row.as_ref().expect("row").voters.len(), 3);
    bench.row = Some(row(2, 1, "b", &["a", "b"], &[]));
    bench.version += 1;
    bench.run(600);
    assert_eq!((bench.lease(), bench.take()), (None, vec![OwnerAction::Lost]));
}

/// Guards against a lease by promises that lasts longer than a promise, which
/// counts from its request, or than `CUT_OFF_BOUND_MS` after the last renewal.
#[test]
fn promises_extend_the_lease_to_the_bound() {
    let mut bench = Bench::holder(&["b", "c"]);
    bench.away = true;
    bench.run_with_promises(60_000, true);
    assert_eq!(bench.lease(), Some((1, 0)));

    let mut late = Bench::holder(&["b"]);
    late.away = true;
    let token = loop {
        late.run(50);
        if let [OwnerAction::RequestPromise { token, .. }] = late.take()[..] {
            break token;
        }
    };
    let asked = late.now;
    late.run(500);
    let voter = EntryId::from("b");
    late.on(OwnerEvent::PromiseReply { token, voter, given: true });
    late.run(asked + PROMISE_TTL_MS - 50 - late.now);
    assert_eq!(late.lease(), Some((1, 0)));
    late.run(50);
    assert_eq!(late.lease(), None, "the promise counts from the request");

    let mut alone = Bench::holder(&[]);
    alone.away = true;
    alone.run(MAX_PROMISE_TENURE_MS - 1_000);
    assert_eq!(alone.lease(), Some((1, 0)));
    alone.run(1_000);
    assert_eq!(alone.lease(), None);
}

/// Guards against a lease by promises without the promise of a candidate that a
/// write without a reply may have made a voter.
#[test]
fn unanswered_promotion_needs_a_promise() {
    let mut bench = Bench::holder(&["b"]);
    bench.row.as_mut().expect("row").candidates.push(member("c"));
    bench.version += 1;
    // The renewal conflicts; the write that promotes the candidate gets no reply.
    bench.replies = 1;
    let mut names = Vec::new();
    while names.is_empty() {
        bench.run(50);
        names.extend(bench.take().into_iter().filter_map(|action| match action {
            OwnerAction::RequestPromise { voter, .. } => Some(voter.entry.to_string()),
            _ => None,
        }));
    }
    assert_eq!(names, ["b", "c"]);
}

/// Guards against two owners after a handover: the predecessor must not act from
/// the offer on, unless the successor refuses.
#[test]
fn handover_suspends_the_lease() {
    for (accepted, lease) in [(Some(false), Some((1, 0))), (Some(true), None), (None, None)] {
        let mut bench = Bench::holder(&["b"]);
        bench.away = true;
        bench.run_with_promises(1_500, false);
        let (authority, to) = bench.offered().expect("offer");
        assert_eq!((authority.term, authority.handover, to.as_str()), (1, 1, "b"));
        assert_eq!(bench.lease(), None);
        bench.on(OwnerEvent::HandoverDone { authority, accepted });
        assert_eq!(bench.lease(), lease, "{accepted:?}");
    }
}

/// Guards against a drain that leaves the row to its timeout although all
/// entries refused the domain, or that releases the row although an entry that
/// has not answered may have accepted it.
#[test]
fn drain_releases_only_after_refusals() {
    let mut bench = Bench::holder(&["b", "c"]);
    bench.on(OwnerEvent::Drain);
    for number in 1..=2 {
        let (authority, _) = bench.offered().expect("offer");
        assert_eq!(authority.handover, number);
        bench.on(OwnerEvent::HandoverDone { authority, accepted: Some(false) });
    }
    assert_eq!(bench.row.as_ref().expect("row").holder, None);
    assert!(bench.machine.is_drained() && bench.lease().is_none());

    for is_told in [false, true] {
        let mut bench = Bench::holder(&["b", "c"]);
        bench.on(OwnerEvent::Drain);
        let (authority, _) = bench.offered().expect("offer");
        let written = bench.writes.len();
        if is_told {
            bench.on(OwnerEvent::HandoverDone { authority, accepted: None });
        }
        bench.run(10_000);
        assert!(bench.machine.is_drained());
        assert_eq!(bench.writes.len(), written);
    }
}

/// Guards against a successor that takes over wrongly.
///
/// The lease of a voter starts with its own reads, so that a delayed handover
/// gives none. A handover is refused by a draining entry, under an old term, and
/// by an entry that is neither a voter nor prepared.
#[test]
fn take_over_rests_on_the_successors_own_reads() {
    let given = row(1, 6, "b", &["a", "b"], &[]);
    let authority = OwnerAuthority { term: 1, handover: 1 };
    let take = |late: u64, draining: bool, term: u64, voters: &[&str]| {
        let mut bench = Bench::new("a", Some(row(term, 5, "b", voters, &[])));
        bench.run(500);
        bench.row = Some(given.clone());
        bench.version += 1;
        bench.run(300);
        bench.away = true;
        bench.run(late);
        if draining {
            bench.on(OwnerEvent::Drain);
        }
        let row = Box::new(row(1, 6, "b", voters, &[]));
        let actions = bench.machine.accept_handover(ClockMillis(bench.now), authority, 2, row, 0);
        (actions.is_empty(), bench.lease())
    };
    assert_eq!(take(0, false, 1, &["a", "b"]), (false, Some((1, 1))));
    assert_eq!(take(2_000, false, 1, &["a", "b"]), (false, None));
    assert_eq!(take(0, true, 1, &["a", "b"]), (true, None));
    assert_eq!(take(0, false, 2, &["a", "b"]), (true, None));
    assert_eq!(take(0, false, 1, &["b"]), (true, None));
}

/// Guards against a late successor that acts without every promise.
///
/// Its lease has not begun, so that a dead voter may have claimed before it
/// died, and a candidate may have been made a voter by the predecessor.
#[test]
fn late_successor_needs_every_promise() {
    for last in ["c", "d"] {
        let mut bench = Bench::new("a", Some(row(1, 5, "b", &["a", "b", "c"], &["d"])));
        bench.run(500);
        bench.away = true;
        bench.run(3_000);
        let given = Box::new(row(1, 6, "b", &["a", "b", "c"], &["d"]));
        let authority = OwnerAuthority { term: 1, handover: 1 };
        let actions = bench.machine.accept_handover(ClockMillis(bench.now), authority, 2, given, 0);
        bench.carry(actions);
        bench.on(OwnerEvent::VmRemoved { vm: "vm-c".to_owned() });
        let mut asked = bench.take();
        assert_eq!(asked.len(), 3, "{asked:?}");
        asked.sort_by_key(|action| {
            matches!(action, OwnerAction::RequestPromise { voter, .. } if voter.entry.as_str() == last)
        });
        for action in asked {
            let OwnerAction::RequestPromise { token, voter, .. } = action else { continue };
            assert_eq!(bench.lease(), None, "{} has not promised", voter.entry);
            bench.on(OwnerEvent::PromiseReply { token, voter: voter.entry, given: true });
        }
        assert_eq!(bench.lease(), Some((1, 1)));
    }
}

/// Guards against a promise of a voter that can reach the platform and so may
/// claim, and against a claim before a promise has ended.
#[test]
fn voter_promises_only_without_contact() {
    let mut bench = Bench::new("a", Some(row(2, 5, "b", &["a", "b"], &[])));
    bench.run(500);
    assert!(!bench.promise("b", 2), "the voter has contact");
    bench.away = true;
    bench.run(800);
    assert!(!bench.promise("b", 1) && !bench.promise("c", 2), "an old owner asks");
    assert!(bench.promise("b", 2));
    bench.away = false;
    bench.run(PROMISE_TTL_MS + 200);
    assert_eq!(bench.writes.len(), 0, "claimed within its promise");
    bench.run(500);
    assert_eq!(bench.lease(), Some((3, 0)));
}

/// Guards against two owners because an entry promises or accepts a handover
/// while its own claim, which got no reply, may still take effect.
#[test]
fn no_promise_beside_an_unanswered_claim() {
    let mut bench = Bench::new("a", Some(row(1, 5, "b", &["a", "b"], &[])));
    bench.run(2_000);
    let mut actions = Vec::new();
    while !actions.iter().any(|action| matches!(action, OwnerAction::Write { .. })) {
        bench.now += 50;
        actions = bench.machine.handle_event(ClockMillis(bench.now), OwnerEvent::Tick);
        if let [OwnerAction::Read { token }] = actions[..] {
            let row = bench.row.clone().map(|row| (bench.version, Box::new(row)));
            let event = OwnerEvent::ReadDone { token, row };
            actions = bench.machine.handle_event(ClockMillis(bench.now), event);
        }
    }
    bench.away = true;
    bench.run(1_000);
    assert!(!bench.promise("b", 1));
    let (given, authority) =
        (row(1, 6, "b", &["a", "b"], &[]), OwnerAuthority { term: 1, handover: 1 });
    let actions =
        bench.machine.accept_handover(ClockMillis(bench.now), authority, 2, Box::new(given), 0);
    assert!(actions.is_empty(), "the claim may still replace the row");
}

/// Guards against a dead voter without a proof of death whose promise is
/// required for ever: the holder must remove it from the row.
#[test]
fn silent_voter_leaves_the_row() {
    let mut bench = Bench::holder(&["b", "c"]);
    for _ in 0..11 {
        bench.run(1_000);
        let now = bench.now;
        bench.see("b", "b", now);
    }
    let voters = bench.row.expect("row").voters;
    assert_eq!(voters.as_slice(), [member("a"), member("b")]);
}

/// Creates a holder that handed over to b and got the domain back; also returns
/// the row of a write of its first tenure that got no reply.
fn holder_again(read_back: bool) -> (Bench, OwnerRow) {
    let mut bench = Bench::holder(&["b"]);
    bench.away = true;
    let written = bench.writes.len();
    while bench.writes.len() == written {
        bench.run(50);
    }
    let earlier = bench.writes.last().cloned().expect("a write");
    bench.run_with_promises(1_500, false);
    let (authority, _) = bench.offered().expect("offer");
    bench.on(OwnerEvent::HandoverDone { authority, accepted: Some(true) });
    if read_back {
        (bench.row, bench.version) = (Some(earlier.clone()), bench.version + 1);
    }
    let given = Box::new(row(1, earlier.renewal - 1, "b", &["a", "b"], &[]));
    let (authority, now) = (OwnerAuthority { term: 1, handover: 2 }, ClockMillis(bench.now));
    let actions = bench.machine.accept_handover(now, authority, bench.version, given, 0);
    assert!(!actions.is_empty(), "refused");
    bench.carry(actions);
    bench.take();
    (bench, earlier)
}

/// Guards against a write of an earlier tenure that counts as renewal of the
/// current one: another entry may have claimed after it.
#[test]
fn write_of_an_earlier_tenure_renews_nothing() {
    let (mut bench, earlier) = holder_again(true);
    assert_eq!(bench.lease(), None, "the predecessor's row is too old");
    // The read is answered; the write that follows it is not.
    (bench.away, bench.replies) = (false, 0);
    let written = bench.writes.len();
    for _ in 0..10 {
        bench.run(50);
        if bench.writes.len() > written {
            break;
        }
        assert_eq!(bench.lease(), None);
    }
    assert_eq!(bench.row, Some(earlier));
    assert!(bench.writes.len() > written, "the row was read");
    assert_eq!(bench.writes[written].authority, OwnerAuthority { term: 1, handover: 2 });
    assert_eq!(bench.lease(), None, "the read showed only the earlier tenure");

    for read_back in [false, true] {
        let (mut bench, _) = holder_again(read_back);
        bench.away = false;
        bench.run(500);
        assert_eq!(bench.lease(), Some((1, 2)));
        let row = bench.row.as_ref().expect("row");
        assert_eq!(row.authority, OwnerAuthority { term: 1, handover: 2 });
    }
}

/// Guards against a restarted process that accepts a handover which it has not
/// prepared for, or which arrives after its preparation has ended.
#[test]
fn replacement_takes_over_only_when_prepared() {
    let authority = |handover| OwnerAuthority { term: 1, handover };
    let take = |prepared: u32, late: u64, drains: bool, offered: u32| {
        let mut bench = Bench::new("a", None);
        bench.away = true;
        bench.run(100);
        let now = ClockMillis(bench.now);
        let is_prepared = bench.machine.prepare_handover(now, &member("a"), authority(prepared));
        assert_eq!(bench.machine.may_hold(now), is_prepared);
        bench.run(late);
        if drains {
            bench.on(OwnerEvent::Drain);
        }
        let (now, given) = (ClockMillis(bench.now), Box::new(row(1, 6, "b", &[], &[])));
        let actions = bench.machine.accept_handover(now, authority(offered), 2, given, 3_000);
        assert_eq!(bench.machine.may_hold(now), !actions.is_empty() || late < 2_000);
        (is_prepared, bench.lease())
    };
    assert_eq!(take(2, 0, false, 2), (true, Some((1, 2))));
    assert_eq!(take(2, 1_950, false, 2), (true, Some((1, 2))));
    assert_eq!(take(2, 2_000, false, 2), (true, None));
    assert_eq!(take(2, 0, true, 2), (true, None));
    assert_eq!(take(2, 0, false, 3), (true, None));
    let mut bench = Bench::new("a", None);
    let other = EntryMember { entry: EntryId::from("a2"), ..member("a") };
    assert!(!bench.machine.prepare_handover(ClockMillis(bench.now), &other, authority(1)));
}

/// Guards against a candidate that claims beside a successor.
///
/// A process may accept a handover after it has answered that it holds nothing,
/// so that the candidate has to call each process twice.
#[test]
fn candidate_calls_every_process_twice() {
    let mut bench = Bench::new("a", Some(row(1, 5, "b", &["b", "c"], &["a"])));
    bench.run(3_000);
    bench.see("b2", "b", bench.now - 10);
    bench.run(500);
    bench.see("c2", "c", bench.now - 10);
    bench.run(500);
    assert_eq!(bench.writes.len(), 0, "b2 was not called after c died");
    bench.see("b2", "b", bench.now - 10);
    bench.run(500);
    assert_eq!(bench.writes.len(), 0, "c2 may have handed over to b2 before c2 answered");
    bench.see_state("b2", "b", 3, true);
    bench.see_state("b2", "b", 3, false);
    bench.see("c2", "c", bench.now - 10);
    bench.run(500);
    assert_eq!(bench.writes.len(), 0, "b2 held the domain between the calls");
    bench.see_state("b2", "b", 3, false);
    bench.run(500);
    assert_eq!(bench.writes.len(), 0, "c2 was not called after b2 had changed");
    bench.see("c2", "c", bench.now - 10);
    bench.run(500);
    assert_eq!(bench.lease(), Some((2, 0)));
}

/// Guards against requests that are forwarded to a former holder: after a
/// handover while the platform is unreachable, the row still names it.
#[test]
fn forwarding_follows_a_handover() {
    let mut bench = Bench::new("a", Some(row(1, 5, "b", &["a", "b", "c"], &[])));
    bench.run(500);
    bench.away = true;
    bench.run(800);
    let authority = OwnerAuthority { term: 1, handover: 1 };
    let (now, successor) = (ClockMillis(bench.now), EntryId::from("c"));
    assert!(bench.machine.handle_promise_request(now, &successor, authority, PROMISE_TTL_MS));
    assert_eq!(bench.machine.known_holder(), Some(&member("c")));
    bench.away = false;
    bench.row = Some(row(2, 6, "b", &["b"], &[]));
    bench.version += 1;
    bench.run(1_000);
    assert_eq!(bench.machine.known_holder(), Some(&member("b")));
}
