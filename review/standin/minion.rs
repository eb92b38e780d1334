//! Minions: runs, ends, leases and fencing tokens, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Service};
use crate::json::{num, obj, text, Json};
use crate::record::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a stop takes; `killGraceMs` is 900.
const STOP_TIME: Duration = Duration::from_millis(600);
/// Most ends in one list.
const MAX_LISTED_ENDS: usize = 500;

/// Tells how long a task takes and how it ends, from its name, run and spec.
pub type Behaviour = Arc<dyn Fn(&str, u32, &str) -> (u64, &'static str) + Send + Sync>;

/// One run in the history of all minions; times are milliseconds since the script began.
#[derive(Clone, Debug)]
pub struct Past {
    pub task: String,
    pub run: u32,
    pub minion: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
    /// When `ackedUpto` reached the end.
    pub noted_ms: Option<u64>,
}

struct Present {
    run: u32,
    due: Instant,
    how: &'static str,
    past: usize,
}

struct Ended {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    past: usize,
}

/// What one life of a minion holds.
struct Life {
    started: Instant,
    born: u64,
    fence: u64,
    deadline_ms: u64,
    present: BTreeMap<String, Present>,
    highest: BTreeMap<String, u32>,
    ended: Vec<Ended>,
    last_number: u64,
}

pub struct Minion {
    pub id: String,
    pub zone: String,
    life: Mutex<Life>,
    number: AtomicU64,
    up: AtomicBool,
    seq: AtomicU64,
    behaviour: Behaviour,
    history: Arc<Mutex<Vec<Past>>>,
    record: Arc<Record>,
}

impl Life {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            born: crate::unix_ms(),
            fence: 0,
            deadline_ms: 0,
            present: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Minion {
    pub fn new(
        id: &str,
        zone: &str,
        behaviour: Behaviour,
        history: Arc<Mutex<Vec<Past>>>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            life: Mutex::new(Life::new()),
            number: AtomicU64::new(1),
            up: AtomicBool::new(true),
            seq: AtomicU64::new(1),
            behaviour,
            history,
            record,
        })
    }

    /// Registers the minion, and writes its heartbeats and ends its runs from now on.
    pub fn run(self: &Arc<Self>, address: SocketAddr, store: &Arc<Store>) {
        let (minion, store) = (self.clone(), store.clone());
        minion.register(address, &store);
        let beating = minion.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            if beating.is_up() {
                beating.register(address, &store);
            }
        });
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(2));
            minion.end_due(&mut minion.life.lock().unwrap());
        });
    }

    fn register(&self, address: SocketAddr, store: &Store) {
        if store.lock().down {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let entry = obj(vec![
            ("service", text("survey-hub")),
            ("address", text(address.to_string())),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("seq", num(seq)),
            ("born", num(self.life.lock().unwrap().born)),
            ("capacity", obj(vec![("cpu", num(32_000)), ("memMb", num(131_072)), ("gpu", num(0))])),
            ("labels", Json::Arr(vec![text("a"), text("r1-1")])),
        ]);
        store.put("servers", &self.id, &entry);
    }

    /// Loses power, and starts again under its id after `dark`.
    pub fn crash_and_restart(&self, dark: Duration) {
        self.up.store(false, Ordering::SeqCst);
        let mut life = self.life.lock().unwrap();
        let now = self.record.now_ms();
        for run in life.present.values() {
            let past = &mut self.history.lock().unwrap()[run.past];
            past.end_ms = Some(now);
            past.how = "lost";
        }
        *life = Life::new();
        drop(life);
        self.record.line(&format!("minion {} loses power", self.id));
        std::thread::sleep(dark);
        *self.life.lock().unwrap() = Life::new();
        self.number.fetch_add(1, Ordering::SeqCst);
        self.seq.store(1, Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
        self.record.line(&format!("minion {} has started again under its id", self.id));
    }

    pub fn present_count(&self) -> usize {
        self.life.lock().unwrap().present.len()
    }

    fn end_due(&self, life: &mut Life) {
        if life.clock_ms() > life.deadline_ms {
            let all: Vec<_> = life.present.keys().cloned().collect();
            for task in all {
                self.end(life, &task, "lapsed");
            }
            return;
        }
        let now = Instant::now();
        let due: Vec<_> = life
            .present
            .iter()
            .filter(|(_, run)| run.due <= now)
            .map(|(task, run)| (task.clone(), run.how))
            .collect();
        for (task, how) in due {
            self.end(life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.present.remove(task) else { return };
        life.last_number += 1;
        let number = life.last_number;
        let highest = life.highest.entry(task.to_owned()).or_insert(0);
        *highest = run.run.max(*highest);
        let ended = Ended { number, task: task.to_owned(), run: run.run, how, past: run.past };
        life.ended.push(ended);
        let past = &mut self.history.lock().unwrap()[run.past];
        past.end_ms = Some(self.record.now_ms());
        past.how = how;
        self.record
            .line(&format!("run {task} {} on {} ends {how}, number {number}", run.run, self.id));
    }

    fn accept_fence(life: &mut Life, body: &Json) -> bool {
        let token = body.int("fencingToken").unwrap_or(0);
        let accepted = token >= life.fence;
        life.fence = life.fence.max(token);
        accepted
    }

    fn extend(life: &mut Life, deadline: Option<u64>) {
        let most = life.clock_ms() + HOLD_MAX_MS;
        if let Some(deadline) = deadline {
            life.deadline_ms = life.deadline_ms.max(deadline.min(most));
        }
    }

    fn refuse(life: &Life, reason: &str) -> Reply {
        let body = obj(vec![("clockMs", num(life.clock_ms())), ("reason", text(reason))]);
        Reply::Answer(409, body.render())
    }

    fn start(&self, body: &Json) -> Reply {
        let life = &mut *self.life.lock().unwrap();
        self.end_due(life);
        if !Self::accept_fence(life, body) {
            return Self::refuse(life, "fence");
        }
        let (task, run) = (body.str("task"), body.int("run").unwrap_or(0) as u32);
        let deadline = body.int("deadlineMs");
        if deadline.unwrap_or(0) < life.clock_ms() {
            return Self::refuse(life, "late");
        }
        Self::extend(life, deadline);
        let known = life.present.get(&task).map(|present| present.run);
        if known != Some(run) {
            if known.is_some() || life.highest.get(&task).is_some_and(|highest| run <= *highest) {
                return Self::refuse(life, "old");
            }
            let (ms, how) = (self.behaviour)(&task, run, &body.str("spec"));
            let mut history = self.history.lock().unwrap();
            history.push(Past {
                task: task.clone(),
                run,
                minion: self.id.clone(),
                start_ms: self.record.now_ms(),
                end_ms: None,
                how: "running",
                noted_ms: None,
            });
            let past = history.len() - 1;
            drop(history);
            self.record.line(&format!("run {task} {run} on {} starts", self.id));
            let due = Instant::now() + Duration::from_millis(ms);
            life.present.insert(task, Present { run, due, how, past });
        }
        Reply::Answer(200, obj(vec![("clockMs", num(life.clock_ms()))]).render())
    }

    fn stop(&self, body: &Json) -> Reply {
        let life = &mut *self.life.lock().unwrap();
        self.end_due(life);
        if !Self::accept_fence(life, body) {
            return Self::refuse(life, "fence");
        }
        let (task, run) = (body.str("task"), body.int("run").unwrap_or(0) as u32);
        let highest = life.highest.entry(task.clone()).or_insert(0);
        *highest = run.max(*highest);
        if let Some(present) = life.present.get_mut(&task).filter(|present| present.run <= run) {
            if present.how != "stopped" {
                present.due = Instant::now() + STOP_TIME;
                present.how = "stopped";
                self.record.line(&format!("run {task} {run} on {} is told to stop", self.id));
            }
        }
        Reply::Answer(200, obj(vec![("clockMs", num(life.clock_ms()))]).render())
    }

    fn hold(&self, body: &Json, number: u64) -> Reply {
        let wait = body.int("waitMs").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let acked = body.int("ackedUpto").unwrap_or(0);
        loop {
            if self.life() != number || !self.is_up() {
                return Reply::Dead;
            }
            {
                let life = &mut *self.life.lock().unwrap();
                if !Self::accept_fence(life, body) {
                    return Self::refuse(life, "fence");
                }
                self.end_due(life);
                for ended in life.ended.iter().filter(|ended| ended.number <= acked) {
                    let past = &mut self.history.lock().unwrap()[ended.past];
                    past.noted_ms = past.noted_ms.or(Some(self.record.now_ms()));
                    self.record.line(&format!(
                        "end {} of run {} {} ({}) on {} is taken note of by ackedUpto {acked}",
                        ended.number, ended.task, ended.run, ended.how, self.id
                    ));
                }
                life.ended.retain(|ended| ended.number > acked);
                Self::extend(life, body.int("deadlineMs"));
                if !life.ended.is_empty() || Instant::now() >= until {
                    return Reply::Answer(200, Self::lists(life).render());
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn lists(life: &Life) -> Json {
        let running = life.present.iter().map(|(task, run)| {
            let row = vec![text(task), num(u64::from(run.run)), text(""), num(100), num(0)];
            Json::Arr(row)
        });
        let ended = life.ended.iter().take(MAX_LISTED_ENDS).map(|ended| {
            let run = num(u64::from(ended.run));
            Json::Arr(vec![num(ended.number), text(&ended.task), run, text(ended.how), text("")])
        });
        obj(vec![
            ("clockMs", num(life.clock_ms())),
            ("born", num(life.born)),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ])
    }
}

impl Service for Minion {
    fn serve(&self, request: &Request) -> Reply {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/amaranthsaddle/run-start" => self.start(&body),
            "/amaranthsaddle/run-stop" => self.stop(&body),
            "/amaranthsaddle/hold" => self.hold(&body, request.life),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn life(&self) -> u64 {
        self.number.load(Ordering::SeqCst)
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }
}
