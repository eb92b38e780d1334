//! Runs a TCP proxy that injects network faults.

use std::process::ExitCode;

use getopts::Options;
use standin_proxy::ProxySettings;
use tokio::signal::unix::{self, SignalKind};

const PROGRAM: &str = "standin-proxy";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{PROGRAM}: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut options = Options::new();
    options.optopt("", "settings", "settings as JSON, see docs/standins.md", "FILE");
    options.optflag("", "help", "print this help");
    let matches = options
        .parse(std::env::args_os().skip(1))
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {PROGRAM} --settings FILE")));
        return Ok(());
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument {extra:?}; see --help"));
    }
    let path = matches.opt_str("settings").ok_or("--settings FILE is required; see --help")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| format!("cannot read settings {path:?}: {error}"))?;
    let settings: ProxySettings = serde_json::from_str(&text)
        .map_err(|error| format!("bad settings in {path:?}: {error}"))?;
    actix_rt::System::new().block_on(serve(settings)).map_err(|error| error.to_string())
}

async fn serve(settings: ProxySettings) -> std::io::Result<()> {
    // Installed before the address is printed, as the parent may send SIGTERM
    // as soon as it has read the line.
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let running = standin_proxy::start(settings)?;
    println!("listening on {}", running.address());
    terminate.recv().await;
    running.stop().await;
    Ok(())
}
