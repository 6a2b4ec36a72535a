//! Logs on standard output: one line of key=value pairs for each event, never blocking.
//!
//! Lines are gathered in a bounded buffer, and a thread writes what a timer hands over. A line that
//! finds the buffer full is dropped and counted; the next batch tells how many.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Sender, TrySendError};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

/// Bytes that wait for the thread at most; about a thousand lines.
const BUFFER: usize = 256 << 10;
/// Batches that wait for the thread at most.
const BATCHES: usize = 2;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug)]
struct Buffer(Arc<Mutex<Waiting>>);

impl LogWriter for Buffer {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() >= BUFFER {
            waiting.dropped += 1;
            return Ok(());
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = since.unwrap_or_default().as_millis();
        let level = record.level().as_str();
        writeln!(
            waiting.bytes,
            "time_ms={ms} level={level} {}",
            record.args()
        )
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Debug
    }
}

/// The log of a process.
pub struct Log {
    handle: LoggerHandle,
    waiting: Arc<Mutex<Waiting>>,
    batches: Sender<Vec<u8>>,
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Starts the log at `level`.
pub fn open(level: &str) -> Result<Log, FlexiLoggerError> {
    let waiting = Arc::new(Mutex::new(Waiting::default()));
    let writer = Box::new(Buffer(waiting.clone()));
    let handle = Logger::try_with_str(level)?.log_to_writer(writer).start()?;
    let (batches, written) = crossbeam_channel::bounded::<Vec<u8>>(BATCHES);
    let body = move || {
        for batch in written {
            // A log that nobody reads must not end the process.
            let _ = std::io::stdout().lock().write_all(&batch);
        }
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(body)?;
    Ok(Log {
        handle,
        waiting,
        batches,
    })
}

impl Log {
    /// Changes the level.
    pub fn set_level(&self, level: &str) -> Result<(), FlexiLoggerError> {
        self.handle.set_new_spec(LogSpecification::parse(level)?);
        Ok(())
    }

    /// Hands the gathered lines to the thread; returns how many were dropped since the last time.
    pub fn flush_batch(&self) -> u64 {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.is_empty() {
            return 0;
        }
        let bytes = std::mem::take(&mut waiting.bytes);
        if let Err(TrySendError::Full(bytes)) = self.batches.try_send(bytes) {
            waiting.bytes = bytes;
        }
        std::mem::take(&mut waiting.dropped)
    }
}
