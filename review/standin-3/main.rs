//! Stand-ins and drivers of the scripts `review/N/run.sh`: a table service, workers, callers and
//! the processes under test. It uses the standard library only.
//!
//! Usage: `standin CASE RECORD`, started in the root of the repository. Exits with 0 if the rule
//! of the case held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod cell;
mod http;
mod json;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::run(case, record, trouble));
}
