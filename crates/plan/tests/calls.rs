//! Calls for advice that are scarce: few entries make them, one at a time each.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};
use plan::advice::{AdviceDispatcher, CallQueue, CallTimes};
use plan::config::{AdviceCost, PlanConfig};
use plan::decision::{AdviceAnswer, AdviceRequest, PlanDecision, StartOrder};
use plan::job::{JobSpec, StepKey, StepSpec};
use plan::worker::{EndKind, StartAnswer};
use support::{PlannerFixture, advice_requests, config, cpu, job, rule, step, worker};

/// Simulated time between two decisions, in milliseconds.
const TICK_MS: u64 = 5;
/// Time for which jobs are submitted, in milliseconds.
const TRAFFIC_MS: u64 = 20_000;
/// Time after the last job within which all accepted jobs have to start, in milliseconds.
const FINISH_MS: u64 = 14_000;
const WORKERS: usize = 48;

/// A kind of job, which comes at a fixed rate.
struct JobKind {
    queue: &'static str,
    interval_ms: u64,
    step: StepSpec,
    /// Share of the workers that may run a step, in per cent.
    eligible_percent: u64,
}

fn kinds() -> [JobKind; 3] {
    let estimated = |estimate_ms, step: StepSpec| StepSpec { estimate_ms, ..step };
    let gang = StepSpec { gang: true, ..step(8, cpu(2_250)) };
    [
        JobKind {
            queue: "note",
            interval_ms: 26,
            step: estimated(800, step(2, cpu(650))),
            eligible_percent: 70,
        },
        JobKind {
            queue: "keepsake",
            interval_ms: 630,
            step: estimated(5_000, gang),
            eligible_percent: 25,
        },
        JobKind {
            queue: "class",
            interval_ms: 98,
            step: estimated(2_200, step(10, cpu(450))),
            eligible_percent: 45,
        },
    ]
}

/// Returns queues whose calls take about two seconds of the service's time in a second.
fn scarce_config() -> PlanConfig {
    let mut config = config();
    let cost = |call_ms, worker_ms| Some(AdviceCost { call_ms, worker_ms, valid_ms: 2_500 });
    let costs =
        [("note", cost(9.3, 0.13)), ("keepsake", cost(570.0, 8.1)), ("class", cost(53.0, 0.75))];
    for (priority, (queue, cost)) in (0..).zip(costs) {
        config.queues.insert(queue.into(), rule(priority, cost));
    }
    config
}

/// Simulation of the entries, the advice service and the workers.
struct CallSimulation {
    fixture: PlannerFixture,
    dispatcher: AdviceDispatcher,
    /// Calls of each entry, with the times of their answers.
    calls: BTreeMap<ArcStr, VecDeque<(u64, AdviceRequest)>>,
    running: Vec<(u64, StartOrder)>,
    submitted: u64,
    accepted: BTreeSet<JobId>,
    started: BTreeSet<JobId>,
    refused: BTreeMap<&'static str, u32>,
}

impl CallSimulation {
    fn new(entries: usize) -> Self {
        let names: Vec<_> = (0..entries).map(|index| ArcStr::from(format!("e{index}"))).collect();
        let mut dispatcher = AdviceDispatcher::default();
        dispatcher.set_entries(names.iter());
        Self {
            fixture: PlannerFixture::new(WORKERS, scarce_config()),
            dispatcher,
            calls: names.into_iter().map(|name| (name, VecDeque::new())).collect(),
            running: Vec::new(),
            submitted: 0,
            accepted: BTreeSet::new(),
            started: BTreeSet::new(),
            refused: BTreeMap::new(),
        }
    }

    fn submit_due(&mut self) {
        let now = self.fixture.now_ms;
        for kind in kinds() {
            if !(now / TICK_MS).is_multiple_of((kind.interval_ms / TICK_MS).max(1)) {
                continue;
            }
            self.submitted += 1;
            let spec =
                job(&format!("{}{}", kind.queue, self.submitted), kind.queue, vec![kind.step]);
            let storing = CallTimes::default();
            let planner = &self.fixture.planner;
            if planner.find_call_refusal(&spec, &self.dispatcher, &storing).is_some() {
                *self.refused.entry(kind.queue).or_default() += 1;
            } else {
                self.accepted.insert(spec.id.clone());
                self.fixture.add(spec);
            }
        }
    }

    fn tick(&mut self) {
        self.fixture.now_ms += TICK_MS;
        let now = self.fixture.now_ms;
        self.answer_calls(now);
        self.fixture.end_due_runs(&mut self.running);
        self.fixture.store();
        self.fixture.planner.set_call_queue(self.dispatcher.queue());
        for decision in self.fixture.planner.decide(now, now) {
            match decision {
                PlanDecision::Start(order) => {
                    self.fixture.answer(&order, StartAnswer::Started);
                    self.started.insert(order.job.id.clone());
                    let estimate_ms = order.job.steps[order.task.step.step as usize].estimate_ms;
                    self.running.push((now + estimate_ms, order));
                }
                PlanDecision::RequestAdvice(request) => self.dispatcher.push(request, now),
                PlanDecision::Stop(order) => panic!("nothing is cancelled: {order:?}"),
                PlanDecision::Pace(order) => panic!("nothing is paced: {order:?}"),
            }
        }
        self.send_calls(now);
    }

    fn send_calls(&mut self, now: u64) {
        while let Some((entry, request)) = self.dispatcher.next_call(now) {
            let calls = self.calls.get_mut(&entry).expect("an entry");
            let begins_ms = calls.back().map_or(now, |(at_ms, _)| *at_ms);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
            let answered_ms = begins_ms + request.duration_ms.ceil() as u64;
            calls.push_back((answered_ms, request));
        }
    }

    fn answer_calls(&mut self, now: u64) {
        let mut answers = Vec::new();
        for (entry, calls) in &mut self.calls {
            while let Some((_, request)) = calls.pop_front_if(|(at_ms, _)| *at_ms <= now) {
                answers.push((entry.clone(), request));
            }
        }
        for (entry, request) in answers {
            self.dispatcher.record_result(&entry, true, now);
            let id = request.step.job.as_str();
            let percent = kinds()
                .into_iter()
                .find(|kind| id.starts_with(kind.queue))
                .map_or(100, |kind| kind.eligible_percent);
            let is_eligible = |name: &&WorkerName| {
                let bytes = id.bytes().chain(name.as_str().bytes());
                let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
                });
                (hash >> 32) % 100 < percent
            };
            let eligible = request.workers.iter().filter(is_eligible);
            let eligible = eligible.map(|name| (name.clone(), ArcStr::from("ticket"))).collect();
            let answer = AdviceAnswer { step: request.step, considered: request.workers, eligible };
            self.fixture.planner.apply_advice(&answer, now);
        }
    }

    /// Plays the load; panics if an accepted job has not started in the end, or if a kind of job
    /// is never served.
    fn play(&mut self) {
        while self.fixture.now_ms < TRAFFIC_MS {
            self.submit_due();
            self.tick();
        }
        while self.fixture.now_ms < TRAFFIC_MS + FINISH_MS {
            self.tick();
        }
        println!("{} accepted, refused {:?}", self.accepted.len(), self.refused);
        let waiting: Vec<_> = self.accepted.difference(&self.started).collect();
        assert!(waiting.is_empty(), "accepted jobs have not started: {waiting:?}");
        for kind in kinds() {
            let is_served = self.started.iter().any(|id| id.as_str().starts_with(kind.queue));
            assert!(is_served, "no job of queue {} has started", kind.queue);
        }
    }
}

/// Guards against accepted jobs that wait for calls on an idle fleet: the only entry can make less
/// than half of the calls.
#[test]
fn one_entry_starts_what_was_accepted() {
    let mut simulation = CallSimulation::new(1);
    simulation.play();
    assert!(!simulation.refused.is_empty(), "the entry cannot make all calls");
}

/// Guards against the same with two entries, of which one is kept for short calls.
#[test]
fn two_entries_start_what_was_accepted() {
    CallSimulation::new(2).play();
}

/// Guards against jobs that are refused although the entries can make their calls.
#[test]
fn three_entries_refuse_nothing() {
    let mut simulation = CallSimulation::new(3);
    simulation.play();
    assert!(simulation.refused.is_empty(), "{:?}", simulation.refused);
}

/// Returns the names of the jobs that requests are for.
fn requested(requests: &[AdviceRequest]) -> Vec<&str> {
    requests.iter().map(|request| request.step.job.as_str()).collect()
}

/// Returns a queue that takes one request in each decision.
fn narrow_queue() -> CallQueue {
    CallQueue { max_ms: 1.0, ..CallQueue::default() }
}

/// Guards against requests that wait for an entry with workers whose capacity is used meanwhile, and
/// before more urgent ones that come later: a request is made only when an entry is about to be free.
#[test]
fn requests_are_made_when_entries_are_free() {
    let mut fixture = PlannerFixture::new(4, scarce_config());
    let mut full = narrow_queue();
    for priority in 0..3 {
        full.pending.add_call(priority, 10.0);
    }
    fixture.planner.set_call_queue(full);
    fixture.add(job("class", "class", vec![step(1, cpu(1_000))]));
    assert!(fixture.decide().is_empty());
    assert!(fixture.planner.delayed_call_ms() > 0.0, "the call is counted");
    fixture.add(job("note", "note", vec![step(1, cpu(1_000))]));
    fixture.planner.set_call_queue(narrow_queue());
    assert_eq!(requested(&advice_requests(fixture.decide())), ["note"]);
    fixture.planner.set_call_queue(narrow_queue());
    assert_eq!(requested(&advice_requests(fixture.decide())), ["class"]);
    assert!(fixture.planner.delayed_call_ms() < 1.0);
}

/// Guards against a less useful step whose call waits for as long as more useful ones come.
#[test]
fn the_step_that_has_waited_longest_gets_a_part_of_the_calls() {
    let mut fixture = PlannerFixture::new(4, scarce_config());
    fixture.add(job("class", "class", vec![step(1, cpu(1_000))]));
    let mut full = narrow_queue();
    full.pending.add_call(0, 10.0);
    fixture.planner.set_call_queue(full);
    assert!(fixture.decide().is_empty());
    let mut decisions = 0;
    loop {
        decisions += 1;
        assert!(decisions < 60, "the step waits for good");
        for index in 0..2 {
            let id = format!("note{decisions}-{index}");
            fixture.add(job(&id, "note", vec![step(1, cpu(100))]));
        }
        fixture.planner.set_call_queue(narrow_queue());
        let requests = advice_requests(fixture.decide());
        if requested(&requests).contains(&"class") {
            break;
        }
        assert_eq!(requests.len(), 1);
        fixture.advise(&requests[0], &[]);
    }
    assert!(decisions > 10, "it takes a part of the calls only: {decisions}");
}

/// Guards against a gang that never starts, because smaller tasks use the capacity of its workers
/// during each of its calls: workers are reserved for it after two answers that it could not use,
/// also when it is late.
#[test]
fn a_gang_whose_answers_were_of_no_use_gets_workers() {
    let mut fixture = PlannerFixture::new(4, config());
    let gang = StepSpec { gang: true, ..step(2, cpu(8_000)) };
    fixture.add(job("gang", "advised", vec![gang]));
    // The gang is late from now on.
    fixture.now_ms = 4_000;
    let eligible = [worker(0).name, worker(1).name];
    for round in 0..2 {
        let request = advice_requests(fixture.decide()).remove(0);
        fixture.add(job(&format!("small{round}"), "normal", vec![step(16, cpu(2_000))]));
        let small = fixture.run_starts(StartAnswer::Started);
        assert_eq!(small.len(), 16, "the small tasks take all workers");
        fixture.advise(&request, &eligible);
        assert!(fixture.starts().is_empty());
        let mut ended: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for order in small {
            ended.entry(order.worker.clone()).or_default().push(order);
        }
        for orders in ended.into_values() {
            for order in orders {
                fixture.end(&order, EndKind::Done);
            }
        }
        fixture.now_ms += 2_000;
    }
    fixture.add(job("later", "urgent", vec![step(16, cpu(2_000))]));
    let decisions = fixture.decide();
    let small = support::starts(decisions.clone());
    assert_eq!(small.len(), 8, "two workers are left to the gang");
    assert!(small.iter().all(|order| !eligible.contains(&order.worker)));
    let request = advice_requests(decisions).remove(0);
    fixture.advise(&request, &eligible);
    assert_eq!(fixture.starts().len(), 2, "the gang starts");
}

/// Guards against a gang that waits for the workers it knows while others stand free, which it has not
/// asked about.
#[test]
fn a_gang_asks_about_free_workers_before_it_waits() {
    let mut fixture = PlannerFixture::new(2, config());
    let gang = StepSpec { gang: true, ..step(2, cpu(8_000)) };
    fixture.add(job("gang", "advised", vec![gang]));
    let known = [worker(0).name, worker(1).name];
    let service = StepSpec { service: true, ..step(2, cpu(8_000)) };
    for blocking in [step(2, cpu(8_000)), service] {
        let request = advice_requests(fixture.decide()).remove(0);
        fixture.add(job(&format!("block{}", fixture.now_ms), "urgent", vec![blocking.clone()]));
        let orders = fixture.run_starts(StartAnswer::Started);
        fixture.advise(&request, &known);
        assert!(fixture.starts().is_empty(), "the answer is of no use");
        if !blocking.service {
            for order in &orders {
                fixture.end(order, EndKind::Done);
            }
        }
        fixture.now_ms += 2_000;
    }
    assert!(advice_requests(fixture.decide()).is_empty(), "no worker is free");
    for index in 2..9 {
        fixture.planner.set_worker(worker(index));
        fixture.report(&worker(index).name, Vec::new(), Vec::new());
    }
    let request = advice_requests(fixture.decide()).remove(0);
    fixture.advise(&request, &request.workers);
    assert_eq!(fixture.starts().len(), 2);
}

/// Makes two workers busy while a gang that needs both asks about them, so that it cannot use the
/// answers: first with tasks that end, then one of them with `last`, which does not.
fn waste_answers(fixture: &mut PlannerFixture, last: StepSpec) {
    let gang = StepSpec { gang: true, ..step(2, cpu(8_000)) };
    fixture.add(job("gang", "advised", vec![gang]));
    let workers = [worker(0).name, worker(1).name];
    for (blocking, ends) in [(step(2, cpu(8_000)), true), (last, false)] {
        let request = advice_requests(fixture.decide()).remove(0);
        fixture.add(job(&format!("block{}", fixture.now_ms), "urgent", vec![blocking]));
        let orders = fixture.run_starts(StartAnswer::Started);
        fixture.advise(&request, &workers);
        assert!(fixture.starts().is_empty(), "the answer is of no use");
        for order in orders.iter().filter(|_| ends) {
            fixture.end(order, EndKind::Done);
        }
        fixture.now_ms += 2_000;
    }
}

/// Guards against a worker that is kept free for good for a gang that cannot start, because a task on
/// its other worker does not end.
#[test]
fn a_reservation_for_a_gang_ends() {
    let mut fixture = PlannerFixture::new(2, config());
    waste_answers(&mut fixture, step(1, cpu(8_000)));
    fixture.add(job("small", "normal", vec![step(1, cpu(1_000))]));
    assert!(fixture.starts().is_empty(), "the free worker is reserved");
    fixture.now_ms += 12_000;
    assert!(fixture.starts().is_empty(), "the reservation lasts for 15 s");
    fixture.now_ms += 2_000;
    assert!(fixture.starts().is_empty(), "this decision ends it");
    assert_eq!(fixture.starts().len(), 1, "the worker is free for others");
}

/// Guards against a worker that is kept free for a gang that cannot start, because its other worker
/// runs a service, which does not end by itself.
#[test]
fn a_gang_beside_a_service_keeps_no_worker_free() {
    let mut fixture = PlannerFixture::new(2, config());
    waste_answers(&mut fixture, StepSpec { service: true, ..step(1, cpu(8_000)) });
    fixture.add(job("small", "normal", vec![step(1, cpu(1_000))]));
    assert_eq!(fixture.starts().len(), 1);
}

fn request(duration_ms: f64, priority: u32) -> AdviceRequest {
    let step = StepKey { job: "j".into(), occurrence: 0, step: 0 };
    AdviceRequest { step, workers: Vec::new(), duration_ms, priority }
}

/// Returns a dispatcher with one entry.
fn single_entry() -> (AdviceDispatcher, ArcStr) {
    let mut dispatcher = AdviceDispatcher::default();
    let entry = ArcStr::from("e");
    dispatcher.set_entries(std::iter::once(&entry));
    (dispatcher, entry)
}

/// Guards against a long call that waits for as long as short urgent ones come.
#[test]
fn a_long_call_waits_for_short_ones_for_a_bounded_time() {
    let (mut dispatcher, entry) = single_entry();
    dispatcher.push(request(600.0, 1), 0);
    let mut now = 0;
    let sent_ms = loop {
        assert!(now < 10_000, "the long call waits for good");
        dispatcher.push(request(60.0, 0), now);
        let (_, sent) = dispatcher.next_call(now).expect("the entry is free");
        if sent.duration_ms > 100.0 {
            break now;
        }
        now += 60;
        dispatcher.record_result(&entry, true, now);
    };
    assert_eq!(sent_ms, 1_800, "three times its duration");
}

/// Guards against entries that idle while long calls wait: none is reserved for short calls while there
/// are no short calls.
#[test]
fn no_entry_is_reserved_without_short_calls() {
    let mut dispatcher = AdviceDispatcher::default();
    let names = ["a", "b", "c"].map(ArcStr::from);
    dispatcher.set_entries(names.iter());
    let send_long = |dispatcher: &mut AdviceDispatcher, now_ms| {
        for _ in 0..3 {
            dispatcher.push(request(600.0, 1), now_ms);
        }
        std::iter::from_fn(|| dispatcher.next_call(now_ms)).count()
    };
    assert_eq!(send_long(&mut dispatcher, 0), 2, "one entry is kept for short calls");
    for name in &names[1..] {
        dispatcher.record_result(name, true, 600);
    }
    assert_eq!(send_long(&mut dispatcher, 1_500), 3, "there were none for a second");
    assert!(dispatcher.caller_counts().long > 2.0);
    for name in &names {
        dispatcher.record_result(name, true, 2_100);
    }
    dispatcher.push(request(10.0, 0), 2_200);
    let (entry, _) = dispatcher.next_call(2_200).expect("a free entry");
    assert_eq!(entry, "a");
    assert!(dispatcher.caller_counts().long < 2.1, "one is reserved again");
}

/// Guards against an entry that idles between two short calls, and against a short call that waits
/// behind a long one.
#[test]
fn short_calls_are_sent_behind_short_ones() {
    let (mut dispatcher, _) = single_entry();
    for _ in 0..4 {
        dispatcher.push(request(20.0, 0), 0);
    }
    let sent = std::iter::from_fn(|| dispatcher.next_call(0)).count();
    assert_eq!(sent, 3);
    let (mut dispatcher, _) = single_entry();
    dispatcher.push(request(600.0, 1), 0);
    assert!(dispatcher.next_call(0).is_some());
    dispatcher.push(request(20.0, 0), 0);
    assert!(dispatcher.next_call(0).is_none());
}

/// Guards against jobs that are accepted although entries that are slowed make few calls.
#[test]
fn calls_that_take_longer_count_for_fewer_entries() {
    let (mut dispatcher, entry) = single_entry();
    let before = dispatcher.caller_counts();
    for index in 0..200 {
        dispatcher.push(request(50.0, 0), index * 100);
        assert!(dispatcher.next_call(index * 100).is_some());
        dispatcher.record_result(&entry, true, index * 100 + 100);
    }
    let share = dispatcher.caller_counts().short / before.short;
    assert!((0.45..0.6).contains(&share), "calls take twice their time: {share}");
}

/// Returns a planner whose delayed calls take as long as this many long ones.
fn delayed_fixture(calls: usize) -> PlannerFixture {
    let mut fixture = PlannerFixture::new(100, scarce_config());
    let mut full = narrow_queue();
    full.pending.add_call(0, 10.0);
    full.pending.add_call(1, 600.0);
    fixture.planner.set_call_queue(full);
    for index in 0..calls {
        let gang = StepSpec { gang: true, ..step(2, cpu(4_000)) };
        fixture.add(job(&format!("keepsake{index}"), "keepsake", vec![gang]));
    }
    fixture.decide();
    fixture
}

/// Guards against jobs that are accepted although their calls cannot be made in their time, and
/// against others that are refused for it.
#[test]
fn jobs_are_refused_by_the_calls_before_their_own() {
    let (dispatcher, _) = single_entry();
    let storing = CallTimes::default();
    let gang = StepSpec { gang: true, estimate_ms: 5_000, ..step(2, cpu(4_000)) };
    let long = job("long", "keepsake", vec![gang]);
    let fixture = delayed_fixture(1);
    let find = |fixture: &PlannerFixture, spec: &JobSpec, dispatcher: &AdviceDispatcher| {
        fixture.planner.find_call_refusal(spec, dispatcher, &storing)
    };
    assert_eq!(find(&fixture, &long, &dispatcher), None, "one call goes before it");
    let fixture = delayed_fixture(3);
    let refusal = find(&fixture, &long, &dispatcher).expect("three calls go before it");
    assert!(refusal.wait_ms > refusal.limit_ms);
    let urgent = job("urgent", "note", vec![step(1, cpu(100))]);
    assert_eq!(find(&fixture, &urgent, &dispatcher), None, "its call goes first");
    let plain = job("plain", "normal", vec![step(1, cpu(100))]);
    assert_eq!(find(&fixture, &plain, &dispatcher), None, "it needs no call");
    let names = ["a", "b", "c", "d", "e", "f"].map(ArcStr::from);
    let mut many = AdviceDispatcher::default();
    many.set_entries(names.iter());
    assert_eq!(find(&fixture, &long, &many), None, "six entries make the calls in time");
    let mut scheduled = long;
    scheduled.schedule =
        Some(plan::job::JobSchedule { start_ms: 60_000, interval_ms: 500, occurrences: 2 });
    assert_eq!(find(&fixture, &scheduled, &dispatcher), None, "it is due later");
}

/// Guards against a burst of jobs that are all accepted before the first of them is stored.
#[test]
fn jobs_that_are_being_stored_count() {
    let (dispatcher, _) = single_entry();
    let fixture = delayed_fixture(0);
    let gang = StepSpec { gang: true, ..step(2, cpu(4_000)) };
    let long = job("long", "keepsake", vec![gang]);
    let calls = fixture.planner.first_calls(&long);
    let mut storing = CallTimes::default();
    for _ in 0..3 {
        storing.add_all(&calls);
    }
    assert!(fixture.planner.find_call_refusal(&long, &dispatcher, &storing).is_some());
    for _ in 0..3 {
        storing.remove_all(&calls);
    }
    assert!(fixture.planner.find_call_refusal(&long, &dispatcher, &storing).is_none());
}

/// Guards against jobs that are all accepted after a takeover, when no worker has reported yet and so
/// no call is requested.
#[test]
fn jobs_count_before_any_worker_has_reported() {
    let (dispatcher, _) = single_entry();
    let mut fixture = PlannerFixture::unreported(100, scarce_config());
    let gang = StepSpec { gang: true, ..step(2, cpu(4_000)) };
    let spec = |index| job(&format!("keepsake{index}"), "keepsake", vec![gang.clone()]);
    for index in 0..3 {
        fixture.add(spec(index));
    }
    assert!(fixture.decide().is_empty());
    let storing = CallTimes::default();
    assert!(fixture.planner.find_call_refusal(&spec(3), &dispatcher, &storing).is_some());
}

/// Guards against jobs that are accepted as if each step needed one call, where gangs need several:
/// the capacity of their workers is used while they ask.
#[test]
fn calls_that_have_to_be_repeated_count() {
    let (dispatcher, _) = single_entry();
    let storing = CallTimes::default();
    let gang = StepSpec { gang: true, ..step(2, cpu(4_000)) };
    let mut fixture = PlannerFixture::new(4, scarce_config());
    let spec = job("next", "keepsake", vec![gang.clone()]);
    let once_ms = fixture.planner.first_calls(&spec).sum_up_to(u32::MAX).long;
    for round in 0..20 {
        fixture.add(job(&format!("gang{round}"), "keepsake", vec![gang.clone()]));
        for _ in 0..2 {
            let request = advice_requests(fixture.decide()).remove(0);
            fixture.advise(&request, &request.workers);
            // The tickets expire before they are used.
            fixture.now_ms += 2_600;
        }
        let request = advice_requests(fixture.decide()).remove(0);
        fixture.advise(&request, &request.workers);
        let orders = fixture.run_starts(StartAnswer::Started);
        assert_eq!(orders.len(), 2);
        for order in orders {
            fixture.end(&order, EndKind::Done);
        }
    }
    let expected_ms = fixture.planner.first_calls(&spec).sum_up_to(u32::MAX).long;
    assert!(expected_ms > 1.5 * once_ms, "{expected_ms} of {once_ms} ms");
    assert!(fixture.planner.find_call_refusal(&spec, &dispatcher, &storing).is_none());
}
