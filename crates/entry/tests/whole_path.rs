//! End-to-end tests with real processes: callers, entries in two domains, a
//! platform and four workers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cell::{NORTH_SECRET, TestCell, WAIT_TIMEOUT, client};
use serde_json::{Value, json};
use wire::history::WorkerEvent;

/// Guards against an answer that is truncated or belongs to another request.
#[actix_rt::test]
async fn requests_to_either_entry_are_answered_whole() {
    let cell = TestCell::start(2, 1, 2).await;
    for turn in 0..20 {
        let id = format!("whole-{turn}");
        let (status, outcome, body) = cell.send_request(turn % 2, NORTH_SECRET, &id).await;
        assert_eq!((status, outcome.as_str()), (200, "answered"), "{id}");
        assert_eq!(body.len(), 2000, "{id}");
        assert!(body.starts_with(id.as_bytes()), "{id} got another request's answer");
    }
}

/// Guards against work with an unknown key that reaches a worker.
#[actix_rt::test]
async fn bad_key_is_refused_and_not_run() {
    let cell = TestCell::start(2, 1, 2).await;
    for entry in 0..2 {
        let id = format!("bad-{entry}");
        let (status, outcome, _) = cell.send_request(entry, "wrong", &id).await;
        assert_eq!((status, outcome.as_str()), (401, "not-run"), "{id}");
    }
    let ran = cell.read_histories().into_iter().any(|record| {
        matches!(record.event, WorkerEvent::RequestStarted { request, .. } if request.starts_with("bad"))
    });
    assert!(!ran, "a request with a bad key reached a worker");
}

/// Guards against a job that is accepted but not run to its end, or whose end is not recorded.
#[actix_rt::test]
async fn job_of_three_tasks_runs_to_its_end() {
    let cell = TestCell::start(2, 1, 2).await;
    let spec = json!({
        "id": "trio", "queue": "reports", "tasks": 3,
        "amounts": { "cpu_millis": 1000, "memory_mb": 100 }, "payload": { "run_ms": 300 },
    });
    let sent =
        client().post(cell.url(0, "/v1/jobs")).bearer_auth(NORTH_SECRET).send_json(&spec).await;
    assert_eq!(sent.expect("an answer").status().as_u16(), 201);
    let start = Instant::now();
    loop {
        let read =
            client().get(cell.url(1, "/v1/jobs/trio")).bearer_auth(NORTH_SECRET).send().await;
        let record: Value = read.expect("an answer").json().await.expect("a record");
        if record["state"] == "done" {
            assert_eq!(record["done"], json!([0, 1, 2]));
            break;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the job did not end: {record}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let started = cell.read_histories().into_iter().filter(|record| {
        matches!(&record.event, WorkerEvent::TaskStarted { task, .. } if task.job.as_str() == "trio")
    });
    assert_eq!(started.count(), 3);
}

/// Guards against requests that are cut off when an entry gets SIGTERM under load.
#[actix_rt::test]
async fn sigterm_under_load_cuts_off_nothing() {
    let mut cell = TestCell::start(2, 2, 2).await;
    cell.entries[0].terminate();
    let shared = Rc::new(cell);
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let cell = Rc::clone(&shared);
            actix_rt::spawn(async move {
                let mut failures = Vec::new();
                let start = Instant::now();
                let mut turn = 0;
                // The balancer stops sending within its delay of 500 ms.
                while start.elapsed() < Duration::from_millis(400) {
                    let id = format!("drain-{caller}-{turn}");
                    let (status, outcome, body) = cell.send_request(0, NORTH_SECRET, &id).await;
                    if status != 200 || !body.starts_with(id.as_bytes()) {
                        failures.push((id, status, outcome));
                    }
                    turn += 1;
                }
                (turn, failures)
            })
        })
        .collect();
    let mut sent = 0;
    for caller in callers {
        let (turns, failures) = caller.await.expect("the caller ends");
        assert_eq!(failures, Vec::new());
        sent += turns;
    }
    assert!(sent > 20, "only {sent} requests were sent");
    let Ok(unshared_cell) = Rc::try_unwrap(shared) else { panic!("callers have ended") };
    cell = unshared_cell;
    assert_eq!(cell.entries[0].exit_code().await, Some(0));
}

/// Guards against slots of disconnected callers that stay taken after their
/// requests have ended at the worker.
#[actix_rt::test]
async fn slots_of_disconnected_callers_are_released() {
    let cell = TestCell::start(1, 1, 1).await;
    for turn in 0..8 {
        let call = client()
            .post(cell.url(0, "/v1/queues/sheets/request"))
            .bearer_auth(NORTH_SECRET)
            .insert_header(("x-request-id", format!("lost-{turn}")))
            .send_json(&json!({ "run_ms": 400 }));
        let call_result = tokio::time::timeout(Duration::from_millis(150), call).await;
        assert!(call_result.is_err(), "the request runs longer than its caller waits");
    }
    let start = Instant::now();
    let (status, outcome, _) = cell.send_request(0, NORTH_SECRET, "next").await;
    assert_eq!((status, outcome.as_str()), (200, "answered"));
    // The worker's next report, at most 1 s later, shows that the slots are free.
    assert!(start.elapsed() < Duration::from_secs(4), "waited {:?}", start.elapsed());
}
