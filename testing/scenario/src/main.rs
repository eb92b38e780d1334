//! Command line of the scenario runner.

use std::env;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use scenario::check;
use scenario::record::RunHistory;
use scenario::report::RunSummary;
use scenario::run::{self, RunOptions};

const USAGE: &str = "Usage: scenario run [--keep] [--binaries DIR] FILE...
       scenario check DIR

`run` runs scenario files with the programs of DIR (default: next to this
program, or target/debug). `check` reads the histories of an earlier run.";

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("", "keep", "keep the files of every run");
    options.optopt("", "binaries", "directory with the programs", "DIR");
    options.optflag("h", "help", "print this text");
    let parsed = match options.parse(env::args().skip(1)) {
        Ok(parsed) => parsed,
        Err(error) => return usage_error(&error.to_string()),
    };
    if parsed.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let result = match parsed.free.split_first() {
        Some((command, files)) if command == "run" && !files.is_empty() => {
            let binaries = parsed.opt_str("binaries").map_or_else(default_binaries, PathBuf::from);
            run_files(files, &RunOptions { binaries, keep: parsed.opt_present("keep") })
        }
        Some((command, [dir])) if command == "check" => check_dir(Path::new(dir)),
        _ => return usage_error("a command with files is needed"),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("scenario: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("scenario: {message}\n{USAGE}");
    ExitCode::from(2)
}

/// Returns the directory of this program if it holds the stand-ins, else `target/debug`.
fn default_binaries() -> PathBuf {
    let program = env::current_exe().ok();
    let dir = program.as_deref().and_then(Path::parent).map(Path::to_owned);
    dir.filter(|dir| dir.join("standin-platform").exists())
        .unwrap_or_else(|| PathBuf::from("target/debug"))
}

fn run_files(files: &[String], options: &RunOptions) -> io::Result<bool> {
    let mut out = io::stdout();
    let mut all_clean = true;
    for file in files {
        let report = run::run_file(Path::new(file), options)?;
        let verdict = if report.is_clean() { "passed" } else { "FAILED" };
        write!(out, "{file}: {verdict}\n{report}")?;
        all_clean &= report.is_clean();
    }
    Ok(all_clean)
}

fn check_dir(dir: &Path) -> io::Result<bool> {
    let history = RunHistory::read(dir)?;
    let violations = check::check_history(&history);
    let mut out = io::stdout();
    writeln!(out, "{}", RunSummary::collect(&history))?;
    for violation in &violations {
        writeln!(out, "{violation}")?;
    }
    writeln!(out, "{} violations", violations.len())?;
    Ok(violations.is_empty())
}
