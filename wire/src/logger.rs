//! Logs: one line of key=value pairs for each event.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Starts the process's logger at `level`; lines go to standard error.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let spec = format!("{level}, ntex=error, ntex_rt=error, ntex_server=error, ntex_io=error");
    Logger::try_with_str(spec)?.format(line).start()
}

fn line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let at = now.format("%Y-%m-%dT%H:%M:%S%.3f%z");
    let level = record.level().as_str().to_lowercase();
    write!(w, "time={at} level={level} {}", record.args())
}
