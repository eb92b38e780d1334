//! Texts that a person reads without any entry: help, usage errors and check results.

mod support;

use std::fmt::Write;

use support::{run, stdout, transcript};

/// Scripts and people rely on the documented commands, options and exit codes.
#[actix_rt::test]
async fn help_texts() {
    let mut texts = stdout(&run(&[], "--help").await);
    for command in
        ["check", "apply", "get", "submit", "status", "cancel", "request", "domain", "key"]
    {
        let output = run(&[], &format!("{command} --help")).await;
        assert_eq!(output.status.code(), 0);
        let _ = write!(texts, "\n$ saddle {command} --help\n{}", stdout(&output));
    }
    insta::assert_snapshot!(texts);
}

/// A wrong command line must send nothing and name the option and what is accepted.
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
    ] {
        let output = run(&[], words).await;
        let _ = write!(texts, "$ saddle {words}\n{}\n", transcript(&output, &[]));
    }
    insta::assert_snapshot!(texts);
}

/// Files must be refused with everything that is wrong, and before any entry is needed.
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
