//! Command line of the demonstration cell that runs in one process.

use std::process::ExitCode;

use getopts::Options;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optopt("l", "listen", "address of the entry (127.0.0.1:8080)", "IP:PORT");
    options.optopt("", "log-level", "error, warn, info, debug or trace (info)", "LEVEL");
    options.optflag("", "once", "stop after the demonstration instead of serving on");
    options.optflag("h", "help", "print this text");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("amaranthsaddle-local: {error}; see --help");
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: amaranthsaddle-local [--listen IP:PORT] [--once]"));
        return ExitCode::SUCCESS;
    }
    let level = matches.opt_str("log-level").unwrap_or_else(|| "info".to_owned());
    if let Err(error) = entry::logging::install(&level, "local") {
        eprintln!("amaranthsaddle-local: --log-level: {error}");
        return ExitCode::FAILURE;
    }
    let listen = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:8080".to_owned());
    let once = matches.opt_present("once");
    match actix_rt::System::new().block_on(demonstrate(&listen, once)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("amaranthsaddle-local: {report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn demonstrate(
    listen: &str,
    once: bool,
) -> Result<(), error_stack::Report<local::LocalError>> {
    let cell = local::start(listen).await?;
    println!("entry serving on http://{}", cell.address());
    let length = local::send_request(&cell).await?;
    println!("request answered: {length} bytes, whole");
    let record = local::run_job(&cell).await?;
    println!("job {} done: {} of {} tasks", record.spec.id, record.done.len(), record.spec.tasks);
    if !once {
        println!("try: saddle --entry {} status    (Ctrl-C stops the cell)", cell.address());
        if let Err(error) = tokio::signal::ctrl_c().await {
            log::warn!("cannot wait for Ctrl-C: {error}");
        }
    }
    cell.stop().await;
    println!("stopped");
    Ok(())
}
