//! HTTP/1.1 on one connection, for the relay between callers and endpoints.
//!
//! The relay decides on single bytes: it checks whose answer it is before it passes on any of it,
//! ends a broken answer visibly and drops bytes after an answer. So the framing is here, over the
//! parser of `httparse`; servers and calls that need none of this use `ntex`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Header lines of one message at most.
const HEADERS: usize = 96;
/// Bytes read at a time.
const READ: usize = 16 << 10;
/// Longest line that gives the size of a chunk, with its extensions.
const CHUNK_LINE: usize = 256;

/// Says why a message can't be read.
#[derive(Debug)]
pub enum HttpError {
    /// The connection ended before the first byte of a message.
    Closed,
    /// The connection broke within a message.
    Broken(io::Error),
    /// The bytes are no message, or one that can be read in two ways.
    Malformed(&'static str),
    /// The head is larger than allowed.
    HeadTooLarge,
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection is closed"),
            Self::Broken(e) => write!(f, "the connection broke: {e}"),
            Self::Malformed(what) => write!(f, "malformed message: {what}"),
            Self::HeadTooLarge => f.write_str("the head is too large"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Header lines in the order in which they came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Bytes)>);

impl Headers {
    /// Returns the value of a header, if it is text; the first one counts.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// Returns how often a header stands there.
    pub fn count(&self, name: &str) -> usize {
        let same = |(n, _): &&(String, Bytes)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).count()
    }

    /// Lists the lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(n, v)| (n.as_str(), &**v))
    }

    /// Returns whether a list header such as `Connection` names a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let lines = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let values = lines.filter_map(|(_, v)| std::str::from_utf8(v).ok());
        values
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether a header concerns only one connection.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP: [&str; 8] = [
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        let named = HOP.iter().any(|h| name.eq_ignore_ascii_case(h));
        named || self.has_token("connection", name)
    }
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub target: String,
    /// Headers.
    pub headers: Headers,
    /// How its body is framed.
    pub body_framing: Framing,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Headers.
    pub headers: Headers,
    /// How its body is framed.
    pub body_framing: Framing,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
}

/// How the end of a body is known, and how far it has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// Chunks; the state says what comes next.
    Chunked(ChunkState),
    /// It ends with the connection.
    UntilClose,
    /// All of it was read.
    Done,
}

/// What comes next of a body in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// So many bytes of a chunk.
    Data(u64),
    /// The end of the line after a chunk.
    DataEnd,
    /// Trailers and the last empty line.
    Trailers,
}

/// A connection with its unread bytes.
#[derive(Debug)]
pub struct Conn {
    io: TcpStream,
    buffer: BytesMut,
}

impl Conn {
    /// Connects within `wait`.
    pub async fn connect(address: SocketAddr, wait: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let io = match tokio::time::timeout(wait, connect).await {
            Ok(io) => io?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        Self::new(io)
    }

    /// Wraps an open socket.
    pub fn new(io: TcpStream) -> io::Result<Self> {
        io.set_nodelay(true)?;
        Ok(Self {
            io,
            buffer: BytesMut::new(),
        })
    }

    /// Returns whether bytes wait to be read.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes that wait to be read.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes into the buffer; zero says that the peer ended the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ);
        self.io.read_buf(&mut self.buffer).await
    }

    /// Returns whether an idle connection is still open and silent.
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

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    /// Ends the writing side, so that the peer reads all that was written.
    pub async fn shutdown_write(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }

    /// Reads the head of a request of at most `limit` bytes.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead, HttpError> {
        loop {
            // Empty lines before a request are allowed.
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

    /// Reads the head of an answer of at most `limit` bytes; interim answers are skipped.
    pub async fn read_response_head(&mut self, limit: usize) -> Result<ResponseHead, HttpError> {
        loop {
            match parse_response(&self.buffer, limit)? {
                Some((head, length)) => {
                    self.buffer.advance(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                }
                None => self.fill_head(limit).await?,
            }
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

    /// Reads the next piece of a body; `None` says that it is complete.
    ///
    /// It may be given up while it waits: what was read stays in the buffer.
    pub async fn read_body_piece(
        &mut self,
        framing: &mut Framing,
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            match take_piece(&mut self.buffer, framing)? {
                Taken::Piece(bytes) => return Ok(Some(bytes)),
                Taken::End => return Ok(None),
                Taken::NeedMore => {}
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

    /// Reads a whole body of at most `limit` bytes; `None` says that it is larger.
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
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_body_piece(framing).await? {
            if whole.len() + piece.len() > limit {
                return Ok(None);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(Some(whole.freeze()))
    }
}

enum Taken {
    Piece(Bytes),
    End,
    NeedMore,
}

fn take_piece(buffer: &mut BytesMut, framing: &mut Framing) -> Result<Taken, HttpError> {
    loop {
        match framing {
            Framing::Done => return Ok(Taken::End),
            Framing::Length(0) => {
                *framing = Framing::Done;
                return Ok(Taken::End);
            }
            _ if buffer.is_empty() => return Ok(Taken::NeedMore),
            Framing::UntilClose => return Ok(Taken::Piece(buffer.split().freeze())),
            Framing::Length(left) => {
                let take = (buffer.len() as u64).min(*left);
                *left -= take;
                return Ok(Taken::Piece(buffer.split_to(take as usize).freeze()));
            }
            Framing::Chunked(chunk) => match take_chunk(buffer, chunk)? {
                Some(taken) => {
                    if matches!(taken, Taken::End) {
                        *framing = Framing::Done;
                    }
                    return Ok(taken);
                }
                None => continue,
            },
        }
    }
}

fn take_chunk(buffer: &mut BytesMut, chunk: &mut ChunkState) -> Result<Option<Taken>, HttpError> {
    match *chunk {
        ChunkState::Data(left) => {
            let take = (buffer.len() as u64).min(left);
            *chunk = match left - take {
                0 => ChunkState::DataEnd,
                left => ChunkState::Data(left),
            };
            Ok(Some(Taken::Piece(buffer.split_to(take as usize).freeze())))
        }
        ChunkState::DataEnd => {
            if buffer.len() < 2 {
                return Ok(Some(Taken::NeedMore));
            }
            if !buffer.starts_with(b"\r\n") {
                return Err(HttpError::Malformed("no line end after a chunk"));
            }
            buffer.advance(2);
            *chunk = ChunkState::Size;
            Ok(None)
        }
        ChunkState::Size => {
            let Some(line) = take_line(buffer)? else {
                return Ok(Some(Taken::NeedMore));
            };
            let digits = line.split(|b| *b == b';').next().unwrap_or_default();
            *chunk = match chunk_size(digits)? {
                0 => ChunkState::Trailers,
                size => ChunkState::Data(size),
            };
            Ok(None)
        }
        ChunkState::Trailers => match take_line(buffer)? {
            None => Ok(Some(Taken::NeedMore)),
            Some(line) if line.is_empty() => Ok(Some(Taken::End)),
            Some(_) => Ok(None),
        },
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        if buffer.len() > CHUNK_LINE {
            return Err(HttpError::Malformed("the line of a chunk is too long"));
        }
        return Ok(None);
    };
    let line = buffer.split_to(end).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(digits: &[u8]) -> Result<u64, HttpError> {
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let hex = !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex {
        return Err(HttpError::Malformed("bad size of a chunk"));
    }
    u64::from_str_radix(text, 16).map_err(|_| HttpError::Malformed("bad size of a chunk"))
}

fn parse_request(buffer: &[u8], limit: usize) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed("bad head of a request")),
    };
    if length > limit {
        return Err(HttpError::HeadTooLarge);
    }
    let headers = copy(request.headers);
    let body_framing = match framing(&headers)? {
        Framing::UntilClose => Framing::Done,
        framing => framing,
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        body_framing,
        keep_alive: keeps(request.version, &headers),
        headers,
    };
    Ok(Some((head, length)))
}

fn parse_response(buffer: &[u8], limit: usize) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed("bad head of an answer")),
    };
    if length > limit {
        return Err(HttpError::HeadTooLarge);
    }
    let headers = copy(response.headers);
    let status = response.code.unwrap_or_default();
    let empty = status < 200 || matches!(status, 204 | 304);
    let body_framing = if empty {
        Framing::Done
    } else {
        framing(&headers)?
    };
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        keep_alive: keeps(response.version, &headers) && body_framing != Framing::UntilClose,
        body_framing,
        headers,
    };
    Ok(Some((head, length)))
}

fn copy(lines: &[httparse::Header<'_>]) -> Headers {
    let line = |h: &httparse::Header<'_>| (h.name.to_owned(), Bytes::copy_from_slice(h.value));
    Headers(lines.iter().map(line).collect())
}

fn framing(headers: &Headers) -> Result<Framing, HttpError> {
    let (coded, sized) = (
        headers.count("transfer-encoding"),
        headers.count("content-length"),
    );
    match (coded, sized) {
        (0, 0) => Ok(Framing::UntilClose),
        (0, 1) => {
            let text = headers.get("content-length").unwrap_or_default().trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse().ok().filter(|_| digits);
            length
                .map(Framing::Length)
                .ok_or(HttpError::Malformed("bad length of a body"))
        }
        (1, 0) => {
            let coding = headers.get("transfer-encoding").unwrap_or_default().trim();
            if !coding.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed("unknown transfer coding"));
            }
            Ok(Framing::Chunked(ChunkState::Size))
        }
        _ => Err(HttpError::Malformed("more than one framing of a body")),
    }
}

fn keeps(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

/// Appends a header line.
pub fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the first line of an answer.
pub fn put_status_line(out: &mut Vec<u8>, status: u16, reason: &str) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Appends one chunk of a body.
pub fn put_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk of a complete body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Returns the usual reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
