//! Tests of the `saddle` program against a cell of real processes: entries in
//! two domains, a platform and four workers.

use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use cell::{NORTH_SECRET, TestCell, WAIT_TIMEOUT};
use serde_json::{Value, json};
use wire::history::WorkerEvent;

/// Exit code and output of one run of the program.
#[derive(Debug)]
struct SaddleRun {
    code: i32,
    stdout: String,
    stderr: String,
}

impl SaddleRun {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    fn failure(&self) -> Value {
        serde_json::from_str(&self.stderr).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

fn run_saddle(entries: &str, words: &[&str]) -> SaddleRun {
    let output = Command::new(env!("CARGO_BIN_EXE_saddle"))
        .args(words)
        .env("SADDLE_ENTRY", entries)
        .env_remove("SADDLE_KEY")
        .output()
        .expect("the program starts");
    SaddleRun {
        code: output.status.code().expect("the program ends by itself"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Runs the program and asserts its exit code.
fn expect_code(code: i32, entries: &str, words: &[&str]) -> SaddleRun {
    let run = run_saddle(entries, words);
    assert_eq!(run.code, code, "saddle {words:?}: {run:?}");
    run
}

/// Repeats a command until a condition holds.
async fn run_until(
    entries: &str,
    words: &[&str],
    mut condition: impl FnMut(&SaddleRun) -> bool,
) -> SaddleRun {
    let start = Instant::now();
    loop {
        let run = run_saddle(entries, words);
        if condition(&run) {
            return run;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "saddle {words:?} in {WAIT_TIMEOUT:?}: {run:?}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn start_cell() -> TestCell {
    TestCell::start(2, 1, 2).await
}

fn write_json(cell: &TestCell, name: &str, document: &Value) -> String {
    let file: PathBuf = cell.directory.path().join(name);
    std::fs::write(&file, document.to_string()).expect("the directory is writable");
    file.display().to_string()
}

fn long_job(id: &str, tasks: u32) -> Value {
    json!({
        "id": id, "queue": "reports", "tasks": tasks,
        "amounts": { "cpu_millis": 1000, "memory_mb": 100 }, "payload": { "run_ms": 60_000 },
    })
}

/// Returns the starts (`true`) and ends (`false`) of a job's tasks, each with its worker.
fn task_events(cell: &TestCell, job: &str) -> Vec<(String, bool)> {
    let events = cell.read_histories().into_iter().filter_map(|record| match record.event {
        WorkerEvent::TaskStarted { task, .. } if task.job.as_str() == job => {
            Some((record.worker.to_string(), true))
        }
        WorkerEvent::TaskEnded { task, .. } if task.job.as_str() == job => {
            Some((record.worker.to_string(), false))
        }
        _ => None,
    });
    events.collect()
}

fn count_events(events: &[(String, bool)], started: bool) -> usize {
    events.iter().filter(|(_, start)| *start == started).count()
}

/// Guards against a set that cannot be checked, published or read back, and against a
/// change based on an old version that undoes another one.
#[actix_rt::test]
async fn set_is_checked_published_and_read() {
    let cell = start_cell().await;
    let entry = cell.address(0);
    let mut set = serde_json::to_value(cell.objects()).expect("a set");
    set["shares"][0]["weight"] = json!(7);
    let file = write_json(&cell, "set.json", &set);
    expect_code(0, &entry, &["check", &file]);
    let reply = expect_code(0, &entry, &["apply", &file, "--base", "1", "--json"]).json();
    assert_eq!(reply["version"], 2);
    assert_eq!(reply["in_force"], json!(["domain-0", "domain-1"]));
    assert_eq!(reply["not_confirmed"], json!([]));
    // The status must agree with the answer to the change.
    let status = expect_code(0, &entry, &["status", "--json"]).json();
    for domain in status["domains"].as_array().expect("a list") {
        assert_eq!(domain["confirmed"], 2, "{status}");
    }

    set["shares"][0]["weight"] = json!(9);
    let stale = write_json(&cell, "stale.json", &set);
    let run = expect_code(4, &entry, &["apply", &stale, "--base", "1", "--json"]);
    assert_eq!(run.failure()["exit_code"], 4);
    assert_eq!(run.failure()["version"], 2);
    let share = expect_code(0, &entry, &["get", "share", "north-share"]).json();
    assert_eq!(share["weight"], 7, "the refused change was published");

    set["queues"][0]["team"] = json!("nobody");
    let broken = write_json(&cell, "broken.json", &set);
    for words in [["check", &broken], ["apply", &broken]] {
        let run = expect_code(2, &entry, &words);
        assert!(run.stderr.contains("nobody"), "{run:?}");
    }

    for (kind, names) in [
        ("domain", "domain-0\ndomain-1\n"),
        ("worker", "worker-0\nworker-1\nworker-2\nworker-3\n"),
        ("team", "north\n"),
        ("key", "north-key\n"),
        ("share", "north-share\n"),
        ("limit", "north-limit\n"),
        ("queue", "sheets\nreports\n"),
        ("class", "desk\nnightly\n"),
    ] {
        assert_eq!(expect_code(0, &entry, &["get", kind]).stdout, names, "{kind}");
    }
    expect_code(2, &entry, &["get", "queue", "none"]);
    let document =
        run_until(&cell.address(1), &["get", "--json"], |run| run.json()["version"] == 2).await;
    assert_eq!(document.json()["change_id"], reply["change_id"]);
    let whole = expect_code(0, &entry, &["get"]);
    assert_eq!(whole.stderr, "version 2\n");
    let copy = write_json(&cell, "copy.json", &whole.json());
    expect_code(0, &entry, &["apply", &copy, "--base", "2"]);
}

/// Guards against a granted key that an entry refuses, a withdrawn key that an
/// entry still accepts, and a request that runs without a valid key.
#[actix_rt::test]
async fn granted_and_withdrawn_keys_are_enforced() {
    let cell = start_cell().await;
    let entries = [cell.address(0), cell.address(1)];
    let body = r#"{"run_ms": 20, "answer_bytes": 500}"#;
    let request = |entry: &str, key: &str, id: &str| {
        run_saddle(entry, &["request", "sheets", "--key", key, "--id", id, "--body", body])
    };
    for entry in &entries {
        let run = request(entry, NORTH_SECRET, "good");
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.stdout.starts_with("good"), "{run:?}");
        let run = request(entry, "wrong", "bad");
        assert_eq!(run.code, 2, "{run:?}");
        assert!(run.stderr.contains("bad-key"), "{run:?}");
    }
    expect_code(2, &entries[0], &["request", "sheets", "--id", "none"]);

    let granted = expect_code(0, &entries[0], &["key", "grant", "north", "--name", "second"]);
    let secret = granted.stdout.trim().to_owned();
    assert_eq!(secret.len(), 64, "{granted:?}");
    for entry in &entries {
        let words = ["request", "sheets", "--key", &secret, "--id", "granted", "--body", body];
        let run = expect_code(0, entry, &[&words[..], &["--json"]].concat()).json();
        assert_eq!((&run["id"], &run["status"]), (&json!("granted"), &json!(200)));
    }
    expect_code(2, &entries[0], &["key", "grant", "nobody"]);
    expect_code(2, &entries[0], &["key", "grant", "north", "--name", "second"]);

    expect_code(0, &entries[0], &["key", "withdraw", "second"]);
    // The owners enforce a confirmed withdrawal, so no entry may still accept the key.
    for entry in &entries {
        let run = request(entry, &secret, "withdrawn");
        assert_eq!(run.code, 2, "{run:?}");
    }
    assert_eq!(request(&entries[1], NORTH_SECRET, "other").code, 0);
    expect_code(2, &entries[0], &["key", "withdraw", "second"]);
    let ran: Vec<_> = cell
        .read_histories()
        .into_iter()
        .filter_map(|record| match record.event {
            WorkerEvent::RequestStarted { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    let refused = ["bad", "none", "withdrawn"];
    assert!(!ran.iter().any(|id| refused.contains(&id.as_str())), "refused, but ran: {ran:?}");
    assert_eq!(ran.iter().filter(|id| *id == "granted").count(), 2, "{ran:?}");
}

/// Guards against a job whose state some entry does not know, and against tasks
/// of a cancelled job that keep running on the workers.
#[actix_rt::test]
async fn jobs_are_run_and_cancelled() {
    let cell = start_cell().await;
    let entries = [cell.address(0), cell.address(1)];
    let key_file = cell.directory.path().join("key");
    std::fs::write(&key_file, format!("{NORTH_SECRET}\n")).expect("the directory is writable");
    let key = ["--key-file", key_file.to_str().expect("UTF-8")];
    let with_key = |words: &[&str]| -> Vec<String> {
        words.iter().chain(&key).map(|word| (*word).to_owned()).collect()
    };
    let call = |code: i32, entry: &str, words: &[&str]| {
        let words = with_key(words);
        expect_code(code, entry, &words.iter().map(String::as_str).collect::<Vec<_>>())
    };
    let submitted = call(
        0,
        &entries[0],
        &[
            "submit",
            "--id",
            "short",
            "--queue",
            "reports",
            "--tasks",
            "3",
            "--cpu-millis",
            "500",
            "--payload",
            r#"{"run_ms": 300}"#,
        ],
    );
    assert_eq!(submitted.stdout, "short\n");
    let words = with_key(&["status", "short", "--json"]);
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    let done =
        run_until(&entries[1], &words, |run| run.code == 0 && run.json()["state"] == "done").await;
    assert_eq!(done.json()["done"], json!([0, 1, 2]));
    let line = call(0, &entries[0], &["status", "short"]).stdout;
    assert!(line.starts_with("job short: done, 3 of 3 tasks done"), "{line}");
    // Cancelling a finished job does not change it.
    let unchanged = call(0, &entries[1], &["cancel", "short"]).stdout;
    assert!(unchanged.starts_with("job short: done"), "{unchanged}");

    let file = write_json(&cell, "long.json", &long_job("long", 4));
    let reply = call(0, &entries[0], &["submit", &file, "--json"]).json();
    assert_eq!(reply["job"], "long");
    let start = Instant::now();
    while count_events(&task_events(&cell, "long"), true) < 4 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the tasks did not start");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    expect_code(2, &entries[0], &["status", "long", "--key", "wrong"]);
    expect_code(2, &entries[0], &["cancel", "long"]);
    let record = call(0, &entries[1], &["cancel", "long", "--json"]).json();
    assert_eq!(record["state"], "cancelled", "{record}");
    assert_eq!(record["spec"]["id"], "long");
    // The entry moves the job's row meanwhile; the job must be found at every moment.
    for turn in 0..20 {
        let line = call(0, &entries[turn % 2], &["status", "long"]).stdout;
        assert!(line.starts_with("job long: cancelled"), "{line}");
    }
    let start = Instant::now();
    while count_events(&task_events(&cell, "long"), false) < 4 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the tasks of a cancelled job go on");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        count_events(&task_events(&cell, "long"), true),
        4,
        "a cancelled job was started again"
    );

    for words in [&["status", "none"][..], &["cancel", "none"][..]] {
        let run = call(2, &entries[0], words);
        assert!(run.stderr.contains("not-found"), "{run:?}");
    }
    let mut huge = long_job("huge", 1);
    huge["amounts"]["cpu_millis"] = json!(1_000_000);
    let file = write_json(&cell, "huge.json", &huge);
    let run = call(2, &entries[0], &["submit", &file, "--json"]);
    assert_eq!(run.failure()["kind"], "never-fits");
}

/// Guards against tasks that start in a domain that is out, work of that domain
/// that the other one does not take over, and a domain that stays out.
#[actix_rt::test]
async fn domain_is_taken_out_and_in() {
    let cell = start_cell().await;
    let entry = cell.address(0);
    let reply = expect_code(0, &entry, &["domain", "out", "domain-1", "--json"]).json();
    assert_eq!(reply["version"], 2);
    let out = expect_code(0, &entry, &["domain", "out", "domain-1"]);
    assert!(out.stdout.contains("version 2 is in force everywhere"), "done twice: {out:?}");
    let status =
        run_until(&entry, &["status", "--json"], |run| run.json()["domains"][1]["confirmed"] == 2);
    assert_eq!(status.await.json()["domains"][1]["state"], "out");
    assert_eq!(expect_code(0, &entry, &["get", "domain", "domain-1"]).json()["state"], "out");

    // The entry of the domain that is out passes work on to the other domain.
    let words =
        ["submit", &write_json(&cell, "job.json", &long_job("moved", 6)), "--key", NORTH_SECRET];
    expect_code(0, &cell.address(1), &words);
    expect_code(
        0,
        &cell.address(1),
        &["request", "sheets", "--key", NORTH_SECRET, "--id", "passed-on"],
    );
    let start = Instant::now();
    while count_events(&task_events(&cell, "moved"), true) < 6 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the job does not run in the other domain");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let elsewhere = task_events(&cell, "moved")
        .iter()
        .all(|(worker, _)| ["worker-0", "worker-1"].contains(&worker.as_str()));
    assert!(elsewhere, "a task ran in a domain that is out");
    expect_code(0, &entry, &["cancel", "moved", "--key", NORTH_SECRET]);

    expect_code(0, &entry, &["domain", "in", "domain-1"]);
    expect_code(0, &entry, &["domain", "out", "domain-0"]);
    expect_code(0, &entry, &["request", "sheets", "--key", NORTH_SECRET, "--id", "back-in"]);
    expect_code(2, &entry, &["domain", "out", "nowhere"]);
}

/// Guards against exit codes that mislead scripts: if no entry is reachable,
/// nothing has changed; a change that a paused owner has not confirmed is committed.
#[actix_rt::test]
async fn unreachable_entries_and_paused_owners_have_their_codes() {
    let cell = start_cell().await;
    let entry = cell.address(0);
    let closed = entry.replace(":8080", ":8099");
    for words in [&["get"][..], &["status"][..], &["domain", "out", "domain-1"][..]] {
        expect_code(3, &closed, words);
    }
    let failure = expect_code(3, &closed, &["get", "--json"]).failure();
    assert_eq!(failure["exit_code"], 3);
    // The next entry must be tried if one cannot be reached.
    expect_code(0, &format!("{closed},{entry}"), &["get", "domain"]);

    cell.entries[1].pause();
    let run = expect_code(6, &entry, &["domain", "out", "domain-1", "--json"]);
    assert_eq!(run.json()["not_confirmed"], json!(["domain-1"]));
    assert_eq!(run.json()["in_force"], json!(["domain-0"]));
    let run = expect_code(6, &entry, &["key", "grant", "north"]);
    assert!(run.stderr.contains("not confirmed by: domain-1"), "{run:?}");
    cell.entries[1].resume();
    run_until(&entry, &["status", "--json"], |run| run.json()["domains"][1]["confirmed"] == 3)
        .await;
    let run = expect_code(0, &entry, &["domain", "out", "domain-1"]);
    assert!(run.stdout.contains("version 3 is in force everywhere"), "{run:?}");
}

/// Guards against a job that does not continue when its only domain is back in
/// service, and against one that continues although it was cancelled meanwhile.
#[actix_rt::test]
async fn job_of_the_only_domain_goes_on_when_it_is_back() {
    let cell = TestCell::start(1, 1, 2).await;
    let entry = cell.address(0);
    for (job, tasks) in [("stays", 2), ("dropped", 1)] {
        let file = write_json(&cell, "job.json", &long_job(job, tasks));
        expect_code(0, &entry, &["submit", &file, "--key", NORTH_SECRET]);
    }
    let events = |started| {
        let count_of = |job| count_events(&task_events(&cell, job), started);
        (count_of("stays"), count_of("dropped"))
    };
    let start = Instant::now();
    while events(true) != (2, 1) {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the tasks did not start");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    expect_code(0, &entry, &["domain", "out", "domain-0"]);
    let start = Instant::now();
    while events(false) != (2, 1) {
        assert!(start.elapsed() < WAIT_TIMEOUT, "the tasks go on in a domain that is out");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    // Long enough for the owner to have tried to move the job to another domain.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let cancelled = expect_code(0, &entry, &["cancel", "dropped", "--key", NORTH_SECRET]).stdout;
    assert!(cancelled.starts_with("job dropped: cancelled"), "{cancelled}");
    expect_code(0, &entry, &["domain", "in", "domain-0"]);
    let start = Instant::now();
    while events(true).0 < 4 {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the job does not go on in the domain that is back"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let status = expect_code(0, &entry, &["status", "dropped", "--key", NORTH_SECRET]).stdout;
    assert!(status.starts_with("job dropped: cancelled"), "{status}");
    assert_eq!(events(true), (4, 1), "a cancelled job was started again");
}
