//! Stand-ins for the platform's store, minions and clients, and the scripts' scenarios.
//!
//! `standin SCENARIO PROGRAM RECORD`; `TROUBLE=0` leaves the disruption out, `SEED` chooses the
//! luck of those scenarios that draw. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the scenario could not run.

mod cell;
mod http;
mod json;
mod minion;
mod record;
mod scenarios;
mod store;

use std::sync::Arc;

use crate::record::Record;

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, path] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = std::env::var("SEED").ok().and_then(|value| value.parse().ok()).unwrap_or(1);
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record: {error}");
            std::process::exit(2);
        }
    };
    record.line(&format!("scenario {scenario}, trouble {trouble}, seed {seed}"));
    let context =
        scenarios::Context { program: program.clone(), record: record.clone(), trouble, seed };
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        scenarios::run(scenario, &context)
    }));
    let code = match outcome {
        Ok(Ok(broken)) => {
            for line in &broken {
                println!("broken: {line}");
                record.line(&format!("BROKEN {line}"));
            }
            println!("{scenario}: {}", if broken.is_empty() { "held" } else { "broken" });
            i32::from(!broken.is_empty())
        }
        Ok(Err(error)) => {
            println!("{scenario}: could not run: {error}");
            record.line(&format!("could not run: {error}"));
            2
        }
        Err(_) => 2,
    };
    record.flush();
    std::process::exit(code);
}
