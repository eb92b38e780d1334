//! A whole cell in one process, for demonstration.
//!
//! A cell is here a complete small cluster, and not the scheduling state of a
//! domain as in the policy. This crate starts an entry, a stand-in platform and a
//! few stand-in workers on loopback addresses, publishes a small configuration,
//! serves a request and runs a job. It starts no other process and stores nothing
//! on disk.

use std::net::SocketAddr;
use std::time::Duration;

use entry::daemon::{self, RunningEntry};
use error_stack::{Report, ResultExt};
use model::job::{JobRecord, JobSpec, JobState};
use model::object::ObjectSet;
use model::resource::ResourceAmounts;
use model::setting::EntrySettings;

/// Number of workers of the cell.
const WORKER_COUNT: u32 = 3;
/// Secret of the demonstration team's key; not for any other use.
pub const SECRET: &str = "local-secret";
/// Timeout of each step of the demonstration.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// The demonstration failed; the report's attachments contain the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalError;

impl std::fmt::Display for LocalError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the local cell failed")
    }
}

impl std::error::Error for LocalError {}

type LocalResult<T> = Result<T, Report<LocalError>>;

/// A running cell.
#[derive(Debug)]
pub struct LocalCell {
    entry: RunningEntry,
    platform: standin_platform::RunningStandin,
    workers: Vec<standin_worker::RunningStandin>,
}

impl LocalCell {
    /// Returns the address for callers and operators.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.entry.http_address
    }

    /// Shuts down the entry, then stops the workers and the platform.
    pub async fn stop(self) {
        self.entry.shut_down().await;
        for worker in self.workers {
            worker.stop().await;
        }
        self.platform.stop().await;
    }
}

fn parse_address(text: &str) -> LocalResult<SocketAddr> {
    text.parse().change_context(LocalError)
}

/// Starts the cell; the entry listens on `http_address` (`IP:PORT`).
///
/// # Errors
/// [`LocalError`] if an address cannot be used or the configuration cannot be published.
pub async fn start(http_address: &str) -> LocalResult<LocalCell> {
    let platform = standin_platform::start(standin_platform::PlatformSettings {
        address: parse_address("127.0.0.1:0")?,
        writes_per_s: 400,
        reads_per_s: 2000,
        vm_lag_ms: 2000,
    })
    .change_context(LocalError)?;
    let mut workers = Vec::new();
    for index in 0..WORKER_COUNT {
        let settings = standin_worker::WorkerSettings {
            name: format!("worker-{index}").into(),
            domain: "local".into(),
            address: parse_address("127.0.0.1:0")?,
            capacity: worker_capacity(),
            connections: 64,
            history: None,
            usage_lag_ms: 2000,
        };
        workers.push(standin_worker::start(settings).change_context(LocalError)?);
    }
    let settings = serde_json::json!({
        "name": "entry-local",
        "domain": "local",
        "http_address": http_address,
        "peer_address": "127.0.0.1:0",
        "platform_address": platform.address().to_string(),
        "balancer_delay_ms": 0,
        "drain_s": 5,
    });
    let settings: EntrySettings = serde_json::from_value(settings).change_context(LocalError)?;
    let entry = daemon::start(settings).await.change_context(LocalError)?;
    let addresses: Vec<_> = workers.iter().map(standin_worker::RunningStandin::address).collect();
    let cell = LocalCell { entry, platform, workers };
    publish(&cell, &build_object_set(&addresses)?).await?;
    Ok(cell)
}

const fn worker_capacity() -> ResourceAmounts {
    ResourceAmounts { cpu_millis: 8_000, memory_mb: 16_384, accelerators: 0, slots: 8 }
}

/// Builds the configuration of the cell, with one worker for each address.
fn build_object_set(workers: &[SocketAddr]) -> LocalResult<ObjectSet> {
    let workers: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(index, address)| {
            serde_json::json!({
                "name": format!("worker-{index}"),
                "domain": "local",
                "rack": "rack-1",
                "address": address.to_string(),
                "capacity": worker_capacity(),
            })
        })
        .collect();
    let set = serde_json::json!({
        "domains": [{ "name": "local" }],
        "workers": workers,
        "teams": [{ "name": "demo" }],
        "keys": [{
            "name": "demo-key",
            "team": "demo",
            "digest": model::object::key_digest(SECRET),
        }],
        "shares": [{ "name": "demo-share", "team": "demo", "weight": 1 }],
        "limits": [{
            "name": "demo-limit",
            "team": "demo",
            "amounts": {
                "cpu_millis": 24_000, "memory_mb": 49_152, "accelerators": 0, "slots": 24,
            },
        }],
        "classes": [
            {
                "name": "desk",
                "kind": "request",
                "urgency": "urgent",
                "amounts": { "cpu_millis": 100 },
            },
            { "name": "nightly", "kind": "batch", "urgency": "batch", "preemptible": true },
        ],
        "queues": [
            { "name": "sheets", "team": "demo", "class": "desk" },
            { "name": "reports", "team": "demo", "class": "nightly" },
        ],
    });
    serde_json::from_value(set).change_context(LocalError)
}

async fn publish(cell: &LocalCell, set: &ObjectSet) -> LocalResult<()> {
    let url = format!("http://{}{}", cell.address(), wire::api::CONFIG_PATH);
    let client = awc::Client::builder().timeout(STEP_TIMEOUT).finish();
    let mut answer = client
        .put(url)
        .insert_header((wire::api::BASE_VERSION_HEADER, "0"))
        .insert_header((wire::api::CHANGE_ID_HEADER, "local-1"))
        .send_json(set)
        .await
        .map_err(|error| Report::new(LocalError).attach(error.to_string()))?;
    if answer.status().is_success() {
        return Ok(());
    }
    let body = answer.body().await.unwrap_or_default();
    Err(Report::new(LocalError).attach(String::from_utf8_lossy(&body).into_owned()))
}

/// Sends one request and returns the length of its answer in bytes.
///
/// # Errors
/// [`LocalError`] with the body of the answer if its status is not a success.
pub async fn send_request(cell: &LocalCell) -> LocalResult<usize> {
    let url = format!("http://{}{}sheets/request", cell.address(), wire::api::QUEUE_PREFIX);
    let client = awc::Client::builder().timeout(STEP_TIMEOUT).finish();
    let mut answer = client
        .post(url)
        .bearer_auth(SECRET)
        .send_json(&serde_json::json!({ "run_ms": 20, "answer_bytes": 100 }))
        .await
        .map_err(|error| Report::new(LocalError).attach(error.to_string()))?;
    let body = answer.body().await.change_context(LocalError)?;
    if answer.status().is_success() {
        return Ok(body.len());
    }
    Err(Report::new(LocalError).attach(String::from_utf8_lossy(&body).into_owned()))
}

/// Submits a job of three tasks, waits until it is done and returns its record.
///
/// # Errors
/// [`LocalError`] if the job is refused or is not done in time.
pub async fn run_job(cell: &LocalCell) -> LocalResult<JobRecord> {
    let spec = JobSpec {
        id: "hello".into(),
        queue: "reports".into(),
        tasks: 3,
        amounts: ResourceAmounts { cpu_millis: 1_000, memory_mb: 512, ..ResourceAmounts::ZERO },
        run_ms: 500,
        payload: serde_json::json!({ "run_ms": 500 }),
    };
    let url = format!("http://{}{}", cell.address(), wire::api::JOB_PATH);
    let client = awc::Client::builder().timeout(STEP_TIMEOUT).finish();
    let build_error =
        |error: &dyn std::fmt::Display| Report::new(LocalError).attach(error.to_string());
    let sent = client.post(&url).bearer_auth(SECRET).send_json(&spec).await;
    let answer = sent.map_err(|error| build_error(&error))?;
    if !answer.status().is_success() {
        return Err(build_error(&answer.status()));
    }
    let deadline = std::time::Instant::now() + STEP_TIMEOUT;
    while std::time::Instant::now() < deadline {
        let read = client.get(format!("{url}/hello")).bearer_auth(SECRET).send().await;
        let mut answer = read.map_err(|error| build_error(&error))?;
        let record: JobRecord = answer.json().await.change_context(LocalError)?;
        if record.state == JobState::Done {
            return Ok(record);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(build_error(&format_args!("the job was not done within {STEP_TIMEOUT:?}")))
}
