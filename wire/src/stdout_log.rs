//! Non-blocking log on standard output: one line of key=value pairs for each event.
//!
//! Lines are collected in a bounded buffer, which the owner of the log passes on regularly to a
//! thread that writes it. Lines that arrive while the buffer is full are dropped and counted.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Sender, TrySendError};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

/// Size in bytes from which the buffer counts as full; about a thousand lines.
const MAX_BUFFER_BYTES: usize = 256 << 10;
/// Maximum number of batches that wait for the writing thread.
const MAX_QUEUED_BATCHES: usize = 2;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last batch.
    dropped: u64,
}

#[derive(Debug)]
struct BufferWriter(Arc<Mutex<Buffer>>);

impl LogWriter for BufferWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() >= MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(());
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = since.unwrap_or_default().as_millis();
        let level = record.level().as_str();
        writeln!(buffer.bytes, "time_ms={ms} level={level} {}", record.args())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Debug
    }
}

/// The running log of a process.
pub struct Log {
    handle: LoggerHandle,
    buffer: Arc<Mutex<Buffer>>,
    batches: Sender<Vec<u8>>,
}

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Starts the log at `level`.
///
/// # Errors
///
/// Fails if `level` is not a valid log specification, a logger runs already or the thread can't be
/// started.
pub fn open(level: &str) -> Result<Log, FlexiLoggerError> {
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let writer = Box::new(BufferWriter(buffer.clone()));
    let handle = Logger::try_with_str(level)?.log_to_writer(writer).start()?;
    let (batches, queued_batches) = crossbeam_channel::bounded::<Vec<u8>>(MAX_QUEUED_BATCHES);
    let write = move || {
        for batch in queued_batches {
            // A log whose reader is gone must not end the process, so the error is ignored.
            let _ = std::io::stdout().lock().write_all(&batch);
        }
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(write)?;
    Ok(Log {
        handle,
        buffer,
        batches,
    })
}

impl Log {
    /// Changes the log level.
    ///
    /// # Errors
    ///
    /// Fails if `level` is not a valid log specification.
    pub fn set_level(&self, level: &str) -> Result<(), FlexiLoggerError> {
        self.handle.set_new_spec(LogSpecification::parse(level)?);
        Ok(())
    }

    /// Passes the buffered lines to the writing thread, unless too many batches wait for it
    /// already.
    ///
    /// Returns the number of lines dropped since the last call.
    pub fn flush_batch(&self) -> u64 {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.is_empty() {
            return 0;
        }
        let bytes = std::mem::take(&mut buffer.bytes);
        if let Err(TrySendError::Full(bytes)) = self.batches.try_send(bytes) {
            buffer.bytes = bytes;
        }
        std::mem::take(&mut buffer.dropped)
    }
}
