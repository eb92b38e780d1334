//! A small deployment: the store, workers, the processes under test, and callers.

use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, quote};
use crate::store::Store;
use crate::worker::{PastRun, Worker};

/// The program and the build of deploy/system.toml.
const PROGRAM: &str = "target/release/amaranthsaddle";
pub const HOST: &str = "nony24.example";
pub const KEY: &str = "key-of-tenant-1";
pub const OTHER_KEY: &str = "key-of-tenant-2";
const ZONES: [&str; 4] = ["bole", "kirkos", "yeka", "lideta"];

pub struct Record {
    epoch: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.epoch.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} ms  {text}");
    }
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Cell {
    pub epoch: Instant,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// Returns a loopback address of this process.
fn own_ip(last: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::from([127, 64 + (id >> 8 & 127) as u8, (id & 255) as u8, last])
}

/// Returns a free port of an address, below the ports that systems hand out by themselves.
fn free_port(ip: IpAddr, taken: &[u16]) -> u16 {
    let mut ports = (7_000..30_000).filter(|port| !taken.contains(port));
    ports.find(|port| TcpListener::bind((ip, *port)).is_ok()).expect("a free port")
}

impl Cell {
    /// Starts a store, workers and entries; none if the program does not start.
    pub fn start(record: &str, workers: usize, nodes: usize, config: &str) -> Option<Self> {
        let epoch = Instant::now();
        let file = Mutex::new(File::create(record).ok()?);
        let record = Arc::new(Record { epoch, file });
        let store = Arc::new(Store::new());
        store.put("op", "config", config);
        record.line(&format!("operator: op/config = {config}"));
        let listener = TcpListener::bind((own_ip(1), 0)).ok()?;
        let address = listener.local_addr().ok()?;
        let served = store.clone();
        http::serve(listener, move |request| served.handle(&request));
        let workers = (0..workers)
            .map(|index| Worker::start(&store, own_ip(2), index, ZONES[index % 4], epoch))
            .collect();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let mut cell = Self { epoch, record, store, workers, nodes: Vec::new(), folder };
        for index in 0..nodes {
            cell.add_node(index, address)?;
        }
        for index in 0..nodes {
            cell.spawn(index)?;
        }
        cell.wait_ready().then_some(cell)
    }

    fn add_node(&mut self, index: usize, store: SocketAddr) -> Option<()> {
        let ip = own_ip(10 + index as u8);
        let mut ports = Vec::new();
        for _ in 0..4 {
            ports.push(free_port(ip, &ports));
        }
        let name = format!("front-{}-{}", ZONES[index % 4], index + 1);
        let mut text = String::from("{");
        let _ = write!(
            text,
            "\"name\":{},\"domain\":\"{}\",\"ip\":\"{ip}\",\"front\":\"{ip}:{}\",\
             \"ready\":\"{ip}:{}\",\"peer_port\":{},\"metrics_port\":{},\"store\":\"{store}\",\
             \"cpu_share\":0.25,\"cores\":1,\"link_mbps\":1000.0,\"memory_mb\":260,\
             \"max_fds\":4100,\"worker_lease_ms\":6000,\"revoke_ms\":5000,\"keep_s\":120,\
             \"grace_s\":6}}",
            quote(&name),
            ZONES[index % 4],
            ports[0],
            ports[1],
            ports[2],
            ports[3]
        );
        let settings = self.folder.join(&name);
        std::fs::write(&settings, text).ok()?;
        let (front, ready) = (SocketAddr::new(ip, ports[0]), SocketAddr::new(ip, ports[1]));
        self.nodes.push(Node { name, front, ready, settings, child: None });
        Some(())
    }

    /// Starts the process of a node with the command of the deploy file.
    pub fn spawn(&mut self, index: usize) -> Option<()> {
        let node = &mut self.nodes[index];
        // Set by the one who wants to look into a run.
        let log = match std::env::var("ENTRY_LOGS") {
            Ok(folder) => {
                let path = PathBuf::from(folder).join(&node.name);
                Stdio::from(File::options().create(true).append(true).open(path).ok()?)
            }
            Err(_) => Stdio::null(),
        };
        let child = Command::new(PROGRAM)
            .env("AMARANTHSADDLE_NODE_FILE", &node.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .ok()?;
        node.child = Some(child);
        Some(())
    }

    /// Waits until all nodes report that they are ready.
    fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        self.nodes.iter().all(|node| {
            loop {
                let second = Duration::from_secs(1);
                let path = "/amaranthsaddle/readyz";
                let answer = http::call(node.ready, "GET", path, &[], "", second);
                if answer.is_some_and(|(status, _)| status == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    }

    pub fn sleep_ms(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }

    /// Sends a client's request and records it; returns status and body, 0 without an answer.
    pub fn request(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.request_within(node, method, path, body, 3_000)
    }

    /// Sends a request of a client that leaves after some time.
    pub fn request_within(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
        patience_ms: u64,
    ) -> (u16, String) {
        self.request_as(KEY, node, method, path, body, patience_ms)
    }

    /// Sends a request with a key.
    pub fn request_as(
        &self,
        key: &str,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
        patience_ms: u64,
    ) -> (u16, String) {
        let headers = [("host", HOST), ("x-api-key", key), ("x-deadline-ms", "3000")];
        let address = self.nodes[node].front;
        let timeout = Duration::from_millis(patience_ms);
        let sent = self.epoch.elapsed().as_millis();
        let answer = http::call(address, method, path, &headers, body, timeout);
        let (status, answer) = answer.unwrap_or_default();
        let name = &self.nodes[node].name;
        self.record.line(&format!("{method} {path} {body} to {name} at {sent} -> {status} {answer}"));
        (status, answer)
    }

    /// Hands a job in, like a client with retries at other nodes; returns whether it was accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            if self.request(attempt % self.nodes.len(), "POST", path, body).0 / 100 == 2 {
                return true;
            }
            self.sleep_ms(400);
        }
        false
    }

    /// Returns the state that a node gives for a job.
    pub fn state(&self, node: usize, path: &str) -> String {
        let (status, body) = self.request(node, "GET", path, "");
        let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
        if status == 200 { state.unwrap_or_default() } else { format!("status {status}") }
    }

    /// Waits until this many tasks of a job are present; returns whether that happened.
    pub fn wait_present(&self, id: &str, count: usize, timeout_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        while self.present(id).len() < count {
            if Instant::now() > until {
                return false;
            }
            self.sleep_ms(20);
        }
        true
    }

    /// Returns the tasks of a job that are present, with their workers.
    pub fn present(&self, id: &str) -> Vec<(String, String)> {
        let all = self.workers.iter().flat_map(|worker| {
            worker.present().into_iter().map(|task| (task, worker.name.clone()))
        });
        all.filter(|(task, _)| task.starts_with(id)).collect()
    }

    pub fn history(&self) -> Vec<PastRun> {
        let mut runs: Vec<_> = self.workers.iter().flat_map(|worker| worker.history()).collect();
        runs.sort_by_key(|run| run.start_ms);
        runs
    }

    /// Records all runs and ends the case.
    pub fn finish(&self, broken: bool, verdict: &str) -> i32 {
        for run in self.history() {
            let end = run.end.map_or("present".to_owned(), |(at, how)| format!("{how} at {at}"));
            self.record.line(&format!(
                "run {} {} on {}: started at {}, {end}",
                run.task, run.run, run.worker, run.start_ms
            ));
        }
        self.record.line(&format!("verdict: {}: {verdict}", if broken { "BROKEN" } else { "held" }));
        println!("{}: {verdict}", if broken { "BROKEN" } else { "held" });
        i32::from(broken)
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a configuration in the form of the pages, with three queues and some tenants, each with
/// its key.
pub fn config(version: u64, tenants: &[(&str, &str)]) -> String {
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, key)| {
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"weight\":40,\
                 \"cap\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}"
            )
        })
        .collect();
    let tenants = tenants.join(",");
    let route = |name: &str, priority: u32, attempts: u32, stretch: f64, target_ms: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"type\":\"unsafe\",\"timeoutMs\":3000,\"service\":\"survey-hub\",\
             \"priority\":{priority},\"attempts\":{attempts},\"stretch\":{stretch},\
             \"targetLatencyMs\":{target_ms},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\
         \"services\":[{{\"name\":\"survey-hub\",\"enforcesCapacity\":false,\
         \"healthPath\":\"/healthz\",\"maxConns\":64}}],\
         \"limits\":{{\"maxBodyBytes\":262144}},\
         \"tenants\":[{tenants}]}}",
        route("quarterly-turnover", 1, 4, 2.2, 1_000),
        route("weekly-branch", 2, 3, 4.0, 3_000),
        route("answer-sheet", 0, 2, 1.5, 250)
    )
}
