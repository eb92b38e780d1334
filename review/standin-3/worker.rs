//! A worker: its registration, its lease, its fencing token and its runs.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, quote};
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 6_000;
/// Time that a stop takes; the bound of the pages is 900 ms.
const STOP_MS: u64 = 100;

/// A run that was started on a worker, for the record.
#[derive(Clone)]
pub struct PastRun {
    pub task: String,
    pub run: u64,
    pub worker: String,
    /// Milliseconds since the start of the case.
    pub start_ms: u128,
    pub end: Option<(u128, &'static str)>,
}

struct Run {
    run: u64,
    lasts: bool,
    /// When and how it ends by itself, on the worker's clock.
    ends: Option<(u64, &'static str)>,
    history: usize,
}

#[derive(Default)]
struct State {
    down: bool,
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    closed_runs: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    history: Vec<PastRun>,
}

pub struct Worker {
    pub name: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    /// Clock of the case, for the record.
    epoch: Instant,
    born: Instant,
    born_unix_ms: u128,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    pub fn start(
        store: &Arc<Store>,
        ip: IpAddr,
        index: usize,
        zone: &str,
        epoch: Instant,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Arc::new(Self {
            name: format!("m-{:08x}", 0x5a10_0000 + index),
            zone: zone.to_owned(),
            rack: format!("r-{}", index / 6),
            address: listener.local_addr().expect("bound"),
            epoch,
            born: Instant::now(),
            born_unix_ms: unix.map_or(0, |since| since.as_millis()),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let served = worker.clone();
        http::serve(listener, move |request| served.handle(&request));
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let mut state = ticking.state.lock().unwrap();
                ticking.end_due(&mut state);
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            while !beating.state.lock().unwrap().down {
                sequence += 1;
                store.put("servers", &beating.name, &beating.registration(sequence));
                std::thread::sleep(HEARTBEAT);
            }
            std::thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &beating.name);
        });
        worker
    }

    fn registration(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"survey-hub\",\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{sequence},\"born\":{},\
             \"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[\"a\",{}]}}",
            self.address,
            quote(&self.zone),
            self.born_unix_ms,
            quote(&self.rack)
        )
    }

    /// Loses the machine for good: nothing is sent any more, and everything there has ended.
    pub fn lose(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        let now = self.epoch.elapsed().as_millis();
        for past in &mut state.history {
            past.end.get_or_insert((now, "lost"));
        }
        state.runs.clear();
        self.changed.notify_all();
    }

    /// Returns the tasks that are present, with the processor time that they were given.
    pub fn present(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.keys().cloned().collect()
    }

    pub fn history(&self) -> Vec<PastRun> {
        self.state.lock().unwrap().history.clone()
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1
    }

    fn end_due(&self, state: &mut State) {
        let now = self.clock_ms();
        let lapsed = now > state.deadline_ms;
        let due: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let ended = run.ends.filter(|(at_ms, _)| *at_ms <= now).map(|(_, how)| how);
                Some((task.clone(), ended.or(lapsed.then_some("lapsed"))?))
            })
            .collect();
        let at = self.epoch.elapsed().as_millis();
        for (task, how) in &due {
            let Some(run) = state.runs.remove(task) else { continue };
            state.last_end += 1;
            state.ended.push((state.last_end, task.clone(), run.run, how));
            let closed = state.closed_runs.entry(task.clone()).or_insert(0);
            *closed = run.run.max(*closed);
            state.history[run.history].end = Some((at, how));
        }
        if !due.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return None;
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.name {
            return Some((421, "{}".to_owned()));
        }
        if request.path == "/healthz" {
            return Some((200, "{}".to_owned()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".to_owned())) };
        self.end_due(&mut state);
        let token = body.get("fencingToken").number();
        if token < state.token {
            return Some(self.refusal("fence"));
        }
        state.token = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        match request.path.as_str() {
            "/amaranthsaddle/run-start" => Some(self.begin(&mut state, &body, &task, run)),
            "/amaranthsaddle/run-stop" => {
                let closed = state.closed_runs.entry(task.clone()).or_insert(0);
                *closed = run.max(*closed);
                let ends_at = self.clock_ms() + STOP_MS;
                if let Some(present) = state.runs.get_mut(&task)
                    && present.run <= run
                {
                    present.ends = Some((ends_at, "stopped"));
                }
                Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
            }
            "/amaranthsaddle/hold" => {
                let acked = body.get("ackedUpto").number();
                state.ended.retain(|end| end.0 > acked);
                if body.get("deadlineMs") != &Json::Null {
                    self.extend(&mut state, body.get("deadlineMs").number());
                }
                let wait = Duration::from_millis(body.get("waitMs").number().min(2_000));
                let until = Instant::now() + wait;
                loop {
                    if state.down {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.ended.is_empty() || left.is_zero() {
                        return Some((200, self.report(&state)));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn extend(&self, state: &mut State, deadline_ms: u64) {
        let latest = self.clock_ms() + HOLD_MAX_MS;
        state.deadline_ms = state.deadline_ms.max(deadline_ms.min(latest));
    }

    fn begin(&self, state: &mut State, body: &Json, task: &str, run: u64) -> (u16, String) {
        let now = self.clock_ms();
        let deadline_ms = body.get("deadlineMs").number();
        if deadline_ms < now {
            return self.refusal("late");
        }
        self.extend(state, deadline_ms);
        let answer = (200, format!("{{\"clockMs\":{now}}}"));
        if state.runs.get(task).is_some_and(|present| present.run == run) {
            return answer;
        }
        let is_old = state.closed_runs.get(task).is_some_and(|closed| run <= *closed);
        if is_old || state.runs.contains_key(task) {
            return self.refusal("old");
        }
        // The text of a job says how long its tasks work, or that they last.
        let spec = body.get("spec").text();
        let lasts = spec == "lasts";
        let ends = (!lasts).then(|| (now + spec.parse::<u64>().unwrap_or(100), "done"));
        state.history.push(PastRun {
            task: task.to_owned(),
            run,
            worker: self.name.clone(),
            start_ms: self.epoch.elapsed().as_millis(),
            end: None,
        });
        let history = state.history.len() - 1;
        state.runs.insert(task.to_owned(), Run { run, lasts, ends, history });
        answer
    }

    fn report(&self, state: &State) -> String {
        let running: Vec<_> = state
            .runs
            .iter()
            .map(|(task, run)| {
                // The tail of a task that lasts in milliseconds, or the processor time in use.
                let measured = if run.lasts { 20 } else { 800 };
                format!("[{},{},\"\",100,{measured}]", quote(task), run.run)
            })
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born_unix_ms,
            running.join(","),
            ended.join(",")
        )
    }
}
