//! What the programs of the stand-ins share: flags, the settings file, and the stop at SIGTERM.

use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::Options;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{self, SignalKind};

/// A running stand-in.
pub trait RunningServer {
    /// Returns the address that it listens on.
    fn address(&self) -> SocketAddr;

    /// Closes its listeners and connections at once.
    fn stop(self) -> impl Future<Output = ()>;
}

/// Runs a stand-in with the settings file from the command line until SIGTERM.
pub fn run_program<S, R>(program: &str, start: fn(S) -> std::io::Result<R>) -> ExitCode
where
    S: DeserializeOwned,
    R: RunningServer,
{
    match try_run(program, start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{program}: {message}");
            ExitCode::FAILURE
        }
    }
}

fn try_run<S, R>(program: &str, start: fn(S) -> std::io::Result<R>) -> Result<(), String>
where
    S: DeserializeOwned,
    R: RunningServer,
{
    let mut options = Options::new();
    options.optopt("", "settings", "settings as JSON, see docs/standins.md", "FILE");
    options.optflag("", "help", "print this help");
    let matches = options
        .parse(std::env::args_os().skip(1))
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("Usage: {program} --settings FILE")));
        return Ok(());
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument {extra:?}; see --help"));
    }
    let path = matches.opt_str("settings").ok_or("--settings FILE is required; see --help")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| format!("cannot read settings {path:?}: {error}"))?;
    let settings = serde_json::from_str(&text)
        .map_err(|error| format!("bad settings in {path:?}: {error}"))?;
    actix_rt::System::new().block_on(serve(settings, start)).map_err(|error| error.to_string())
}

async fn serve<S, R: RunningServer>(
    settings: S,
    start: fn(S) -> std::io::Result<R>,
) -> std::io::Result<()> {
    // Installed before the address is printed: the parent may send SIGTERM as soon as it has
    // read the line.
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let running = start(settings)?;
    println!("listening on {}", running.address());
    terminate.recv().await;
    running.stop().await;
    Ok(())
}
