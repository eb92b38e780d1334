//! Tests of log lines and metrics that `docs/OPERATIONS.md` names to operators.

use std::time::{Duration, Instant};

use cell::{NORTH_SECRET, TestCell, WAIT_TIMEOUT, client};
use serde_json::json;

/// Waits until the text that is read contains all wanted lines.
async fn wait_until_contains<F: AsyncFnMut() -> String>(mut read: F, wanted: &[&str]) {
    let start = Instant::now();
    loop {
        let text = read().await;
        let missing: Vec<_> = wanted.iter().filter(|line| !text.contains(**line)).collect();
        if missing.is_empty() {
            return;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "missing {missing:?} in:\n{text}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn fetch_metrics(cell: &TestCell, entry: usize) -> String {
    let answer = client().get(cell.url(entry, "/metrics")).send().await;
    let body = answer.expect("an answer").body().await.expect("a body");
    // The scope is the same in all metrics and the last of their labels.
    let text = String::from_utf8(body.to_vec()).expect("UTF-8");
    text.replace(",otel_scope_name=\"amaranthsaddle\"", "")
        .replace("{otel_scope_name=\"amaranthsaddle\"}", "")
}

fn read_log(cell: &TestCell, entry: usize) -> String {
    let file = cell.directory.path().join(format!("entry-{entry}.log"));
    std::fs::read_to_string(file).expect("the entry writes a log")
}

/// Returns how many changes of the configuration an entry has refused because of the platform.
async fn count_refused_changes(cell: &TestCell) -> u32 {
    let line = "refusals_total{call=\"apply\",kind=\"platform-down\"} ";
    let text = fetch_metrics(cell, 0).await;
    let count = text.lines().find_map(|found| found.strip_prefix(line));
    count.map_or(0, |count| count.parse().expect("a number"))
}

/// Guards against a platform outage that operators cannot see, or a refusal without its cause.
#[actix_rt::test]
async fn platform_outage_is_visible() {
    let cell = TestCell::start(1, 1, 2).await;
    let steady = ["owner_by_promises 0", "starts_held 0", "workers{state=\"reported\"} 2"];
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &steady).await;
    // The cell's first configuration may have been refused until the platform answered.
    let refused_before = count_refused_changes(&cell).await;
    cell.platform.pause();
    let by_promises = "ownership goes on by promises domain=domain-0";
    wait_until_contains(async || read_log(&cell, 0), &[by_promises]).await;
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &["owner_by_promises 1"]).await;
    let sent = client()
        .put(cell.url(0, "/v1/config"))
        .insert_header(("x-base-version", "1"))
        .insert_header(("x-change-id", "second"))
        .send_json(&cell.objects())
        .await;
    let body = sent.expect("an answer").body().await.expect("a body");
    let body = String::from_utf8(body.to_vec()).expect("UTF-8");
    assert!(body.contains("platform-down"), "{body}");
    assert!(body.len() < 400 && !body.contains("backtrace"), "not for a person: {body}");
    let refused =
        format!("refusals_total{{call=\"apply\",kind=\"platform-down\"}} {}\n", refused_before + 1);
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &[&refused]).await;
    cell.platform.resume();
    wait_until_contains(async || read_log(&cell, 0), &["ownership renewed on the platform again"])
        .await;
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &["owner_by_promises 0"]).await;
}

/// Guards against workers that get no work, or usage of teams, that operators cannot see.
#[actix_rt::test]
async fn workers_and_teams_are_visible() {
    let mut cell = TestCell::start(1, 1, 2).await;
    let spec = json!({
        "id": "long", "queue": "reports", "tasks": 3,
        "amounts": { "cpu_millis": 1000, "memory_mb": 100 }, "payload": { "run_ms": 60_000 },
    });
    let sent =
        client().post(cell.url(0, "/v1/jobs")).bearer_auth(NORTH_SECRET).send_json(&spec).await;
    assert_eq!(sent.expect("an answer").status().as_u16(), 201);
    let running = [
        "tasks_running 3",
        "team_used{resource=\"cpu_millis\",team=\"north\"} 3000",
        "team_allotment{resource=\"slots\",team=\"north\"}",
        "requests_waiting{urgency=\"urgent\"} 0",
    ];
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &running).await;
    cell.workers[0].kill();
    let line = "worker gets no new work worker=worker-0 domain=domain-0 state=silent was=reported";
    wait_until_contains(async || read_log(&cell, 0), &[line, "state=lost was=silent"]).await;
    wait_until_contains(
        async || fetch_metrics(&cell, 0).await,
        &["workers{state=\"lost\"} 1", "tasks_running 3"],
    )
    .await;
    let wrong = client().post(cell.url(0, "/v1/jobs")).bearer_auth("wrong").send_json(&spec).await;
    assert_eq!(wrong.expect("an answer").status().as_u16(), 401);
    let refused = "refusals_total{call=\"submit\",kind=\"bad-key\"} 1";
    wait_until_contains(async || fetch_metrics(&cell, 0).await, &[refused]).await;
}
