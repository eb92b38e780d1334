//! A cell: the store, minions and entry processes, and requests to the entries.

use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{num, obj, text, Json};
use crate::minion::{Behaviour, Minion, Past};
use crate::record::Record;
use crate::store::Store;

pub const KEY: &str = "key-1";
pub const HOST: &str = "hub.example";
pub const PREFIX: &str = "/sheets/";
const ZONES: [&str; 4] = ["bole", "kirkos", "yeka", "lideta"];

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

pub struct Cell {
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub history: Arc<Mutex<Vec<Past>>>,
    pub record: Arc<Record>,
    pub entries: Mutex<Vec<Entry>>,
    directory: PathBuf,
    program: String,
}

/// Returns the loopback address of this script's entries, which no other script uses.
fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, 60 + high % 40, middle, low])
}

/// Returns a free address, with a port below those that systems hand out by themselves.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(7_000);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::new(own_ip(), port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn config() -> Json {
    let route = obj(vec![
        ("name", text("answer-sheet")),
        ("host", text(HOST)),
        ("pathPrefix", text(PREFIX)),
        ("type", text("unsafe")),
        ("timeoutMs", num(3_000)),
        ("targetLatencyMs", num(250)),
        ("priority", num(0)),
        ("service", text("survey-hub")),
        ("attempts", num(2)),
        ("stretch", Json::Num(1.5)),
    ]);
    let service = obj(vec![("name", text("survey-hub")), ("enforcesCapacity", Json::Bool(false))]);
    let tenant = obj(vec![
        ("name", text("t-1")),
        ("apiKeys", Json::Arr(vec![text(KEY)])),
        ("weight", num(100)),
        ("cap", obj(vec![("cpu", num(0)), ("memMb", num(0)), ("gpu", num(0))])),
    ]);
    obj(vec![
        ("version", num(7)),
        ("routes", Json::Arr(vec![route])),
        ("services", Json::Arr(vec![service])),
        ("limits", obj(vec![("maxBodyBytes", num(262_144))])),
        ("tenants", Json::Arr(vec![tenant])),
    ])
}

impl Cell {
    /// Starts the store, the minions and the entries, and waits until all entries are ready.
    pub fn start(
        record: Arc<Record>,
        program: &str,
        minions: usize,
        entries: usize,
        seed: u64,
        behaviour: Behaviour,
    ) -> Result<Self, String> {
        let store = Store::new(seed);
        store.put("op", "config", &config());
        let store_address = http::listen(store.clone());
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let mut cell = Self {
            store,
            minions: Vec::new(),
            history: Arc::default(),
            record,
            entries: Mutex::default(),
            directory,
            program: program.to_owned(),
        };
        for _ in 0..minions {
            cell.add_minion(behaviour.clone());
        }
        for index in 0..entries {
            cell.add_entry(index, store_address)?;
        }
        cell.wait(20, "all entries are ready and the fleet has an owner", || {
            cell.all_ready() && cell.owner().is_some()
        })?;
        // The fleet is loaded, and the first polls of the minions are answered.
        std::thread::sleep(Duration::from_millis(2_500));
        Ok(cell)
    }

    /// Adds a minion, which registers at once.
    pub fn add_minion(&mut self, behaviour: Behaviour) -> Arc<Minion> {
        let index = self.minions.len();
        let id = format!("i-{index:010x}");
        let zone = ZONES[index % ZONES.len()];
        let (history, record) = (self.history.clone(), self.record.clone());
        let minion = Minion::new(&id, zone, behaviour, history, record);
        let address = http::listen(minion.clone());
        minion.run(address, &self.store);
        self.minions.push(minion.clone());
        minion
    }

    fn add_entry(&mut self, index: usize, store: SocketAddr) -> Result<(), String> {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let (front, ready) = (free_address(), free_address());
        let settings = obj(vec![
            ("name", text(&name)),
            ("domain", text(zone)),
            ("ip", text(own_ip().to_string())),
            ("front", text(front.to_string())),
            ("ready", text(ready.to_string())),
            ("peer_port", num(u64::from(free_address().port()))),
            ("metrics_port", num(u64::from(free_address().port()))),
            ("store", text(store.to_string())),
            ("cpu_share", Json::Num(0.25)),
            ("cores", num(1)),
            ("link_mbps", num(1_000)),
            ("worker_lease_ms", num(6_000)),
            ("revoke_ms", num(5_000)),
            ("keep_s", num(120)),
            ("grace_s", num(6)),
        ]);
        let path = self.directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.render()).map_err(|error| error.to_string())?;
        let log = self.directory.join(format!("{name}.log"));
        let child = spawn(&self.program, &path, &log)?;
        let entry = Entry { name, front, ready, settings: path, log, child };
        self.entries.lock().unwrap().push(entry);
        Ok(())
    }

    fn all_ready(&self) -> bool {
        let addresses: Vec<_> = self.entries.lock().unwrap().iter().map(|e| e.ready).collect();
        addresses.into_iter().all(|address| {
            let path = "/amaranthsaddle/readyz";
            let answer =
                http::call(address, "GET", path, &[("host", "ready")], "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    /// Returns the index of the entry that the ownership row names.
    pub fn owner(&self) -> Option<usize> {
        let holder = self.store.read("state", "owner", "owner")?.str("holder");
        self.entries.lock().unwrap().iter().position(|entry| entry.name == holder)
    }

    pub fn signal(&self, index: usize, signal: i32) {
        let entries = self.entries.lock().unwrap();
        self.record.line(&format!("signal {signal} to {}", entries[index].name));
        let pid = i32::try_from(entries[index].child.id()).expect("a process id");
        unsafe { kill(pid, signal) };
    }

    /// Waits for the end of an entry's process and starts it again, as the platform does.
    pub fn restart(&self, index: usize) -> Result<(), String> {
        loop {
            let entry = &mut self.entries.lock().unwrap()[index];
            if entry.child.try_wait().map_err(|error| error.to_string())?.is_some() {
                entry.child = spawn(&self.program, &entry.settings, &entry.log)?;
                self.record.line(&format!("{} starts again", entry.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn wait(&self, s: u64, what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(s);
        while !condition() {
            if Instant::now() > until {
                return Err(format!("waited in vain: {what}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Sends a client's request to an entry; none without a complete answer.
    pub fn request(&self, index: usize, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        let (front, name) = {
            let entries = self.entries.lock().unwrap();
            let entry = &entries[index % entries.len()];
            (entry.front, entry.name.clone())
        };
        let headers = [("host", HOST), ("x-api-key", KEY), ("x-deadline-ms", "3000")];
        let path = format!("{PREFIX}{id}");
        self.record.line(&format!("client to {name}: {method} {id}"));
        let timeout = Duration::from_millis(3_000);
        let answer = http::call(front, method, &path, &headers, body, timeout);
        let text = answer.as_ref().map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        self.record.line(&format!("{name} to client: {method} {id}: {text}"));
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job, again at other entries while it has no final answer, up to four times.
    pub fn submit(&self, index: usize, id: &str, body: &str) -> bool {
        for attempt in 0..5 {
            match self.request(index + attempt, "POST", id, body) {
                Some((200..=299, _)) => return true,
                None | Some((502 | 503 | 504 | 429, _)) => {}
                Some(_) => return false,
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn past(&self) -> Vec<Past> {
        self.history.lock().unwrap().clone()
    }
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

fn spawn(program: &str, settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(program);
    // No entry outlives the script, also if that is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command
        .env_clear()
        .env("AMARANTHSADDLE_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("{program}: {error}"))
}

impl Drop for Cell {
    fn drop(&mut self) {
        for entry in self.entries.lock().unwrap().iter_mut() {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
