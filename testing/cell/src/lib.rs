//! Starts a cell, a small cluster of real processes, for integration tests.
//!
//! Every process has its own loopback address, so that tests that run in parallel
//! share no port. The programs are taken from the target directory of the test,
//! where `cargo build --workspace --bins` puts them.

#![expect(clippy::missing_panics_doc, reason = "a failed step must fail the test")]

pub mod flood;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use model::object::ObjectSet;
use nix::sys::signal::{self, Signal};
use serde_json::{Value, json};

/// Secret of the only key, which belongs to team `north`.
pub const NORTH_SECRET: &str = "north-secret";
/// Longest time that a test waits for a condition or an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of a cell, which is killed when it is dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.send_signal(Signal::SIGCONT);
    }

    fn send_signal(&self, signal: Signal) {
        let pid = nix::unistd::Pid::from_raw(
            i32::try_from(self.child.id()).expect("a process id fits in an i32"),
        );
        signal::kill(pid, signal).expect("the process is running");
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns its exit code.
    ///
    /// Returns `None` after [`WAIT_TIMEOUT`], or if a signal ended the process.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A cluster of processes: a platform, and entries and workers in each domain.
#[derive(Debug)]
pub struct TestCell {
    /// Entries, those of the first domain first.
    pub entries: Vec<TestProcess>,
    /// Workers, those of the first domain first.
    pub workers: Vec<TestProcess>,
    /// The platform.
    pub platform: TestProcess,
    /// Directory with the settings, logs and histories of all processes.
    pub directory: tempfile::TempDir,
    domains: u8,
    workers_per_domain: u8,
    entries_per_domain: u8,
}

/// Returns a loopback address that no other test process uses.
///
/// The network is derived from the process id. Host 1 is the platform, workers
/// start at 10, and entries at 100.
fn loopback_ip(host: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let [_, _, high, low] = (pid % (90 * 256)).to_be_bytes();
    Ipv4Addr::new(127, 130 + high, low, host)
}

fn binary_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its path");
    let target = test.parent().and_then(Path::parent).expect("tests run from target/*/deps");
    target.join(name)
}

fn spawn_process(directory: &Path, program: &str, name: &str, settings: &Value) -> TestProcess {
    let file = directory.join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string()).expect("the directory is writable");
    let log = std::fs::File::create(directory.join(format!("{name}.log"))).expect("writable");
    let child = Command::new(binary_path(program))
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| panic!("{program}: {error}; build the workspace's bins first"));
    TestProcess { child }
}

impl TestCell {
    /// Starts a cell, publishes its configuration and waits until all entries are ready.
    pub async fn start(domains: u8, entries_per_domain: u8, workers_per_domain: u8) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let settings = json!({
            "address": format!("{}:7000", loopback_ip(1)), "writes_per_s": 400, "reads_per_s": 2000,
            "vm_lag_ms": 500,
        });
        let platform = spawn_process(directory.path(), "standin-platform", "platform", &settings);
        let mut cell = Self {
            entries: Vec::new(),
            workers: Vec::new(),
            platform,
            directory,
            domains,
            workers_per_domain,
            entries_per_domain,
        };
        for index in 0..domains * workers_per_domain {
            let worker = cell.spawn_worker(index);
            cell.workers.push(worker);
        }
        for index in 0..domains * entries_per_domain {
            let entry = cell.spawn_entry(index);
            cell.entries.push(entry);
        }
        cell.publish_objects().await;
        for index in 0..cell.entries.len() {
            cell.wait_until_ready(index).await;
        }
        cell
    }

    fn spawn_worker(&self, index: u8) -> TestProcess {
        let name = format!("worker-{index}");
        let settings = json!({
            "name": name, "domain": self.domain_name(index / self.workers_per_domain),
            "address": worker_address(index), "capacity": worker_capacity(), "connections": 64,
            "history": self.directory.path().join(format!("{name}.jsonl")),
            "usage_lag_ms": 1000,
        });
        spawn_process(self.directory.path(), "standin-worker", &name, &settings)
    }

    /// Starts the entry with an index, for the first time or again.
    #[must_use]
    pub fn spawn_entry(&self, index: u8) -> TestProcess {
        let name = format!("entry-{index}");
        let peers: Vec<_> = (0..self.domains * self.entries_per_domain)
            .map(|peer| {
                let domain = self.domain_name(peer / self.entries_per_domain);
                json!({ "domain": domain, "address": peer_address(peer) })
            })
            .collect();
        let settings = json!({
            "name": name, "domain": self.domain_name(index / self.entries_per_domain),
            "http_address": http_address(index), "peer_address": peer_address(index),
            "outgoing_ip": loopback_ip(100 + index).to_string(), "peers": peers,
            "platform_address": format!("{}:7000", loopback_ip(1)), "balancer_delay_ms": 500,
        });
        spawn_process(self.directory.path(), "amaranthsaddle-entry", &name, &settings)
    }

    fn domain_name(&self, index: u8) -> String {
        assert!(index < self.domains, "there are {} domains", self.domains);
        format!("domain-{index}")
    }

    /// Returns the configuration objects that the cell starts with.
    #[must_use]
    pub fn objects(&self) -> ObjectSet {
        let domains: Vec<_> =
            (0..self.domains).map(|index| json!({ "name": self.domain_name(index) })).collect();
        let workers: Vec<_> = (0..self.domains * self.workers_per_domain)
            .map(|index| {
                json!({
                    "name": format!("worker-{index}"),
                    "domain": self.domain_name(index / self.workers_per_domain),
                    "rack": format!("rack-{}", index / 2),
                    "address": worker_address(index), "capacity": worker_capacity(),
                })
            })
            .collect();
        let set = json!({
            "domains": domains, "workers": workers, "teams": [{ "name": "north" }],
            "keys": [{
                "name": "north-key", "team": "north", "digest": model::object::key_digest(NORTH_SECRET),
            }],
            "shares": [{ "name": "north-share", "team": "north", "weight": 1 }],
            "limits": [{
                "name": "north-limit", "team": "north",
                "amounts": { "cpu_millis": 200_000, "memory_mb": 200_000, "slots": 200 },
            }],
            "classes": [
                { "name": "desk", "kind": "request", "urgency": "urgent" },
                { "name": "nightly", "kind": "batch", "preemptible": true },
            ],
            "queues": [
                { "name": "sheets", "team": "north", "class": "desk" },
                { "name": "reports", "team": "north", "class": "nightly" },
            ],
        });
        serde_json::from_value(set).expect("the objects are valid")
    }

    /// Publishes the initial configuration, and retries until an entry accepts it.
    async fn publish_objects(&self) {
        let objects = self.objects();
        let start = Instant::now();
        loop {
            let sent = client()
                .put(self.url(0, "/v1/config"))
                .insert_header(("x-base-version", "0"))
                .insert_header(("x-change-id", "first"))
                .send_json(&objects)
                .await;
            match sent {
                Ok(answer) if answer.status().is_success() => return,
                other => assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "the configuration was not accepted: {other:?}"
                ),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the address of an entry for callers and operators.
    #[must_use]
    pub fn address(&self, index: usize) -> String {
        assert!(index < self.entries.len(), "there are {} entries", self.entries.len());
        http_address(u8::try_from(index).expect("a cell has at most 255 entries"))
    }

    /// Returns a URL of an entry.
    #[must_use]
    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.address(index))
    }

    /// Waits until an entry passes the readiness check of a load balancer.
    pub async fn wait_until_ready(&self, index: usize) {
        let start = Instant::now();
        loop {
            let answer = client().get(self.url(index, "/health/ready")).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "entry {index} is not ready in {WAIT_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a request to an entry; returns the status, the outcome and the body.
    ///
    /// If there is no complete answer, the status is 0 and the outcome is the error.
    pub async fn send_request(
        &self,
        index: usize,
        secret: &str,
        id: &str,
    ) -> (u16, String, Vec<u8>) {
        let sent = client()
            .post(self.url(index, "/v1/queues/sheets/request"))
            .bearer_auth(secret)
            .insert_header(("x-request-id", id))
            .send_json(&json!({ "run_ms": 20, "answer_bytes": 2000 }))
            .await;
        match sent {
            Ok(mut answer) => {
                let outcome = answer.headers().get("x-outcome");
                let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default();
                let (status, outcome) = (answer.status().as_u16(), outcome.to_owned());
                match answer.body().await {
                    Ok(body) => (status, outcome, body.to_vec()),
                    Err(error) => (0, error.to_string(), Vec::new()),
                }
            }
            Err(error) => (0, error.to_string(), Vec::new()),
        }
    }

    /// Reads the records in the histories of all workers.
    #[must_use]
    pub fn read_histories(&self) -> Vec<wire::history::WorkerRecord> {
        let count = self.domains * self.workers_per_domain;
        let files =
            (0..count).map(|index| self.directory.path().join(format!("worker-{index}.jsonl")));
        files
            .flat_map(|file| {
                let text = std::fs::read_to_string(file).unwrap_or_default();
                text.lines()
                    .map(|line| {
                        serde_json::from_str(line).expect("a line of a history is a record")
                    })
                    .collect::<Vec<_>>()
            })
            .collect()
    }
}

fn http_address(index: u8) -> String {
    format!("{}:8080", loopback_ip(100 + index))
}

fn peer_address(index: u8) -> String {
    format!("{}:8081", loopback_ip(100 + index))
}

fn worker_address(index: u8) -> String {
    format!("{}:9000", loopback_ip(10 + index))
}

fn worker_capacity() -> Value {
    json!({ "cpu_millis": 32_000, "memory_mb": 65_536, "accelerators": 0, "slots": 8 })
}

/// Returns an HTTP client that shares no connections with other clients.
#[must_use]
pub fn client() -> awc::Client {
    awc::Client::builder().timeout(WAIT_TIMEOUT).finish()
}
