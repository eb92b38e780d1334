//! Tests that the client's retries never run a job or a request twice.

mod support;

use std::fmt::Write;

use model::kind::ErrorKind;
use saddle::environment::CliEnvironment;
use support::{TestEntry, closed_address, closing_address, run, stdout, transcript};

const MESKEL: &str = include_str!("../../../examples/meskel.json");

/// Guards against a second send of a non-idempotent request: the first entry reads the request
/// and closes the connection, so it may have run it.
#[actix_rt::test]
async fn non_idempotent_request_is_not_repeated() {
    let entry = TestEntry::start(MESKEL);
    let entries = [closing_address(), entry.address];
    let output = run(&entries, "request answer-sheets --non-idempotent --id r1").await;
    let text = transcript(&output, &entries);
    assert!(text.starts_with("exit 5\n"), "{text}");
    assert!(text.contains("next: the request may have run"), "{text}");
    entry.with(|state| assert_eq!(state.requests, []));
}

/// Guards against a timeout that counts as *not run*: a paused entry accepts the connection and
/// may still run the request later.
#[actix_rt::test]
async fn request_without_an_answer_is_unknown() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let entry = TestEntry::start(MESKEL);
    let entries = [silent.local_addr().expect("the listener has an address"), entry.address];
    let words = "request answer-sheets --non-idempotent --timeout-ms 100";
    let output = run(&entries, words).await;
    assert_eq!(output.status.code(), 5, "{}", output.stderr);
    entry.with(|state| assert_eq!(state.requests, []));
}

/// Guards against ignored environment variables, and against a variable that takes precedence
/// over `--key-file`.
#[actix_rt::test]
async fn environment_and_key_file_are_used() {
    let entry = TestEntry::start(MESKEL);
    let environment = CliEnvironment {
        entry: Some(format!("{}, {}", closed_address(), entry.address)),
        key: Some("from-variable".to_owned()),
    };
    let file = tempfile::NamedTempFile::new().expect("a file can be made");
    std::fs::write(file.path(), "from-file\n").expect("the file can be written");
    let path = file.path().display().to_string();
    let words = ["request", "answer-sheets", "--key-file", &path].map(str::to_owned);
    for arguments in [&words[..2], &words[..]] {
        assert_eq!(saddle::run(arguments, &environment).await.status.code(), 0);
    }
    entry.with(|state| assert_eq!(state.keys, ["Bearer from-variable", "Bearer from-file"]));
}

/// Guards against giving up after a refused connection, which proves that nothing was sent, so
/// that even a non-idempotent request may go to the next entry.
#[actix_rt::test]
async fn non_idempotent_request_is_sent_on_where_nothing_was_sent() {
    let entry = TestEntry::start(MESKEL);
    let entries = [closed_address(), entry.address];
    let words = "request answer-sheets --non-idempotent --id r1 --body sheet --key example";
    let output = run(&entries, words).await;
    assert_eq!((output.status.code(), stdout(&output).as_str()), (0, "answer to sheet\n"));
    entry.with(|state| {
        let expected = ("sheet".to_owned(), "r1".to_owned(), "false".to_owned());
        assert_eq!(state.requests, [expected]);
        assert_eq!(state.keys, ["Bearer example"]);
    });
}

/// Guards against an idempotent request that is not sent to the next entry after a lost reply.
#[actix_rt::test]
async fn idempotent_request_is_repeated() {
    let entry = TestEntry::start(MESKEL);
    let output = run(&[closing_address(), entry.address], "request answer-sheets").await;
    assert_eq!((output.status.code(), stdout(&output).as_str()), (0, "answer to \n"));
}

/// Guards against an error kind whose exit code confuses *not run* with *unknown*.
#[actix_rt::test]
async fn refusals_state_outcome_and_next_step() {
    let entry = TestEntry::start(MESKEL);
    let mut texts = String::new();
    for kind in ErrorKind::ALL {
        entry.with(|state| state.refuse_requests = Some(*kind));
        let words = "request answer-sheets --id r1 --non-idempotent";
        let output = run(&[entry.address], words).await;
        let _ = writeln!(texts, "{}", transcript(&output, &[entry.address]));
    }
    insta::assert_snapshot!(texts);
    entry.with(|state| assert_eq!(state.requests.len(), ErrorKind::ALL.len()));
}

/// Guards against a job that two domains accept: the reply of the first entry is lost, and the
/// client must look the job up and not send it to the second entry.
#[actix_rt::test]
async fn job_with_lost_reply_is_looked_up() {
    let (first, second) = (TestEntry::start(MESKEL), TestEntry::start(MESKEL));
    first.with(|state| state.unanswered_jobs = 1);
    let entries = [first.address, second.address];
    let output = run(&entries, "submit ../../examples/job.json").await;
    insta::assert_snapshot!(transcript(&output, &entries));
    second.with(|state| assert_eq!(state.jobs, []));
    let output = run(&entries, "status weekly-summary-2026-49").await;
    insta::assert_snapshot!("job_status", transcript(&output, &entries));
}

/// Guards against wrong paths or incomplete output of `status` and `cancel`.
#[actix_rt::test]
async fn status_and_cancel_print_the_answer() {
    let entry = TestEntry::start(MESKEL);
    run(&[entry.address], "submit ../../examples/job.json").await;
    let mut texts = String::new();
    for words in ["status", "cancel weekly-summary-2026-49", "cancel none"] {
        let output = run(&[entry.address], words).await;
        let _ = writeln!(texts, "$ saddle {words}\n{}", transcript(&output, &[entry.address]));
    }
    insta::assert_snapshot!(texts);
}

/// Guards against a false result for a job whose reply was lost and that the next entry does not
/// know: it may have been accepted or not.
#[actix_rt::test]
async fn job_that_cannot_be_found_is_unknown() {
    let entry = TestEntry::start(MESKEL);
    let entries = [closing_address(), entry.address];
    let words = "submit --id j1 --queue weekly --tasks 2 --cpu-millis 100 --json";
    let output = run(&entries, words).await;
    assert_eq!((output.status.code(), output.stdout.len()), (5, 0), "{}", output.stderr);
    assert!(output.stderr.contains("\"exit_code\": 5"), "{}", output.stderr);
    entry.with(|state| assert_eq!(state.jobs, []));
}

/// Guards against job options that are not sent, and against a job without a generated id.
#[actix_rt::test]
async fn job_options_are_sent() {
    let entry = TestEntry::start(MESKEL);
    let words = "submit --queue weekly --tasks 3 --cpu-millis 2000 --memory-mb 64 --run-ms 50 \
                 --payload {\"run_ms\":50}";
    let output = run(&[entry.address], words).await;
    let spec = entry.with(|state| state.jobs.remove(0));
    assert_eq!(stdout(&output).trim(), spec.id.as_str());
    assert_eq!((spec.tasks, spec.amounts.memory_mb, spec.run_ms), (3, 64, 50));
    assert_eq!(spec.payload, serde_json::json!({ "run_ms": 50 }));
}
