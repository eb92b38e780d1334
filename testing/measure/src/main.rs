//! Command line of the measuring program.

use std::process::ExitCode;

use measure::{capacity, fleet, path};

const USAGE: &str = "Usage: measure capacity [domain|fleet]
       measure path

Starts a cell of processes next to this program and prints what they use. Build
the programs first: cargo build --release --workspace --bins. Both commands use
fixed parameters and no random numbers.";

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this text");
    let parsed = match options.parse(std::env::args().skip(1)) {
        Ok(parsed) => parsed,
        Err(error) => return usage_error(&error.to_string()),
    };
    if parsed.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let words: Vec<_> = parsed.free.iter().map(String::as_str).collect();
    let system = actix_rt::System::new();
    match words.as_slice() {
        ["capacity"] => system.block_on(async {
            capacity::measure_domain().await;
            capacity::measure_fleet().await;
        }),
        ["capacity", "domain"] => system.block_on(capacity::measure_domain()),
        ["capacity", "fleet"] => system.block_on(capacity::measure_fleet()),
        ["path"] => system.block_on(path::measure_path()),
        // Internal command: the other commands start it to run all worker stand-ins.
        ["fleet", run, full, light] => match (run.parse(), full.parse(), light.parse()) {
            (Ok(run), Ok(full), Ok(light)) => {
                system.block_on(fleet::serve_workers(run, full, light));
            }
            _ => return usage_error("the fleet takes three numbers"),
        },
        _ => return usage_error("one command is needed"),
    }
    ExitCode::SUCCESS
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("measure: {message}; see --help");
    ExitCode::from(2)
}
