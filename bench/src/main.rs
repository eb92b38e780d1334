//! Command line of the policy benchmark.

use std::process::ExitCode;

use bench::record::RecordedFigures;
use bench::workload::{DEPLOYMENTS, WorkloadList};
use bench::{FULL_MS, QUICK_MS, scale, table};
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: amaranthsaddle-bench [options]"));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the workloads, 1 by default", "N");
    options.optopt("", "threads", "runs at a time, 2 by default", "N");
    options.optopt("", "deployment", "only this deployment", "NAME");
    options.optflag("", "quick", "a short run that measures nothing");
    options.optflag("", "scale", "cost of decisions against the number of workers");
    options.optflag("", "record", "write the figures to bench/recorded.json");
    options.optflag("h", "help", "print this text");
    options
}

fn fail(error: &str) -> ExitCode {
    eprintln!("amaranthsaddle-bench: {error}");
    ExitCode::from(2)
}

fn number(matches: &Matches, name: &str, default: u64) -> Result<u64, String> {
    let value = matches.opt_get_default(name, default);
    value.map_err(|error| format!("--{name}: {error}"))
}

/// Runs the benchmark; false if a promise was broken.
fn run(matches: &Matches) -> Result<bool, String> {
    let seed = number(matches, "seed", 1)?;
    let quick = matches.opt_present("quick");
    println!("seed {seed}\n");
    if matches.opt_present("scale") {
        print!("{}", scale::table(seed, quick));
        return Ok(true);
    }
    let threads = usize::try_from(number(matches, "threads", 2)?).unwrap_or(2);
    let recorded = RecordedFigures::load().map_err(|error| error.to_string())?;
    let mut present = RecordedFigures { seed, ..RecordedFigures::default() };
    let only = matches.opt_str("deployment");
    let mut sound = true;
    for spec in &DEPLOYMENTS {
        if only.as_ref().is_some_and(|name| name != spec.name) {
            continue;
        }
        let list = WorkloadList::build(spec, seed, if quick { QUICK_MS } else { FULL_MS });
        let (rows, breaches) = bench::compare(&list, threads);
        println!("## {}\n\n{}", spec.name, table::figures(&rows));
        println!("Ratios to the first-fit baseline:\n\n{}", table::to_baseline(&rows));
        let old = recorded.as_ref().filter(|old| old.seed == seed && !quick);
        if let Some(old) = old.and_then(|old| old.deployments.get(spec.name)) {
            println!("Ratios to the recorded figures:\n\n{}", table::to_recorded(&rows, old));
        }
        sound &= breaches.is_empty();
        for breach in breaches.iter().take(20) {
            println!("broken promise: {breach}");
        }
        present.deployments.insert(spec.name.to_owned(), rows);
    }
    if matches.opt_present("record") && !quick {
        present.save().map_err(|error| error.to_string())?;
    }
    Ok(sound)
}
