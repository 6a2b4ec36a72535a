//! One TCP connection, on which messages are read and bytes are written.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;

use super::{
    BodyPart, Framing, HttpError, PIECE_OVERHEAD_BYTES, RequestHead, ResponseHead, parse_request,
    parse_response, split_body_part,
};

/// Bytes that are read at once where usually nothing has arrived.
const CHECK_BYTES: usize = 1 << 10;
/// Interval at which a connection that is not read is checked for its end.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Buffer space in bytes that is reserved for each read.
const READ_BYTES: usize = 16 << 10;

/// A TCP connection with the bytes that were received and not yet parsed.
///
/// If a connection that this process opened is dropped while what was sent on it has no response, it
/// is reset: an orderly close would leave the unsent bytes to the kernel, which delivers them
/// whenever the other side can be reached again.
#[derive(Debug)]
pub struct Conn {
    io: TcpStream,
    buffer: BytesMut,
    /// Whether this process opened the connection.
    is_outgoing: bool,
    /// Whether nothing was received since the last write.
    is_unanswered: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        if self.is_outgoing && self.is_unanswered {
            // If it fails, the connection has ended already.
            let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Conn {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::TimedOut`] if it takes longer than `timeout`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let io = match tokio::time::timeout(timeout, connect).await {
            Ok(io) => io?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        let mut conn = Self::new(io)?;
        conn.is_outgoing = true;
        Ok(conn)
    }

    /// Wraps an open socket and turns Nagle's algorithm off for it.
    pub fn new(io: TcpStream) -> io::Result<Self> {
        io.set_nodelay(true)?;
        Ok(Self {
            io,
            buffer: BytesMut::new(),
            is_outgoing: false,
            is_unanswered: false,
        })
    }

    /// Returns whether received bytes are buffered.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes into the buffer and returns their number; zero means that the peer closed
    /// the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let length = self.io.read_buf(&mut self.buffer).await?;
        self.is_unanswered &= length == 0;
        Ok(length)
    }

    /// Returns whether the connection is open and has received nothing, so that a request may use
    /// it.
    pub fn is_idle(&mut self) -> bool {
        if self.has_buffered_bytes() {
            return false;
        }
        let mut byte = [0_u8; 1];
        match self.io.try_read(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns whether the other side has closed the connection, also if the runtime has not noticed
    /// it yet. Buffers what arrived before the close, up to about `limit` bytes.
    pub fn is_closed(&mut self, limit: usize) -> bool {
        while self.buffer.len() <= limit {
            let mut bytes = [0; CHECK_BYTES];
            match (&*SockRef::from(&self.io)).read(&mut bytes) {
                Ok(0) => return true,
                Ok(length) => self.buffer.extend_from_slice(&bytes[..length]),
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        let ready = self.io.ready(Interest::READABLE);
        matches!(ready.now_or_never(), Some(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the other side has closed the connection, without reading what it sent before.
    pub async fn closed(&self) {
        while let Ok(ready) = self.io.ready(Interest::READABLE).await {
            if ready.is_read_closed() {
                return;
            }
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.is_unanswered = true;
        self.io.write_all(bytes).await
    }

    /// Writes all of `rest`, from which what was written is taken.
    ///
    /// Cancel-safe: another call with the same bytes goes on where this one was dropped.
    pub async fn write_rest(&mut self, rest: &mut Bytes) -> io::Result<()> {
        self.is_unanswered = true;
        self.io.write_all_buf(rest).await
    }

    /// Writes all of `bytes`, unless the other side closes the connection before it has read them.
    /// Buffers what it sends meanwhile, up to about `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::BrokenPipe`] if the other side has closed its direction.
    pub async fn write_while_open(&mut self, bytes: &[u8], limit: usize) -> io::Result<()> {
        self.is_unanswered = true;
        let mut rest = bytes;
        loop {
            match self.io.try_write(rest) {
                Ok(length) if length == rest.len() => return Ok(()),
                Ok(length) => rest = &rest[length..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if self.writable_or_closed(limit).await? {
                        return Err(io::ErrorKind::BrokenPipe.into());
                    }
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until bytes can be written or the other side has closed the connection; returns whether
    /// it has.
    async fn writable_or_closed(&mut self, limit: usize) -> io::Result<bool> {
        loop {
            if self.buffer.len() > limit {
                return tokio::select! {
                    ready = self.io.writable() => ready.map(|()| false),
                    () = self.closed() => Ok(true),
                };
            }
            self.buffer.reserve(READ_BYTES);
            tokio::select! {
                ready = self.io.writable() => return ready.map(|()| false),
                ready = self.io.readable() => ready?,
            }
            match self.io.try_read_buf(&mut self.buffer) {
                Ok(0) => return Ok(true),
                Ok(_) => self.is_unanswered = false,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Shuts down the writing side, so that the peer sees the end after all bytes that were
    /// written.
    pub async fn shutdown_write(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::HeadTooLarge`] if the head is longer than `limit` bytes.
    /// See [`HttpError`] for the other errors.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead, HttpError> {
        loop {
            // HTTP allows empty lines before a request.
            while self.buffer.starts_with(b"\r\n") {
                self.buffer.advance(2);
            }
            if let Some((head, length)) = parse_request(&self.buffer, limit)? {
                self.buffer.advance(length);
                return Ok(head);
            }
            self.fill_head(limit).await?;
        }
    }

    /// Reads the head of the next response, skipping interim (1xx) ones.
    ///
    /// # Errors
    ///
    /// Fails with [`HttpError::HeadTooLarge`] if the head is longer than `limit` bytes together
    /// with the interim ones. See [`HttpError`] for the other errors.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead, HttpError> {
        let mut bytes_left = limit;
        loop {
            match parse_response(&self.buffer, bytes_left)? {
                Some((head, length)) => {
                    self.buffer.advance(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    bytes_left -= length;
                }
                None => self.fill_head(bytes_left).await?,
            }
        }
    }

    /// Reads the head of the next response, which may be an interim (1xx) one.
    ///
    /// # Errors
    ///
    /// As those of [`Conn::read_response_head`].
    pub async fn read_any_response_head(
        &mut self,
        limit: usize,
    ) -> Result<ResponseHead, HttpError> {
        loop {
            if let Some((head, length)) = parse_response(&self.buffer, limit)? {
                self.buffer.advance(length);
                return Ok(head);
            }
            self.fill_head(limit).await?;
        }
    }

    async fn fill_head(&mut self, limit: usize) -> Result<(), HttpError> {
        if self.buffer.len() > limit {
            return Err(HttpError::HeadTooLarge);
        }
        match self.fill().await {
            Ok(0) if self.buffer.is_empty() => Err(HttpError::Closed),
            Ok(0) => Err(HttpError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(e) => Err(HttpError::Broken(e)),
        }
    }

    /// Reads the next bytes of a body, as they arrive; `None` means that the body is complete.
    ///
    /// Cancel-safe: bytes that were received when the future is dropped stay in the buffer. Yields
    /// to other tasks after some pieces, also if all of them are buffered.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks within the body or the chunked coding is malformed.
    pub async fn read_body_piece(
        &mut self,
        framing: &mut Framing,
    ) -> Result<Option<Bytes>, HttpError> {
        tokio::task::coop::consume_budget().await;
        loop {
            match split_body_part(&mut self.buffer, framing)? {
                BodyPart::Bytes(bytes) => return Ok(Some(bytes)),
                BodyPart::End => return Ok(None),
                BodyPart::NeedMore => {}
            }
            match self.fill().await {
                Ok(0) if *framing == Framing::UntilClose => {
                    *framing = Framing::Done;
                    return Ok(None);
                }
                Ok(0) => return Err(HttpError::Broken(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => {}
                Err(e) => return Err(HttpError::Broken(e)),
            }
        }
    }

    /// Reads a whole body; `None` means that it is larger than `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks within the body or the chunked coding is malformed.
    pub async fn read_body(
        &mut self,
        framing: &mut Framing,
        limit: usize,
    ) -> Result<Option<Bytes>, HttpError> {
        if let Framing::Length(length) = framing
            && *length > limit as u64
        {
            return Ok(None);
        }
        let mut body = BytesMut::new();
        while let Some(piece) = self.read_body_piece(framing).await? {
            if body.len() + piece.len() > limit {
                return Ok(None);
            }
            body.extend_from_slice(&piece);
        }
        Ok(Some(body.freeze()))
    }

    /// Reads a whole body and discards it; returns `false` if it is larger than `limit` bytes, with
    /// [`PIECE_OVERHEAD_BYTES`] for each piece.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks within the body or the chunked coding is malformed.
    pub async fn skip_body(
        &mut self,
        framing: &mut Framing,
        limit: usize,
    ) -> Result<bool, HttpError> {
        let mut bytes_left = limit;
        while let Some(piece) = self.read_body_piece(framing).await? {
            match bytes_left.checked_sub(piece.len() + PIECE_OVERHEAD_BYTES) {
                Some(left) => bytes_left = left,
                None => return Ok(false),
            }
        }
        Ok(true)
    }
}
