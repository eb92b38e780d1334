//! Tests of `saddle explain` against a simulated entry of the platform's daemon.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use model::kind::{ErrorBody, ErrorKind};
use saddle::environment::CliEnvironment;
use serde_json::{Value, json};
use support::{run, stdout, transcript};

/// Questions that arrived, each with the number of its headers that hold a key.
type Questions = Arc<Mutex<Vec<(Value, usize)>>>;

/// Starts an entry that answers every question with this status and body.
fn start(status: u16, body: Value) -> (SocketAddr, Questions) {
    let questions = Questions::default();
    let arrived = questions.clone();
    let server = HttpServer::new(move || {
        let (arrived, body) = (arrived.clone(), body.clone());
        let answer = move |request: HttpRequest, question: Bytes| {
            let question = serde_json::from_slice(&question).expect("the question is JSON");
            let keys = ["authorization", "x-api-key"];
            let keys = keys.iter().filter(|name| request.headers().contains_key(**name)).count();
            arrived.lock().expect("no handler panicked").push((question, keys));
            let status = StatusCode::from_u16(status).expect("a valid status");
            std::future::ready(HttpResponse::build(status).json(&body))
        };
        App::new().route("/explain", web::post().to(answer))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .expect("a loopback port is free");
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    (address, questions)
}

fn explanation() -> Value {
    let amounts = json!({ "cpu_millis": 5000, "memory_mb": 9100, "accelerators": 0, "slots": 0 });
    let no_amounts = json!({ "cpu_millis": 0, "memory_mb": 0, "accelerators": 0, "slots": 0 });
    let unusable = json!({
        "draining": 1, "silent": 2, "unreported": 0, "domain_out": 0, "quarantined": 1, "held": 0,
    });
    let workers = json!({
        "in_pool": 12, "with_label": 6, "usable": 2, "with_room": 1, "slow": 1, "usual": 1,
        "quick": 0, "unusable": unusable,
    });
    json!({
        "config_version": 4, "queue": "gate-route", "pool": "north", "priority": 0,
        "outcome": "asks-for-advice", "refusal": null,
        "team": {
            "name": "red", "weight": 20, "beyond_share": false,
            "limit": { "cpu_millis": 64000, "memory_mb": null, "accelerators": null },
            "used": amounts, "unreported": no_amounts,
        },
        "rank": "on-time", "due_in_ms": 1500, "ordered_due_in_ms": 1350, "begins_in_ms": 0,
        "short_of_room": true, "room_wait_ms": 240, "call_wait_ms": 12, "further_steps": 2,
        "steps": [
            {
                "step": 0, "tasks": 3, "gang": false, "amounts": amounts, "label": "edge",
                "after": [], "workers": workers, "team_allows": 11, "least_speed": 0.834,
                "advice": { "call_ms": 12, "eligible_share": 0.7 }, "startable": 1,
                "first_workers": [
                    { "worker": "w07", "rack": "r3", "speed": "usual", "tasks": 1 },
                ],
                "waits_for": "no-room", "preemption": "preempts",
                "preempted": [
                    { "worker": "w02", "job": "long", "task": "long.0.0.4", "priority": 2 },
                ],
            },
            {
                "step": 1, "tasks": 4, "gang": true, "amounts": amounts, "label": null,
                "after": [0], "workers": workers, "team_allows": null, "least_speed": null,
                "advice": null, "startable": 0, "first_workers": [],
                "waits_for": "earlier-steps", "preemption": "not-needed", "preempted": [],
            },
        ],
    })
}

fn job_file() -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file can be made");
    std::fs::write(file.path(), r#"{"steps": [{"count": 3, "cpu": 5000}]}"#).expect("written");
    file
}

/// Guards against unintended changes of the text, and against a question that carries the key or
/// differs from what was asked.
#[actix_rt::test]
async fn an_explanation_as_text_and_json() {
    let (entry, questions) = start(200, explanation());
    let file = job_file();
    let words = format!("explain --queue gate-route --team red {}", file.path().display());
    let output = run(&[entry], &words).await;
    insta::assert_snapshot!(transcript(&output, &[entry]));
    let environment =
        CliEnvironment { entry: Some(entry.to_string()), key: Some("secret".to_owned()) };
    let arguments: Vec<_> = words.split(' ').chain(["--json"]).map(str::to_owned).collect();
    let output = saddle::run(&arguments, &environment).await;
    let printed: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!((output.status.code(), printed), (0, explanation()));
    let job = json!({ "steps": [{ "count": 3, "cpu": 5000 }] });
    let asked = json!({ "queue": "gate-route", "team": "red", "job": job });
    let questions = questions.lock().expect("no handler panicked").clone();
    assert_eq!(questions, [(asked.clone(), 0), (asked, 0)]);
}

/// Guards against an exit code that says that the job would be refused where nobody could answer, and
/// the other way round.
#[actix_rt::test]
async fn failures_have_their_exit_codes() {
    let file = job_file();
    let words = format!("explain --queue q {}", file.path().display());
    for (kind, code) in
        [(ErrorKind::NoOwner, 3), (ErrorKind::NotFound, 2), (ErrorKind::BadInput, 2)]
    {
        let body = ErrorBody::new(kind, "said by the test");
        let body = serde_json::to_value(body).expect("JSON");
        let (entry, _) = start(kind.answer().status, body);
        let output = run(&[entry], &words).await;
        assert_eq!(output.status.code(), code, "{}", output.stderr);
        assert!(output.stderr.contains("said by the test"), "{}", output.stderr);
    }
    let (earlier_build, _) = start(200, json!("metrics"));
    let output = run(&[earlier_build], &words).await;
    assert_eq!(output.status.code(), 3, "{}", output.stderr);
    let output = run(&[support::closed_address()], &words).await;
    assert_eq!(output.status.code(), 3, "{}", output.stderr);
}
