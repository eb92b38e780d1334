//! The stand-in for a worker VM, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin_common::run_program("standin-worker", standin_worker::start)
}
