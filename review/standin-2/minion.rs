//! A minion as PROTOCOL.md describes it, without gangs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, int, num, obj, text};
use crate::world::World;

/// Longest lease (`holdMaxMs`).
const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a stop takes; less than `killGraceMs`.
const STOP_MS: u64 = 100;
/// Most ends in one answer.
const MAX_ENDS: usize = 500;
pub const CPU: u64 = 32_000;
pub const MEM_MB: u64 = 65_536;

struct Run {
    run: u64,
    ends_at: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or ended here.
    highest: HashMap<String, u64>,
    ended: VecDeque<(u64, String, u64, &'static str)>,
    next_end: u64,
    acked: u64,
}

pub struct Minion {
    pub id: String,
    pub zone: String,
    pub rack: String,
    address: OnceLock<SocketAddr>,
    started: Instant,
    born: u64,
    state: Mutex<State>,
    changed: Condvar,
    world: Arc<World>,
}

impl Minion {
    pub fn start(world: &Arc<World>, id: String, zone: &str, rack: &str) -> Arc<Self> {
        let minion = Arc::new(Self {
            id,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            address: OnceLock::new(),
            started: Instant::now(),
            born: World::unix_ms(),
            state: Mutex::new(State { next_end: 1, ..State::default() }),
            changed: Condvar::new(),
            world: world.clone(),
        });
        let served = minion.clone();
        minion.address.set(http::serve(move |request| served.handle(request))).expect("one start");
        let ticking = minion.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(4));
            }
        });
        let beating = minion.clone();
        thread::spawn(move || {
            for seq in 1.. {
                beating.register(seq);
                thread::sleep(HEARTBEAT);
            }
        });
        minion
    }

    fn clock_ms(&self) -> u64 {
        1 + self.started.elapsed().as_millis() as u64
    }

    fn register(&self, seq: u64) {
        let entry = obj([
            ("service", text("workers")),
            ("address", text(self.address.get().expect("a started minion").to_string())),
            ("zone", text(&*self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("capacity", capacity()),
            ("labels", Json::Arr(vec![text("a"), text(&*self.rack)])),
            ("clockMs", int(self.clock_ms())),
            ("born", int(self.born)),
            ("seq", int(seq)),
        ]);
        self.world.store.put("servers", &self.id, &entry);
    }

    /// Ends the runs whose work is over, and all of them when the lease has expired.
    fn tick(&self) {
        let now = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let lapsed = now > state.deadline;
        let over: Vec<_> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || now >= run.ends_at)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &over {
            let Some(run) = state.running.remove(task) else { continue };
            let how = if now >= run.ends_at { run.how } else { "lapsed" };
            let number = state.next_end;
            state.next_end += 1;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run.run);
            state.ended.push_back((number, task.clone(), run.run, how));
            self.world.record_end(&self.id, task, run.run, how);
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        match request.path.as_str() {
            "/amaranthsaddle/run-start" => self.run_start(&body),
            "/amaranthsaddle/run-stop" => self.run_stop(&body),
            "/amaranthsaddle/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn answer(&self, status: u16, reason: &str) -> Answer {
        let mut fields = vec![("clockMs".to_owned(), int(self.clock_ms()))];
        if !reason.is_empty() {
            fields.push(("reason".to_owned(), text(reason)));
        }
        (status, Json::Obj(fields).write())
    }

    fn check_fence(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fencingToken").int();
        let is_current = fence >= state.fence;
        state.fence = state.fence.max(fence);
        is_current
    }

    fn extend(&self, state: &mut State, deadline: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        state.deadline = state.deadline.max(deadline.min(longest));
    }

    fn run_start(&self, body: &Json) -> Answer {
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").int());
        let deadline = body.get("deadlineMs").int();
        let mut state = self.state.lock().unwrap();
        if !Self::check_fence(&mut state, body) {
            return self.answer(409, "fence");
        }
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return self.answer(200, "");
        }
        if deadline < self.clock_ms() {
            return self.answer(409, "late");
        }
        self.extend(&mut state, deadline);
        if state.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return self.answer(409, "old");
        }
        if !self.world.is_valid_ticket(&task, body.get("ticket").text(), &self.id) {
            return self.answer(409, "ticket");
        }
        let (work_ms, how) = self.world.record_start(&self.id, &task, run, body.get("spec").text());
        let ends_at = self.clock_ms() + work_ms;
        state.running.insert(task, Run { run, ends_at, how });
        self.answer(200, "")
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").int());
        let mut state = self.state.lock().unwrap();
        if !Self::check_fence(&mut state, body) {
            return self.answer(409, "fence");
        }
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        let stop_at = self.clock_ms() + STOP_MS;
        if let Some(known) = state.running.get_mut(&task).filter(|known| known.run <= run) {
            if stop_at < known.ends_at {
                known.ends_at = stop_at;
                known.how = "stopped";
            }
        }
        self.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        if !Self::check_fence(&mut state, body) {
            return self.answer(409, "fence");
        }
        if !body.get("deadlineMs").is_null() {
            self.extend(&mut state, body.get("deadlineMs").int());
        }
        let acked = body.get("ackedUpto").int();
        state.acked = state.acked.max(acked);
        while state.ended.front().is_some_and(|(number, ..)| *number <= acked) {
            let (_, task, run, how) = state.ended.pop_front().expect("an end");
            self.world.record_noted(&task, run, how);
        }
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").int().min(2_000));
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|(task, run)| {
            Json::Arr(vec![text(&**task), int(run.run), text(""), num(100), num(0)])
        });
        let ended = state.ended.iter().take(MAX_ENDS).map(|(number, task, run, how)| {
            Json::Arr(vec![int(*number), text(&**task), int(*run), text(*how), text("")])
        });
        let answer = obj([
            ("clockMs", int(self.clock_ms())),
            ("born", int(self.born)),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ]);
        (200, answer.write())
    }

    /// Returns how many ends are listed and not taken note of.
    pub fn unnoted(&self) -> usize {
        self.state.lock().unwrap().ended.len()
    }
}

pub fn capacity() -> Json {
    obj([("cpu", int(CPU)), ("memMb", int(MEM_MB)), ("gpu", num(0))])
}
