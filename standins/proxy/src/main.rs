//! Runs a TCP proxy that injects network faults.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin_common::run_program("standin-proxy", standin_proxy::start)
}
