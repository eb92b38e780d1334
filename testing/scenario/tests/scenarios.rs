//! Runs every scenario file of the repository with real processes.
//!
//! The first comment of each scenario file states which failure it guards against.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};

use scenario::run::{self, RunOptions};

fn scenario_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/scenarios")
}

/// Returns the directory of the programs that cargo built, two levels above this test.
fn binary_dir() -> PathBuf {
    let program = env::current_exe().expect("the test knows its own path");
    program.ancestors().nth(2).expect("tests are in target/PROFILE/deps").to_owned()
}

fn run_scenario(name: &str) {
    let path = scenario_dir().join(format!("{name}.scenario"));
    let options = RunOptions { binaries: binary_dir(), keep: false };
    let report = run::run_file(&path, &options).expect("the scenario can be run");
    println!("{report}");
    assert!(report.is_clean(), "scenario {name} failed:\n{report}");
}

macro_rules! scenarios {
    ($($test:ident $file:literal;)*) => {
        const FILES: &[&str] = &[$($file,)*];

        $(#[test]
        fn $test() {
            run_scenario($file);
        })*
    };
}

scenarios! {
    allotment_reply_lost_limit_lowered "allotment-reply-lost-limit-lowered";
    answers_swapped "answers-swapped";
    answers_truncated_late_swapped "answers-truncated-late-swapped";
    connection_reset_during_requests "connection-reset-during-requests";
    connections_reset_single_sendings "connections-reset-single-sendings";
    domain_cut_from_platform "domain-cut-from-platform";
    domain_cut_from_platform_and_others "domain-cut-from-platform-and-others";
    domain_out_and_in "domain-out-and-in";
    domain_out_under_load "domain-out-under-load";
    domain_out_while_cut_off "domain-out-while-cut-off";
    domain_out_with_delayed_requests "domain-out-with-delayed-requests";
    domain_out_with_frozen_owner "domain-out-with-frozen-owner";
    domains_cut_from_each_other "domains-cut-from-each-other";
    domains_cut_from_each_other_limits "domains-cut-from-each-other-limits";
    domains_cut_limit_holds "domains-cut-limit-holds";
    entry_cut_off_then_back "entry-cut-off-then-back";
    insert_reply_lost "insert-reply-lost";
    job_reply_lost "job-reply-lost";
    key_withdrawn "key-withdrawn";
    key_withdrawn_while_domain_cut_off "key-withdrawn-while-domain-cut-off";
    key_withdrawn_with_frozen_owner "key-withdrawn-with-frozen-owner";
    limit_lowered_long_tasks "limit-lowered-long-tasks";
    limit_lowered_under_load "limit-lowered-under-load";
    non_idempotent_entry_killed "non-idempotent-entry-killed";
    non_idempotent_platform_down "non-idempotent-platform-down";
    older_version_arrives_late "older-version-arrives-late";
    operators_racing "operators-racing";
    overload_with_short_deadlines "overload-with-short-deadlines";
    owner_cut_from_worker_start_reply_lost "owner-cut-from-worker-start-reply-lost";
    owner_frozen_standby_takes_over "owner-frozen-standby-takes-over";
    owner_frozen_while_platform_down "owner-frozen-while-platform-down";
    owner_frozen_with_waiting_work "owner-frozen-with-waiting-work";
    owner_killed_mid_burst "owner-killed-mid-burst";
    owner_killed_under_load "owner-killed-under-load";
    owner_killed_while_domains_cut "owner-killed-while-domains-cut";
    owner_killed_with_full_slots "owner-killed-with-full-slots";
    planned_stop_with_long_requests "planned-stop-with-long-requests";
    platform_down_and_back "platform-down-and-back";
    rolling_restart_platform_down "rolling-restart-platform-down";
    rolling_restart_under_load "rolling-restart-under-load";
    rolling_restart_with_job "rolling-restart-with-job";
    worker_cut_off_with_tasks "worker-cut-off-with-tasks";
    worker_killed "worker-killed";
    worker_leaving "worker-leaving";
    worker_leaving_owner_killed "worker-leaving-owner-killed";
}

/// Guards against a scenario file that no test runs.
#[test]
fn every_file_has_a_test() {
    let files = fs::read_dir(scenario_dir()).expect("the scenarios are in the repository");
    let names: BTreeSet<String> = files
        .map(|file| file.expect("a directory entry can be read").path())
        .map(|path| path.file_stem().unwrap_or_default().to_string_lossy().into_owned())
        .collect();
    assert_eq!(names, FILES.iter().map(ToString::to_string).collect());
}
