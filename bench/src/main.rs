//! Command line of the policy benchmark.

use std::process::ExitCode;

use bench::record::RecordedFigures;
use bench::workload::{DEPLOYMENTS, WorkloadTrace};
use bench::{FULL_RUN_MS, QUICK_RUN_MS, scale, table};
use getopts::{Matches, Options};

fn main() -> ExitCode {
    let options = build_options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return report_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: amaranthsaddle-bench [options]"));
        return ExitCode::SUCCESS;
    }
    match run_benchmark(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => report_error(&error),
    }
}

fn build_options() -> Options {
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

fn report_error(error: &str) -> ExitCode {
    eprintln!("amaranthsaddle-bench: {error}");
    ExitCode::from(2)
}

fn parse_number(matches: &Matches, name: &str, default: u64) -> Result<u64, String> {
    let value = matches.opt_get_default(name, default);
    value.map_err(|error| format!("--{name}: {error}"))
}

/// Runs the benchmark, prints its tables and returns whether all invariants held.
fn run_benchmark(matches: &Matches) -> Result<bool, String> {
    let seed = parse_number(matches, "seed", 1)?;
    let is_quick = matches.opt_present("quick");
    println!("seed {seed}\n");
    if matches.opt_present("scale") {
        print!("{}", scale::measure_table(seed, is_quick));
        return Ok(true);
    }
    let thread_count = usize::try_from(parse_number(matches, "threads", 2)?).unwrap_or(2);
    let recorded = RecordedFigures::load().map_err(|error| error.to_string())?;
    let mut current = RecordedFigures { seed, ..RecordedFigures::default() };
    let selected = matches.opt_str("deployment");
    let mut has_passed = true;
    for spec in &DEPLOYMENTS {
        if selected.as_ref().is_some_and(|name| name != spec.name) {
            continue;
        }
        let trace =
            WorkloadTrace::build(spec, seed, if is_quick { QUICK_RUN_MS } else { FULL_RUN_MS });
        let (rows, violations) = bench::run_variants(&trace, thread_count);
        println!("## {}\n\n{}", spec.name, table::format_figures(&rows));
        println!("Ratios to the first-fit baseline:\n\n{}", table::format_baseline_ratios(&rows));
        let comparable = recorded.as_ref().filter(|figures| figures.seed == seed && !is_quick);
        if let Some(recorded_rows) =
            comparable.and_then(|figures| figures.deployments.get(spec.name))
        {
            println!(
                "Ratios to the recorded figures:\n\n{}",
                table::format_recorded_ratios(&rows, recorded_rows)
            );
        }
        has_passed &= violations.is_empty();
        for violation in violations.iter().take(20) {
            println!("broken promise: {violation}");
        }
        current.deployments.insert(spec.name.to_owned(), rows);
    }
    if matches.opt_present("record") && !is_quick {
        current.save().map_err(|error| error.to_string())?;
    }
    Ok(has_passed)
}
