//! Log output: one line per record on standard error.

/// Installs a logger that writes records of this level and above to standard error.
///
/// # Errors
/// An error if a logger is already installed or the level is unknown.
pub fn install(level: &str, name: &str) -> Result<(), Box<dyn std::error::Error>> {
    let level: log::LevelFilter = level.parse()?;
    let name = name.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let since_epoch = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "{}.{:03} {} {} {}: {message}",
                since_epoch.as_secs(),
                since_epoch.subsec_millis(),
                record.level(),
                name,
                record.target(),
            ));
        })
        .level(level)
        .level_for("actix_server", log::LevelFilter::Warn)
        .level_for("actix_http", log::LevelFilter::Warn)
        .level_for("mio", log::LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
