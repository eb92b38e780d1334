//! Callers that send requests and submit jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::cell;

/// Result of a load of requests.
#[derive(Debug)]
pub struct LoadResult {
    /// Number of complete answers with a success status.
    pub answered: u64,
    /// Number of other answers and errors.
    pub failed: u64,
    /// Times from sending to the complete answer, in microseconds.
    pub times: Histogram<u64>,
}

/// URL and headers of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// URL of the requests.
    pub url: String,
    /// Headers of the requests.
    pub headers: Vec<(String, String)>,
}

/// Sends requests from a number of callers, each with one request at a time.
///
/// A caller sends at the given interval, or later if its last answer was late. With
/// an interval of zero, it sends as soon as it has its answer.
pub async fn send_requests(
    target: &LoadTarget,
    callers: u32,
    interval: Duration,
    length: Duration,
) -> LoadResult {
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let result = Rc::new(RefCell::new(LoadResult { answered: 0, failed: 0, times }));
    let client = cell::client();
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (client, target) = (client.clone(), target.clone());
            let result = Rc::clone(&result);
            actix_rt::spawn(async move {
                let mut due = start + interval * caller / callers.max(1);
                while start.elapsed() < length {
                    tokio::time::sleep_until(due.into()).await;
                    let sent = Instant::now();
                    let ok = send_request(&client, &target).await;
                    let mut result = result.borrow_mut();
                    if ok {
                        result.answered += 1;
                        let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(1);
                        let _ = result.times.record(micros.max(1));
                    } else {
                        result.failed += 1;
                    }
                    drop(result);
                    due = (due + interval).max(Instant::now());
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    Rc::try_unwrap(result).expect("all callers have ended").into_inner()
}

async fn send_request(client: &awc::Client, target: &LoadTarget) -> bool {
    let mut request = client.post(&target.url);
    for (name, value) in &target.headers {
        request = request.insert_header((name.as_str(), value.as_str()));
    }
    match request.send_body(r#"{"run_ms": 0, "answer_bytes": 1000}"#).await {
        Ok(mut answer) => {
            let body = answer.body().await;
            answer.status().is_success() && body.is_ok_and(|body| body.len() == 1000)
        }
        Err(_) => false,
    }
}

/// Submits a job to an entry and requires that it is accepted.
pub async fn submit_job(address: &str, id: &str, tasks: u32, run_ms: u64) {
    let spec = json!({
        "id": id, "queue": "reports", "tasks": tasks,
        "amounts": { "cpu_millis": 1000, "memory_mb": 1000 }, "payload": { "run_ms": run_ms },
    });
    let sent = cell::client()
        .post(format!("http://{address}/v1/jobs"))
        .bearer_auth("secret-1")
        .send_json(&spec)
        .await;
    let status = sent.map(|answer| answer.status().as_u16());
    assert!(matches!(status, Ok(201)), "job {id} was not accepted: {status:?}");
}

/// Submits jobs of one task that runs for 1 s, at an even rate.
pub async fn submit_jobs(address: &str, prefix: &str, jobs_per_s: u32, length: Duration) {
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < length {
        let due = start + Duration::from_secs(1) * turn / jobs_per_s;
        tokio::time::sleep_until(due.into()).await;
        let (address, id) = (address.to_owned(), format!("{prefix}-{turn}"));
        actix_rt::spawn(async move { submit_job(&address, &id, 1, 1000).await });
        turn += 1;
    }
}
