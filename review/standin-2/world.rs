//! The deployment: store, minions, advice, entries as processes, clients, and what they have seen.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{Json, int, num, obj, text};
use crate::minion::{self, Minion};
use crate::store::Store;

pub const ZONES: [&str; 3] = ["arima", "port-of-spain", "san-fernando"];
const HOST: &str = "nony24.example";
const KEY: &str = "6x73d3zji9n73hh2b9wu";
/// `X-Deadline-Ms` of all requests.
const DEADLINE_MS: u64 = 3_000;
/// Times that a client repeats a request.
const RETRIES: usize = 4;
/// How long a ticket is valid.
const TICKET_MS: u64 = 2_500;

/// A queue: path, priority, attempts, stretch, targetLatencyMs, decideMs, eachMs.
pub struct Queue {
    pub name: &'static str,
    priority: u64,
    attempts: u64,
    stretch: f64,
    target_ms: u64,
    decide_ms: f64,
    each_ms: f64,
}

/// The queues of the site file dunmore-letters.
pub const QUEUES: [Queue; 3] = [
    Queue {
        name: "keepsake",
        priority: 1,
        attempts: 3,
        stretch: 2.2,
        target_ms: 1_000,
        decide_ms: 570.0,
        each_ms: 8.1,
    },
    Queue {
        name: "class-batch",
        priority: 2,
        attempts: 2,
        stretch: 4.0,
        target_ms: 3_000,
        decide_ms: 53.0,
        each_ms: 0.75,
    },
    Queue {
        name: "reply-note",
        priority: 0,
        attempts: 2,
        stretch: 1.5,
        target_ms: 250,
        decide_ms: 9.3,
        each_ms: 0.13,
    },
];

/// How the tasks of a job behave on a minion.
#[derive(Clone, Copy, PartialEq)]
pub enum Work {
    /// They end `done` after this time in milliseconds.
    Done(u64),
    /// They end `failed` after this time.
    Fails(u64),
    /// They run until they are stopped.
    Lasts,
}

/// A job of one step as its client knows it.
pub struct Job {
    pub id: String,
    pub queue: usize,
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub work: Work,
    /// Estimate of the work that the client sends.
    pub estimate_ms: u64,
    /// Label that a minion must have; empty for none.
    pub label: &'static str,
    /// Number of occurrences and the interval in milliseconds; 0 for a job that runs once.
    pub times: (u64, u64),
    /// Number of steps, each after the one before it.
    pub steps: u64,
    /// Whether the rule is checked for this job.
    pub watched: bool,
}

#[derive(Default)]
struct JobLog {
    accepted: Option<f64>,
    done: HashSet<String>,
    running: usize,
    last_run: Option<f64>,
    state: String,
}

#[derive(Default)]
struct Seen {
    jobs: HashMap<String, (Arc<Job>, JobLog)>,
    running: BTreeMap<(String, String), u64>,
    tickets: HashMap<(String, String), (String, Instant)>,
    ends: u64,
    noted: u64,
    starts: u64,
    double: Vec<String>,
}

struct Entry {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    alive: bool,
}

pub struct World {
    pub store: Store,
    started: Instant,
    folder: PathBuf,
    record: Mutex<File>,
    seen: Mutex<Seen>,
    entries: Mutex<Vec<Entry>>,
    minions: Mutex<Vec<Arc<Minion>>>,
    advised: Mutex<HashMap<IpAddr, Arc<Mutex<()>>>>,
    next_id: Mutex<u64>,
}

impl World {
    /// Starts store, minions, advice and entries, and waits until the entries are ready.
    pub fn start(record: &str, entries: usize, minions: usize) -> Arc<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let world = Arc::new(Self {
            store: Store::new(),
            started: Instant::now(),
            folder,
            record: Mutex::new(File::create(record).expect("the record")),
            seen: Mutex::default(),
            entries: Mutex::default(),
            minions: Mutex::default(),
            advised: Mutex::default(),
            next_id: Mutex::new(0x5c0e_7a21_d94b_0000),
        });
        world.store.put("op", "config", &config(7, ""));
        for index in 0..minions {
            let id = format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_add(index as u32 * 7_919));
            let zone = ZONES[index % ZONES.len()];
            let minion = Minion::start(&world, id, zone, &format!("r{}-1", index % ZONES.len()));
            world.minions.lock().unwrap().push(minion);
        }
        let served = world.clone();
        let store = http::serve(move |request| served.store.handle(request));
        let served = world.clone();
        let advice = http::serve(move |request| served.advise(request));
        for index in 0..entries {
            world.start_entry(index, store, advice);
        }
        let ready: Vec<_> = world.entries.lock().unwrap().iter().map(|entry| entry.ready).collect();
        for address in ready {
            let until = Instant::now() + Duration::from_secs(15);
            let path = "/amaranthsaddle/readyz";
            while http::call(address, "GET", path, &[], "", Duration::from_secs(1))
                .is_none_or(|(status, ..)| status != 200)
            {
                if Instant::now() > until {
                    world.note("an entry did not become ready");
                    world.finish(2);
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        world.note("all entries are ready");
        world
    }

    /// Registers a server of another service, as another writer of the store does.
    pub fn register_foreign(self: &Arc<Self>, index: usize) {
        let world = self.clone();
        let id = format!("b-{index:08x}");
        let name = id.clone();
        let address = http::serve(move |request| {
            world.note(&format!("foreign server {name} gets {} {}", request.method, request.path));
            (404, "{}".to_owned())
        });
        let entry = obj([
            ("service", text("billing")),
            ("address", text(address.to_string())),
            ("zone", text(ZONES[index % ZONES.len()])),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("capacity", minion::capacity()),
            ("labels", Json::Arr(vec![text("a"), text("r0-1")])),
            ("clockMs", num(1_000)),
            ("born", int(Self::unix_ms())),
            ("seq", num(1)),
        ]);
        self.store.put("servers", &id, &entry);
        self.note(&format!("foreign server {id} registered"));
    }

    fn start_entry(&self, index: usize, store: SocketAddr, advice: SocketAddr) {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 60 + index as u8, high, low.max(1)));
        let listeners: Vec<_> =
            (0..4).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let ports: Vec<_> =
            listeners.iter().map(|listener| listener.local_addr().expect("a port").port()).collect();
        drop(listeners);
        let (front, ready) = (SocketAddr::new(ip, ports[0]), SocketAddr::new(ip, ports[1]));
        let settings = obj([
            ("name", text(&*name)),
            ("domain", text(zone)),
            ("ip", text(ip.to_string())),
            ("front", text(front.to_string())),
            ("ready", text(ready.to_string())),
            ("peer_port", num(ports[2])),
            ("metrics_port", num(ports[3])),
            ("store", text(store.to_string())),
            ("advice", text(advice.to_string())),
            ("cpu_share", num(0.25)),
            ("cores", num(1)),
            ("link_mbps", num(1_000)),
            ("worker_lease_ms", num(6_000)),
            ("revoke_ms", num(5_000)),
            ("keep_s", num(120)),
            ("grace_s", num(6)),
        ]);
        let path = self.folder.join(&name);
        fs::write(&path, settings.write()).expect("the settings");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("the log");
        let child = Command::new("target/release/amaranthsaddle")
            .env("AMARANTHSADDLE_NODE_FILE", &path)
            .stdout(Stdio::from(log.try_clone().expect("the log")))
            .stderr(Stdio::from(log))
            .spawn();
        let Ok(child) = child else {
            self.note("target/release/amaranthsaddle does not start");
            self.finish(2);
        };
        self.note(&format!("entry {name} started"));
        self.entries.lock().unwrap().push(Entry { name, front, ready, child, alive: true });
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn unix_ms() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:8.3} {line}", self.now());
    }

    /// Ends all processes that were started, removes the temporary folder, and exits.
    pub fn finish(&self, code: i32) -> ! {
        for entry in &mut *self.entries.lock().unwrap() {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
        self.note(&format!("exit {code}"));
        std::process::exit(code)
    }


    /// Checks that every entry that was not killed still runs.
    pub fn check_entries(&self) -> bool {
        let mut entries = self.entries.lock().unwrap();
        let ended: Vec<_> = entries
            .iter_mut()
            .filter(|entry| entry.alive)
            .filter_map(|entry| {
                let runs = matches!(entry.child.try_wait(), Ok(None));
                (!runs).then(|| entry.name.clone())
            })
            .collect();
        drop(entries);
        for name in &ended {
            self.note(&format!("entry {name} has ended by itself"));
        }
        ended.is_empty()
    }

    pub fn next_id(&self) -> String {
        let mut next = self.next_id.lock().unwrap();
        // An odd factor spreads the identifiers over the digits.
        *next = next.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        format!("{:016x}", *next)
    }

    fn fronts(&self) -> Vec<(String, SocketAddr)> {
        let entries = self.entries.lock().unwrap();
        entries
            .iter()
            .filter(|entry| entry.alive)
            .map(|entry| (entry.name.clone(), entry.front))
            .collect()
    }

    fn request(&self, turn: usize, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>, Option<f64>)> {
        let fronts = self.fronts();
        let (name, address) = &fronts[turn % fronts.len()];
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-api-key", KEY),
            ("x-deadline-ms", deadline.as_str()),
        ];
        let answer =
            http::call(*address, method, path, &headers, body, Duration::from_millis(DEADLINE_MS));
        let status = answer.as_ref().map_or(0, |(status, ..)| *status);
        if method != "GET" {
            self.note(&format!("{method} {path} to {name} -> {status}"));
        }
        answer
    }

    /// Hands a job in, with the repeats that a client makes.
    pub fn submit(self: &Arc<Self>, job: Job) {
        let world = self.clone();
        let job = Arc::new(job);
        let log = JobLog::default();
        self.seen.lock().unwrap().jobs.insert(job.id.clone(), (job.clone(), log));
        thread::spawn(move || {
            let path = format!("/{}/{}", QUEUES[job.queue].name, job.id);
            let body = job.body();
            let mut turn = job.id.bytes().map(usize::from).sum::<usize>();
            for _ in 0..=RETRIES {
                let answer = world.request(turn, "POST", &path, &body);
                turn += 1;
                match answer {
                    Some((200, ..)) => {
                        let now = world.now();
                        let mut seen = world.seen.lock().unwrap();
                        if let Some((_, log)) = seen.jobs.get_mut(&job.id) {
                            log.accepted.get_or_insert(now);
                        }
                        return;
                    }
                    Some((429 | 503, _, retry)) => {
                        thread::sleep(Duration::from_secs_f64(retry.unwrap_or(1.0).max(0.05)));
                    }
                    Some((400..=499, ..)) => return,
                    _ => {}
                }
            }
        });
    }

    fn advise(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let step = body.get("step").text().to_owned();
        let workers = body.get("workers").list();
        let id = step.split('.').next().unwrap_or_default();
        let queue = self.seen.lock().unwrap().jobs.get(id).map(|(job, _)| job.queue);
        let Some(queue) = queue else { return (400, "{}".to_owned()) };
        let turn = self.advised.lock().unwrap().entry(request.peer).or_default().clone();
        let _turn = turn.lock().unwrap();
        let queue = &QUEUES[queue];
        let spent_ms = queue.decide_ms + queue.each_ms * workers.len() as f64;
        thread::sleep(Duration::from_secs_f64(spent_ms / 1_000.0));
        let mut seen = self.seen.lock().unwrap();
        let good = workers.iter().map(|worker| {
            let ticket = format!("t-{}-{}", step, worker.text());
            let key = (step.clone(), worker.text().to_owned());
            seen.tickets.insert(key, (ticket.clone(), Instant::now()));
            Json::Arr(vec![text(worker.text()), text(ticket)])
        });
        let good = good.collect();
        (200, obj([("good", Json::Arr(good)), ("validMs", int(TICKET_MS))]).write())
    }

    pub fn is_valid_ticket(&self, task: &str, ticket: &str, minion: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let seen = self.seen.lock().unwrap();
        seen.tickets.get(&(step.to_owned(), minion.to_owned())).is_some_and(|(known, at)| {
            known == ticket && at.elapsed() < Duration::from_millis(TICKET_MS)
        })
    }

    /// Records a start; returns how long the task works, and how it ends.
    pub fn record_start(&self, minion: &str, task: &str, run: u64, _spec: &str) -> (u64, &'static str) {
        let now = self.now();
        let id = task.split('.').next().unwrap_or_default();
        let mut seen = self.seen.lock().unwrap();
        seen.starts += 1;
        if let Some((_, other)) =
            seen.running.keys().find(|(known, other)| known == task && other != minion)
        {
            let line = format!("{task} starts on {minion} and runs on {other}");
            seen.double.push(line);
        }
        seen.running.insert((task.to_owned(), minion.to_owned()), run);
        let behaviour = match seen.jobs.get_mut(id) {
            Some((job, log)) => {
                log.running += 1;
                log.last_run = Some(now);
                if log.done.contains(task) {
                    let line = format!("{task} starts on {minion} again after its end done");
                    seen.double.push(line);
                    return (100, "done");
                }
                match job.work {
                    Work::Done(work_ms) => (work_ms, "done"),
                    Work::Fails(work_ms) => (work_ms, "failed"),
                    Work::Lasts => (u64::from(u32::MAX), "failed"),
                }
            }
            None => (100, "done"),
        };
        drop(seen);
        self.note(&format!("run {task} {run} starts on {minion}"));
        behaviour
    }

    pub fn record_end(&self, minion: &str, task: &str, run: u64, how: &str) {
        let now = self.now();
        let id = task.split('.').next().unwrap_or_default();
        let mut seen = self.seen.lock().unwrap();
        seen.ends += 1;
        seen.running.remove(&(task.to_owned(), minion.to_owned()));
        if let Some((_, log)) = seen.jobs.get_mut(id) {
            log.running -= 1;
            log.last_run = Some(now);
            if how == "done" {
                log.done.insert(task.to_owned());
            }
        }
        drop(seen);
        self.note(&format!("run {task} {run} ends {how} on {minion}"));
    }

    pub fn record_noted(&self, _task: &str, _run: u64, _how: &str) {
        self.seen.lock().unwrap().noted += 1;
    }

    /// Returns the ends that minions have listed, and those of them that were taken note of.
    pub fn ends(&self) -> (u64, u64) {
        let seen = self.seen.lock().unwrap();
        (seen.ends, seen.noted)
    }

    pub fn unnoted_by_minion(&self) -> Vec<usize> {
        self.minions.lock().unwrap().iter().map(|minion| minion.unnoted()).collect()
    }

    /// Returns tasks that ran twice.
    pub fn doubles(&self) -> Vec<String> {
        self.seen.lock().unwrap().double.clone()
    }

    /// Watches for `seconds`; returns the accepted jobs that had nothing running all the while
    /// though a task's turn had come, there was capacity for it twice over, and under half of the
    /// service's capacity was in use.
    pub fn watch_idle_jobs(&self, seconds: f64) -> Vec<String> {
        let mut idle: Option<HashSet<String>> = None;
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            let now_idle = self.idle_jobs();
            idle = Some(match idle {
                None => now_idle,
                Some(before) => before.intersection(&now_idle).cloned().collect(),
            });
            thread::sleep(Duration::from_millis(20));
        }
        let mut idle: Vec<_> = idle.unwrap_or_default().into_iter().collect();
        idle.sort();
        idle
    }

    fn idle_jobs(&self) -> HashSet<String> {
        let minions = self.minions.lock().unwrap().clone();
        let seen = self.seen.lock().unwrap();
        let mut used: HashMap<&str, (u64, u64)> = HashMap::new();
        for (task, minion) in seen.running.keys() {
            let id = task.split('.').next().unwrap_or_default();
            if let Some((job, _)) = seen.jobs.get(id) {
                let entry = used.entry(minion).or_default();
                entry.0 += job.cpu;
                entry.1 += job.mem_mb;
            }
        }
        let all_cpu: u64 = used.values().map(|(cpu, _)| cpu).sum();
        let all_mem: u64 = used.values().map(|(_, mem)| mem).sum();
        let count = minions.len() as u64;
        if all_cpu * 2 >= count * minion::CPU || all_mem * 2 >= count * minion::MEM_MB {
            return HashSet::new();
        }
        let is_idle = |job: &Job, log: &JobLog| {
            let is_due = log.accepted.is_some() && job.all_tasks() > log.done.len() as u64;
            if !job.watched || !is_due || log.running > 0 {
                return false;
            }
            let fits: u64 = minions
                .iter()
                .filter(|minion| job.label.is_empty() || job.label == "a" || job.label == minion.rack)
                .map(|minion| {
                    let (cpu, mem) = used.get(minion.id.as_str()).copied().unwrap_or_default();
                    let cpu_fits = minion::CPU.saturating_sub(cpu) / job.cpu;
                    cpu_fits.min(minion::MEM_MB.saturating_sub(mem) / job.mem_mb)
                })
                .sum();
            fits >= 2
        };
        seen.jobs
            .values()
            .filter(|(job, log)| is_idle(job, log))
            .map(|(job, _)| job.id.clone())
            .collect()
    }

    /// Asks for the state of all accepted jobs that are watched; returns the counts by state.
    pub fn ask_states(&self) -> BTreeMap<String, usize> {
        let jobs: Vec<_> = {
            let seen = self.seen.lock().unwrap();
            let watched = seen.jobs.values().filter(|(job, log)| job.watched && log.accepted.is_some());
            watched.map(|(job, _)| job.clone()).collect()
        };
        let mut counts = BTreeMap::new();
        for (turn, job) in jobs.iter().enumerate() {
            let path = format!("/{}/{}", QUEUES[job.queue].name, job.id);
            let state = match self.request(turn, "GET", &path, "") {
                Some((200, body, _)) => Json::parse(&body)
                    .map_or(String::new(), |body| body.get("state").text().to_owned()),
                Some((status, ..)) => status.to_string(),
                None => "no answer".to_owned(),
            };
            let mut seen = self.seen.lock().unwrap();
            if let Some((_, log)) = seen.jobs.get_mut(&job.id) {
                log.state.clone_from(&state);
            }
            *counts.entry(format!("{} {state}", QUEUES[job.queue].name)).or_default() += 1;
        }
        counts
    }

    /// Returns the jobs that are shown as `completed` with tasks that have not ended so, and those
    /// whose tasks have all ended `done` and that are shown otherwise.
    pub fn compare_states(&self) -> (Vec<String>, Vec<String>) {
        let seen = self.seen.lock().unwrap();
        let pick = |choose: &dyn Fn(&Job, &JobLog) -> bool| {
            let jobs = seen.jobs.values().filter(|(job, log)| job.watched && choose(job, log));
            jobs.map(|(job, log)| format!("{} {}", job.id, log.state)).collect::<Vec<_>>()
        };
        let is_done = |job: &Job, log: &JobLog| log.done.len() as u64 >= job.all_tasks();
        (
            pick(&|job, log| log.state == "completed" && !is_done(job, log)),
            pick(&|job, log| !log.state.is_empty() && log.state != "completed" && is_done(job, log)),
        )
    }

    pub fn describe(&self, id: &str) -> String {
        let seen = self.seen.lock().unwrap();
        seen.jobs.get(id).map_or(String::new(), |(job, log)| {
            format!(
                "{id} queue={} accepted={:.1} tasks={} done={} last_run={:?}",
                QUEUES[job.queue].name,
                log.accepted.unwrap_or_default(),
                job.all_tasks(),
                log.done.len(),
                log.last_run
            )
        })
    }

    pub fn count_accepted(&self) -> usize {
        self.seen.lock().unwrap().jobs.values().filter(|(_, log)| log.accepted.is_some()).count()
    }
}

impl Job {
    fn all_tasks(&self) -> u64 {
        self.count * self.steps * self.times.0.max(1)
    }

    fn body(&self) -> String {
        let mut step = vec![
            ("count", int(self.count)),
            ("cpu", int(self.cpu)),
            ("memMb", int(self.mem_mb)),
            ("estimateMs", int(self.estimate_ms)),
        ];
        if !self.label.is_empty() {
            step.push(("constraints", text(self.label)));
        }
        if self.work == Work::Lasts || (matches!(self.work, Work::Fails(_)) && !self.watched) {
            step.push(("longRunning", Json::Bool(true)));
        }
        let step: Vec<_> =
            step.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        let steps = (0..self.steps).map(|index| {
            let mut step = step.clone();
            if index > 0 {
                step.push(("after".to_owned(), Json::Arr(vec![int(index - 1)])));
            }
            Json::Obj(step)
        });
        let mut job = vec![
            ("spec".to_owned(), text(format!("payload of {}", self.id))),
            ("steps".to_owned(), Json::Arr(steps.collect())),
        ];
        if self.times.0 > 0 {
            job.push(("maxRuns".to_owned(), int(self.times.0)));
            job.push(("startAtMs".to_owned(), int(World::unix_ms())));
            job.push(("intervalMs".to_owned(), int(self.times.1)));
        }
        Json::Obj(job).write()
    }
}

/// Returns a version of the configuration without the queue `removed`.
pub fn config(version: u64, removed: &str) -> Json {
    let routes = QUEUES.iter().filter(|queue| queue.name != removed).map(|queue| {
        let advice = obj([
            ("decideMs", num(queue.decide_ms)),
            ("eachMs", num(queue.each_ms)),
            ("validMs", int(TICKET_MS)),
        ]);
        obj([
            ("name", text(queue.name)),
            ("host", text(HOST)),
            ("pathPrefix", text(format!("/{}/", queue.name))),
            ("type", text("unsafe")),
            ("timeoutMs", num(3_000)),
            ("targetLatencyMs", int(queue.target_ms)),
            ("priority", int(queue.priority)),
            ("service", text("workers")),
            ("attempts", int(queue.attempts)),
            ("stretch", num(queue.stretch)),
            ("advice", advice),
            ("public", Json::Bool(false)),
        ])
    });
    let service = obj([("name", text("workers")), ("enforcesCapacity", Json::Bool(false))]);
    let tenant = obj([
        ("name", text("kaje80")),
        ("apiKeys", Json::Arr(vec![text(KEY)])),
        ("priority", num(1)),
        ("weight", num(32)),
        ("cap", obj([("cpu", num(777_217)), ("memMb", num(1_270_187)), ("gpu", num(0))])),
    ]);
    obj([
        ("version", int(version)),
        ("routes", Json::Arr(routes.collect())),
        ("services", Json::Arr(vec![service])),
        ("limits", obj([("maxHeaderBytes", num(16_384)), ("maxBodyBytes", num(262_144))])),
        ("tenants", Json::Arr(vec![tenant])),
    ])
}
