//! Measures the latency and processor time that an entry adds to a request.
//!
//! Requests take three paths: directly to a worker, as the baseline; through the
//! entry that owns the domain; and through another entry, the forwarder.

use std::time::Duration;

use crate::cell::{self, MeasuredCell};
use crate::load::{self, LoadTarget};
use wire::worker::{RENEW_PATH, RenewCall, WorkerReport};

/// Workers of the cell.
const WORKER_COUNT: usize = 20;
/// Length of each latency measurement, in seconds.
const LATENCY_SECONDS: u64 = 8;
/// Length of each throughput measurement, in seconds.
const THROUGHPUT_SECONDS: u64 = 8;
/// Callers of a latency measurement, each with one request at a time.
const LATENCY_CALLERS: u32 = 4;
/// Callers of a throughput measurement, each with one request at a time.
const THROUGHPUT_CALLERS: u32 = 64;

/// Measures the latency and throughput of each path, and prints the results.
pub async fn measure_path() {
    println!(
        "command: measure path; 2 entries in 1 domain, {WORKER_COUNT} workers, answers of 1000 \
         bytes, latency with {LATENCY_CALLERS} callers for {LATENCY_SECONDS} s, throughput with \
         {THROUGHPUT_CALLERS} callers for {THROUGHPUT_SECONDS} s"
    );
    let mut cell = MeasuredCell::start(WORKER_COUNT, 0, None);
    cell.add_entry(0);
    cell.publish_objects(&cell::build_objects(cell.run, &[WORKER_COUNT], 6, None)).await;
    cell.wait_until_running(WORKER_COUNT, 0).await;
    cell.add_entry(0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let direct = worker_target(cell.run).await;
    let targets = [
        ("direct", direct),
        ("owner", entry_target(&cell, 0)),
        ("forwarder", entry_target(&cell, 1)),
    ];
    println!("\nlatency, microseconds\npath\tanswered\tfailed\tp50\tp99\tratio p50\tratio p99");
    let mut baseline = (1.0, 1.0);
    for (name, target) in &targets {
        let length = Duration::from_secs(LATENCY_SECONDS);
        let result =
            load::send_requests(target, LATENCY_CALLERS, Duration::from_millis(10), length).await;
        let p50 = result.times.value_at_quantile(0.5) as f64;
        let p99 = result.times.value_at_quantile(0.99) as f64;
        if *name == "direct" {
            baseline = (p50, p99);
        }
        println!(
            "{name}\t{}\t{}\t{p50}\t{p99}\t{:.2}\t{:.2}",
            result.answered,
            result.failed,
            p50 / baseline.0,
            p99 / baseline.1
        );
    }
    println!("\nthroughput\npath\trequests/s\tfailed\tentry\tms/s\tms a request\trequests/core s");
    for (index, (name, target)) in targets.iter().enumerate().skip(1) {
        let before: Vec<_> = cell.entries.iter().map(cell::MeasuredProcess::usage).collect();
        let length = Duration::from_secs(THROUGHPUT_SECONDS);
        let result = load::send_requests(target, THROUGHPUT_CALLERS, Duration::ZERO, length).await;
        let answered = result.answered as f64;
        for (entry, earlier) in before.iter().enumerate() {
            let usage = cell.entries[entry].usage();
            let role = if entry + 1 == index { "called" } else { "other" };
            let ms_per_request = usage.cpu_since(earlier) / answered;
            println!(
                "{name}\t{:.0}\t{}\t{role}\t{:.0}\t{ms_per_request:.3}\t{:.0}",
                answered / length.as_secs_f64(),
                result.failed,
                usage.rate_since(earlier),
                1000.0 / ms_per_request
            );
        }
    }
}

/// Returns the target of requests through an entry.
fn entry_target(cell: &MeasuredCell, entry: usize) -> LoadTarget {
    LoadTarget {
        url: format!("http://{}/v1/queues/sheets/request", cell.http_address(entry)),
        headers: vec![("authorization".to_owned(), "Bearer secret-0".to_owned())],
    }
}

/// Returns the target of requests sent directly to a worker.
///
/// The worker accepts only requests with its current authority and boot, and with
/// an end on its clock. It reports all three in its answer to a lease renewal, which
/// it refuses because the authority of the renewal is out of date.
async fn worker_target(run: u8) -> LoadTarget {
    let address = cell::worker_address(run, 0);
    let call = RenewCall {
        authority: model::authority::OwnerAuthority::default(),
        boot: None,
        not_after: None,
        ack: 0,
        full: false,
    };
    let mut answer = cell::client()
        .post(format!("http://{address}{RENEW_PATH}"))
        .send_json(&call)
        .await
        .expect("the worker answers");
    let report: WorkerReport = answer.json().await.expect("the answer is a report");
    let text = |name: &str, value: String| (name.to_owned(), value);
    LoadTarget {
        url: format!("http://{address}{}", wire::worker::REQUEST_PATH),
        headers: vec![
            text("x-request-id", "direct".to_owned()),
            text("x-attempt", "1".to_owned()),
            text("x-authority", report.authority.to_string()),
            text("x-boot", report.boot.to_string()),
            text("x-not-after", (report.clock.0 + 600_000).to_string()),
            text("x-team", "team-0".to_owned()),
        ],
    }
}
