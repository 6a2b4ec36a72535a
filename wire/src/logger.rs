//! Log on standard error: one line of key=value pairs for each event.
//!
//! Lines are rate-limited by event: a limited number is written in each time window; the rest are
//! counted and summarised in one line.

use std::io::Write;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use hemlock_lib::log_limiter::{LineDecision, LogLimit, LogLimiter};
use log::{Level, Record};

use crate::clock;

/// Rate limit of the lines of one event.
const LINE_LIMIT: LogLimit = LogLimit {
    lines: 20,
    window: Duration::from_secs(10),
};
/// Interval between two checks for suppressed lines to summarise.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Handle of the logger once it is started.
static LOGGER: OnceLock<LoggerHandle> = OnceLock::new();
/// Limiter that counts the lines of each event.
static LIMITER: OnceLock<Mutex<LogLimiter>> = OnceLock::new();

/// Starts the process's logger at `level`; lines go to standard error.
///
/// # Errors
///
/// Fails if `level` is not a valid log specification or a logger runs already.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let logger = Logger::try_with_str(log_spec(level))?.format(write_line);
    let handle = logger.filter(Box::new(RateLimit)).start()?;
    let _ = LOGGER.set(handle);
    let summarise_regularly = || {
        loop {
            std::thread::sleep(SUMMARY_INTERVAL);
            summarise();
        }
    };
    let _ = std::thread::Builder::new()
        .name("log-summary".to_owned())
        .spawn(summarise_regularly);
    Ok(())
}

/// Changes the level of the running logger; does nothing if none runs.
///
/// # Errors
///
/// Fails if `level` is not a valid log specification.
pub fn set_level(level: &str) -> Result<(), FlexiLoggerError> {
    let parsed = LogSpecification::parse(log_spec(level))?;
    if let Some(logger) = LOGGER.get() {
        logger.set_new_spec(parsed);
    }
    Ok(())
}

/// Returns `text` as the value of a key=value pair: quoted and escaped if it is empty or contains
/// white space, a control character, a quote or an equals sign.
pub fn quote_value(text: &str) -> String {
    let bare = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(bare) {
        return text.to_owned();
    }
    format!("{text:?}")
}

/// Returns the log specification for `level`, in which the HTTP library logs errors only.
fn log_spec(level: &str) -> String {
    format!("{level}, ntex=error, ntex_rt=error, ntex_server=error, ntex_io=error")
}

fn write_line(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let at = now.format("%Y-%m-%dT%H:%M:%S%.3f%z");
    let level = record.level().as_str().to_lowercase();
    let text = record.args().to_string().replace('\n', " ");
    if text.starts_with("event=") {
        write!(w, "time={at} level={level} {text}")
    } else {
        let (target, text) = (record.target(), quote_value(&text));
        write!(
            w,
            "time={at} level={level} event=message target={target} text={text}"
        )
    }
}

/// Filter that applies [`LINE_LIMIT`] to lines of level info and above.
struct RateLimit;

impl LogLineFilter for RateLimit {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
        writer: &dyn LogLineWriter,
    ) -> std::io::Result<()> {
        if record.level() > Level::Info || record.target() == SUMMARY_TARGET {
            return writer.write(now, record);
        }
        let text = record.args().to_string();
        let event = text.split(' ').next().unwrap_or_default();
        match limiter().decide(clock::now(), event) {
            LineDecision::Suppress => Ok(()),
            LineDecision::Write(0) => writer.write(now, record),
            LineDecision::Write(suppressed) => {
                let mut builder = Record::builder();
                let builder = builder.level(record.level()).target(record.target());
                writer.write(
                    now,
                    &builder
                        .args(format_args!("{text} held_back={suppressed}"))
                        .build(),
                )
            }
        }
    }
}

/// Log target of the summaries, which are not rate-limited themselves.
const SUMMARY_TARGET: &str = "hemlock_summary";

/// Logs one line for each event with suppressed lines whose time window is over.
fn summarise() {
    let due = limiter().take_summaries(clock::now());
    for (event, suppressed) in due {
        log::info!(target: SUMMARY_TARGET, "{event} held_back={suppressed}");
    }
}

fn limiter() -> std::sync::MutexGuard<'static, LogLimiter> {
    let limiter = LIMITER.get_or_init(|| Mutex::new(LogLimiter::new(LINE_LIMIT)));
    limiter.lock().unwrap_or_else(PoisonError::into_inner)
}
