//! Logs: one line of key=value pairs for each event.
//!
//! Of one event, a few lines pass in a span of time; the rest are counted and summarised in one line.

use std::io::Write;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use flexi_logger::filter::{LogLineFilter, LogLineWriter};
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use hemlock_lib::log_limiter::{LineDecision, LogLimit, LogLimiter};
use log::{Level, Record};

use crate::clock;

const REPEATS: LogLimit = LogLimit {
    lines: 20,
    window: Duration::from_secs(10),
};
/// Time between two looks for lines to summarise.
const SUMMARY_EVERY: Duration = Duration::from_secs(5);

static RUNNING: OnceLock<LoggerHandle> = OnceLock::new();
static LIMIT: OnceLock<Mutex<LogLimiter>> = OnceLock::new();

/// Starts the process's logger at `level`; lines go to standard error.
pub fn start(level: &str) -> Result<(), FlexiLoggerError> {
    let logger = Logger::try_with_str(spec(level))?.format(line);
    let handle = logger.filter(Box::new(Limit)).start()?;
    let _ = RUNNING.set(handle);
    let body = || {
        loop {
            std::thread::sleep(SUMMARY_EVERY);
            summarise();
        }
    };
    let _ = std::thread::Builder::new()
        .name("log-summary".to_owned())
        .spawn(body);
    Ok(())
}

/// Changes the level of the running logger.
pub fn set_level(level: &str) -> Result<(), FlexiLoggerError> {
    let parsed = LogSpecification::parse(spec(level))?;
    if let Some(running) = RUNNING.get() {
        running.set_new_spec(parsed);
    }
    Ok(())
}

/// Returns `text` as the value of a pair: quoted if it holds a space, a quote or an equals sign.
pub fn quote_value(text: &str) -> String {
    let bare = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(bare) {
        return text.to_owned();
    }
    format!("{text:?}")
}

fn spec(level: &str) -> String {
    format!("{level}, ntex=error, ntex_rt=error, ntex_server=error, ntex_io=error")
}

fn line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
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

struct Limit;

impl LogLineFilter for Limit {
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
        match limit().decide(clock::now(), event) {
            LineDecision::Suppress => Ok(()),
            LineDecision::Write(0) => writer.write(now, record),
            LineDecision::Write(held) => {
                let mut builder = Record::builder();
                let builder = builder.level(record.level()).target(record.target());
                writer.write(
                    now,
                    &builder
                        .args(format_args!("{text} held_back={held}"))
                        .build(),
                )
            }
        }
    }
}

const SUMMARY_TARGET: &str = "hemlock_summary";

fn summarise() {
    let due = limit().take_summaries(clock::now());
    for (event, held) in due {
        log::info!(target: SUMMARY_TARGET, "{event} held_back={held}");
    }
}

fn limit() -> std::sync::MutexGuard<'static, LogLimiter> {
    let limit = LIMIT.get_or_init(|| Mutex::new(LogLimiter::new(REPEATS)));
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}
