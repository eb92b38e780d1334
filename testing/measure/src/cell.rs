//! Cell of real processes that is started for a measurement.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::usage::ProcessUsage;

/// Longest wait for a condition or an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A process of the cell, which is killed when it is dropped.
#[derive(Debug)]
pub struct MeasuredProcess(Child);

impl MeasuredProcess {
    /// Reads its resource usage so far.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::read(self.0.id())
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the number of this run, which keeps its addresses apart from other runs.
#[must_use]
pub fn run_number() -> u8 {
    u8::try_from(std::process::id() % 40).unwrap_or_default()
}

/// Returns the name of a worker.
#[must_use]
pub fn worker_name(index: usize) -> String {
    format!("worker-{index:04}")
}

/// Returns the name of a domain.
#[must_use]
pub fn domain_name(index: usize) -> String {
    format!("domain-{index:02}")
}

/// Returns the address on which a worker listens.
#[must_use]
pub fn worker_address(run: u8, index: usize) -> String {
    format!("127.{}.{}.{}:9000", 200 + run, 10 + index / 200, 1 + index % 200)
}

/// Returns an address of this run for a process that is not a worker.
#[must_use]
pub fn address(run: u8, host: usize, port: u16) -> String {
    format!("127.{}.1.{host}:{port}", 200 + run)
}

/// Starts a program from the directory of this one and waits until it is listening.
///
/// The program prints a line that begins with "listening" when it is.
#[must_use]
pub fn spawn_program(program: &str, arguments: &[String]) -> MeasuredProcess {
    let directory = std::env::current_exe().expect("a program knows its path");
    let binary: PathBuf = directory.with_file_name(program);
    let mut child = Command::new(&binary)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| panic!("{program}: {error}; build the workspace's bins first"));
    let output = child.stdout.take().expect("standard output is a pipe");
    let mut line = String::new();
    let read = BufReader::new(output).read_line(&mut line);
    assert!(read.is_ok() && line.starts_with("listening"), "{program} did not start");
    MeasuredProcess(child)
}

/// A cell: a platform stand-in, a process of workers, and entries.
#[derive(Debug)]
pub struct MeasuredCell {
    /// Number of this run, which is part of all addresses.
    pub run: u8,
    /// The platform stand-in.
    pub platform: MeasuredProcess,
    /// The process that runs all workers.
    pub fleet: MeasuredProcess,
    /// Entries in the order in which they were started.
    pub entries: Vec<MeasuredProcess>,
    /// Version of the last published configuration.
    pub version: u64,
    /// Index of the domain of each entry.
    entry_domains: Vec<usize>,
    directory: tempfile::TempDir,
    platform_address: String,
}

impl MeasuredCell {
    /// Starts the platform and the workers.
    ///
    /// A light worker only reports that it runs nothing. If `platform_address` is
    /// given, entries use it to reach the platform.
    #[must_use]
    pub fn start(
        full_workers: usize,
        light_workers: usize,
        platform_address: Option<String>,
    ) -> Self {
        let run = run_number();
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let settings = json!({
            "address": address(run, 1, 7000), "writes_per_s": 400, "reads_per_s": 2000,
            "vm_lag_ms": 500,
        });
        let file = directory.path().join("platform.json");
        std::fs::write(&file, settings.to_string()).expect("the directory is writable");
        let file = file.to_string_lossy().into_owned();
        let platform = spawn_program("standin-platform", &["--settings".to_owned(), file]);
        let fleet = [
            "fleet".to_owned(),
            run.to_string(),
            full_workers.to_string(),
            light_workers.to_string(),
        ];
        Self {
            run,
            platform,
            fleet: spawn_program("measure", &fleet),
            entries: Vec::new(),
            version: 0,
            entry_domains: Vec::new(),
            directory,
            platform_address: platform_address.unwrap_or_else(|| address(run, 1, 7000)),
        }
    }

    /// Starts an entry in a domain.
    pub fn add_entry(&mut self, domain: usize) {
        let index = self.entries.len();
        let peers: Vec<_> = (0..index)
            .map(|peer| {
                let domain = domain_name(self.entry_domains[peer]);
                json!({ "domain": domain, "address": self.peer_address(peer) })
            })
            .collect();
        let settings = json!({
            "name": format!("entry-{index}"), "domain": domain_name(domain),
            "http_address": self.http_address(index), "peer_address": self.peer_address(index),
            "peers": peers, "platform_address": self.platform_address,
            "balancer_delay_ms": 0, "seed": 7,
        });
        let file = self.directory.path().join(format!("entry-{index}.json"));
        std::fs::write(&file, settings.to_string()).expect("the directory is writable");
        let file = file.to_string_lossy().into_owned();
        self.entry_domains.push(domain);
        self.entries.push(spawn_program("amaranthsaddle-entry", &["--settings".to_owned(), file]));
    }

    fn peer_address(&self, index: usize) -> String {
        address(self.run, 100 + index, 8081)
    }

    /// Returns the address of an entry for callers and operators.
    #[must_use]
    pub fn http_address(&self, index: usize) -> String {
        address(self.run, 100 + index, 8080)
    }

    /// Publishes objects through the first entry, with retries until it accepts them.
    ///
    /// Returns the HTTP status and the time until the answer.
    pub async fn publish_objects(&mut self, objects: &Value) -> (u16, Duration) {
        let start = Instant::now();
        loop {
            let sent = client()
                .put(format!("http://{}/v1/config", self.http_address(0)))
                .insert_header(("x-base-version", self.version.to_string()))
                .insert_header(("x-change-id", format!("change-{}", self.version + 1)))
                .send_json(objects)
                .await;
            match sent {
                Ok(answer) if answer.status().is_success() => {
                    self.version += 1;
                    return (answer.status().as_u16(), start.elapsed());
                }
                Ok(mut other) => {
                    let body = other.body().await.unwrap_or_default();
                    assert!(
                        start.elapsed() < WAIT_TIMEOUT,
                        "the configuration was not accepted: {body:?}"
                    );
                }
                Err(error) => assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "the configuration was not accepted: {error}"
                ),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the numbers of reads and writes that the platform has counted.
    pub async fn platform_counts(&self) -> (f64, f64) {
        let stats = read_json(&format!("http://{}/admin/stats", address(self.run, 1, 7000))).await;
        (stats["reads"].as_f64().unwrap_or(0.0), stats["writes"].as_f64().unwrap_or(0.0))
    }

    /// Waits until a number of workers have reported to the first entry.
    ///
    /// They must run at least `tasks` tasks in total.
    pub async fn wait_until_running(&self, workers: usize, tasks: u64) {
        let start = Instant::now();
        loop {
            let url = format!("http://{}/v1/status", self.http_address(0));
            let status = read_json(&url).await;
            let list = status["workers"].as_array().cloned().unwrap_or_default();
            let reported = list.iter().filter(|worker| worker["state"] == "reported").count();
            let running: u64 = list.iter().filter_map(|worker| worker["tasks"].as_u64()).sum();
            if reported == workers && running >= tasks {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{reported} of {workers} workers have reported, {running} of {tasks} tasks run: {status:.300}"
            );
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Builds the objects of a cell, with a number of workers for each domain.
///
/// Each team has a key, a share, a limit and a queue. The first worker is reached at
/// `first_address`, if given.
#[must_use]
pub fn build_objects(
    run: u8,
    workers: &[usize],
    teams: usize,
    first_address: Option<&str>,
) -> Value {
    let domains: Vec<_> =
        (0..workers.len()).map(|index| json!({ "name": domain_name(index) })).collect();
    let worker_domains =
        workers.iter().enumerate().flat_map(|(domain, count)| vec![domain; *count]);
    let list: Vec<_> = worker_domains
        .enumerate()
        .map(|(index, domain)| {
            let own_address = worker_address(run, index);
            json!({
                "name": worker_name(index), "domain": domain_name(domain),
                "rack": format!("rack-{}", index / 8), "connections": 1024,
                "address": if index == 0 { first_address.unwrap_or(&own_address) } else { &own_address },
                "capacity": crate::fleet::WORKER_CAPACITY,
            })
        })
        .collect();
    let per_team = |make: &dyn Fn(usize) -> Value| (0..teams).map(make).collect::<Vec<_>>();
    json!({
        "domains": domains, "workers": list,
        "teams": per_team(&|team| json!({ "name": format!("team-{team}") })),
        "keys": per_team(&|team| json!({
            "name": format!("key-{team}"), "team": format!("team-{team}"),
            "digest": model::object::key_digest(&format!("secret-{team}")),
        })),
        "shares": per_team(&|team| json!({
            "name": format!("share-{team}"), "team": format!("team-{team}"), "weight": 1,
        })),
        "limits": per_team(&|team| json!({
            "name": format!("limit-{team}"), "team": format!("team-{team}"),
            "amounts": { "cpu_millis": 80_000_000, "memory_mb": 160_000_000, "slots": 20_000 },
        })),
        "classes": [
            { "name": "desk", "kind": "request", "urgency": "urgent" },
            { "name": "nightly", "kind": "batch" },
        ],
        "queues": per_team(&|team| match team {
            0 => json!({ "name": "sheets", "team": "team-0", "class": "desk" }),
            1 => json!({ "name": "reports", "team": "team-1", "class": "nightly" }),
            team => json!({
                "name": format!("queue-{team}"), "team": format!("team-{team}"), "class": "nightly",
            }),
        }),
    })
}

async fn read_json(url: &str) -> Value {
    match client().get(url).send().await {
        Ok(mut answer) => answer.json().limit(16 << 20).await.unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

/// Returns an HTTP client that shares no connections with other clients.
#[must_use]
pub fn client() -> awc::Client {
    awc::Client::builder().timeout(WAIT_TIMEOUT).finish()
}
