//! Tests of the runner that need no program of the system under test.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use scenario::parse;
use scenario::run::{self, RunOptions, RunReport};

const CELL: &str = "domain a { entries 1 workers 1 }\nteam north\nwait 1ms\n";

fn run_with(binaries: &Path) -> RunReport {
    let script = parse::parse_script(CELL).expect("the scenario is valid");
    let options = RunOptions { binaries: binaries.to_owned(), keep: false };
    run::run_script("test", &script, &options).expect("the run can write its files")
}

fn write_program(path: &Path, lines: &str) {
    fs::write(path, format!("#!/bin/sh\n{lines}\n")).expect("the program can be written");
    let executable = fs::Permissions::from_mode(0o755);
    fs::set_permissions(path, executable).expect("the program can be made executable");
}

/// Deletes the files that the run kept because it failed.
fn remove_kept(report: &RunReport) {
    let kept = report.kept.as_ref().expect("the files of a failed run are kept");
    fs::remove_dir_all(kept).expect("the files can be deleted");
}

/// Guards against a run that passes although its programs are missing.
#[test]
fn missing_program_is_a_failure() {
    let empty = tempfile::tempdir().expect("a directory can be created");
    let report = run_with(empty.path());
    assert!(!report.is_clean());
    assert!(report.failures[0].contains("standin-platform"), "{report}");
    remove_kept(&report);
}

/// Guards against processes that outlive a run that failed early.
///
/// The platform stand-in starts and sleeps, then the proxy exits with an error.
#[test]
fn processes_end_with_the_run() {
    let dir = tempfile::tempdir().expect("a directory can be created");
    let (program, pid_file) = (dir.path().join("standin-platform"), dir.path().join("pid"));
    let write_id = format!("echo $$ > {}", pid_file.display());
    write_program(&program, &format!("{write_id}\necho listening on nothing\nexec sleep 600"));
    write_program(&dir.path().join("standin-proxy"), "exit 1");
    write_program(&dir.path().join("standin-worker"), "exit 1");
    let report = run_with(dir.path());
    assert!(report.failures.iter().any(|it| it.contains("proxy ended unexpectedly")), "{report}");
    let pid = fs::read_to_string(&pid_file).expect("the program was started");
    let process = Path::new("/proc").join(pid.trim());
    assert!(!process.exists(), "process {} still runs", pid.trim());
    remove_kept(&report);
}
