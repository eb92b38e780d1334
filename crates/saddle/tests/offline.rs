//! Tests of commands that need no entry: help texts, usage errors and checks of files.

mod support;

use std::fmt::Write;

use support::{run, stdout, transcript};

/// Guards against unintended changes of commands, options and exit codes, which scripts use.
#[actix_rt::test]
async fn help_texts() {
    let mut texts = stdout(&run(&[], "--help").await);
    for command in [
        "check", "apply", "get", "submit", "status", "cancel", "request", "explain", "domain",
        "key",
    ] {
        let output = run(&[], &format!("{command} --help")).await;
        assert_eq!(output.status.code(), 0);
        let _ = write!(texts, "\n$ saddle {command} --help\n{}", stdout(&output));
    }
    insta::assert_snapshot!(texts);
}

/// Guards against a wrong command line that is sent to an entry, or whose message does not state
/// the option and the accepted values.
#[actix_rt::test]
async fn usage_errors() {
    let mut texts = String::new();
    for words in [
        "",
        "aply",
        "--frob",
        "apply --frob x",
        "apply",
        "get",
        "get --entry localhost:80",
        "get --entry 127.0.0.1:9 --timeout-ms 0",
        "get --entry 127.0.0.1:9 --key a --key-file b",
        "domain up north",
        "key withdraw a --name b",
        "submit --queue q --tasks 10001 --cpu-millis 5",
        "submit --queue q --tasks 1",
        "submit job.json --queue q",
        "request Answer/Sheets",
        "request q --id a/b",
        "explain job.json",
        "explain --queue q none.json",
    ] {
        let output = run(&[], words).await;
        let _ = write!(texts, "$ saddle {words}\n{}\n", transcript(&output, &[]));
    }
    insta::assert_snapshot!(texts);
}

/// Guards against a file check that needs an entry, or lists only some of the problems.
#[actix_rt::test]
async fn files_are_checked() {
    let mut texts = String::new();
    for words in [
        "check ../../examples/meskel.json",
        "check ../../examples/dunmore.json",
        "check --settings ../../examples/entry.json",
        "check ../../examples/entry.json",
        "check --settings ../../examples/job.json",
        "check ../model/tests/data/broken.json",
        "check --json ../model/tests/data/malformed.json",
        "check none.json",
        "submit ../../examples/entry.json",
        "submit --id J/1 ../../examples/job.json",
    ] {
        let output = run(&[], words).await;
        let _ = write!(texts, "$ saddle {words}\n{}\n", transcript(&output, &[]));
    }
    insta::assert_snapshot!(texts);
}
