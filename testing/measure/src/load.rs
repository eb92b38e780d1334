//! Callers that send requests and jobs.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use crate::cell;

/// What a load has seen.
#[derive(Debug)]
pub struct LoadResult {
    /// Answers with status 200.
    pub answered: u64,
    /// Other answers and errors.
    pub failed: u64,
    /// Microseconds from sending to the whole answer.
    pub times: Histogram<u64>,
}

/// Where and with which headers a load sends its requests.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// URL of the request.
    pub url: String,
    /// Headers besides the request's identifier.
    pub headers: Vec<(String, String)>,
}

/// Sends requests from a number of callers; each waits for its answer and for its turn.
///
/// An interval of zero makes a caller send as soon as it has its answer.
pub async fn send_requests(
    target: &LoadTarget,
    callers: u32,
    interval: Duration,
    length: Duration,
) -> LoadResult {
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds");
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

/// Submits a job to an entry.
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

/// Submits jobs of one task at an even rate.
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
