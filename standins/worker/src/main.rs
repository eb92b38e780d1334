//! Runs a stand-in for a worker VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin_common::run_program("standin-worker", standin_worker::start)
}
