//! HTTP/1.1 on one connection, for the relay between callers and endpoints.
//!
//! The relay needs control of every byte: it checks which request a response belongs to before it
//! forwards any of it, makes a truncated response recognisable and discards bytes that follow a
//! response. So message framing is implemented here, on top of the parser of `httparse`. Servers
//! and calls that need none of this use `ntex`.

mod conn;

use std::borrow::Cow;
use std::io;

use bytes::{Buf, Bytes, BytesMut};

pub use self::conn::{Conn, Received};

/// Number of header lines up to which a head is parsed without an allocation for them.
const USUAL_HEADERS: usize = 96;
/// Maximum length in bytes of a line with a chunk's size and extensions, or of a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Overhead in bytes of each piece of a body in limits on the work of reading it.
pub const PIECE_OVERHEAD_BYTES: usize = 64;
/// Overhead in bytes that each chunk may have, beside twice its data.
const CHUNK_OVERHEAD_BYTES: usize = 16;
/// Size in bytes up to which a body is copied to be written together with its head.
const MAX_JOINED_BYTES: usize = 16 << 10;
/// Maximum excess in bytes of the lines of a chunked body over the overhead of its chunks.
const MAX_CHUNK_EXCESS_BYTES: usize = 16 << 10;

/// The reason why a message can't be read.
#[derive(Debug)]
pub enum HttpError {
    /// The connection was closed before the first byte of a message.
    Closed,
    /// The connection broke within a message.
    Broken(io::Error),
    /// The bytes are not a valid message, or the framing of the message is ambiguous.
    Malformed(&'static str),
    /// The head is larger than allowed.
    HeadTooLarge,
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection was closed"),
            Self::Broken(e) => write!(f, "the connection broke: {e}"),
            Self::Malformed(cause) => write!(f, "malformed message: {cause}"),
            Self::HeadTooLarge => f.write_str("the message head is too large"),
        }
    }
}

impl std::error::Error for HttpError {}

/// Header lines in the order in which they arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Bytes)>);

impl Headers {
    /// Returns the value of the first header called `name`, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// Removes all headers whose names begin with `prefix`, which is in lower case.
    pub fn remove_prefixed(&mut self, prefix: &str) {
        self.0
            .retain(|(name, _)| !name.to_ascii_lowercase().starts_with(prefix));
    }

    /// Returns the number of header lines called `name`.
    pub fn count(&self, name: &str) -> usize {
        let same = |(n, _): &&(String, Bytes)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).count()
    }

    /// Iterates over the names and values of all header lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(n, v)| (n.as_str(), &**v))
    }

    /// Returns whether a header with a comma-separated list, such as `Connection`, contains
    /// `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let lines = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let values = lines.filter_map(|(_, v)| std::str::from_utf8(v).ok());
        values
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether the header `name` applies to a single connection and must not be forwarded.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP_BY_HOP: [&str; 8] = [
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        let is_standard = HOP_BY_HOP.iter().any(|h| name.eq_ignore_ascii_case(h));
        is_standard || self.has_token("connection", name)
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target: the path and query.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// How the end of the body is found.
    pub body_framing: Framing,
    /// Whether the connection stays open for another request.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header lines.
    pub headers: Headers,
    /// How the end of the body is found.
    pub body_framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// How the end of a body is found, and how far the body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has a known length; this many bytes are unread.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked {
        /// What the parser expects next.
        state: ChunkState,
        /// Bytes of lines so far beyond the overhead that the chunks may have.
        excess: usize,
    },
    /// The body ends when the connection is closed.
    UntilClose,
    /// The body has been read in full, or there is none.
    Done,
}

/// What the parser expects next within a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with the size of the next chunk.
    Size,
    /// This many more bytes of the current chunk.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// Trailers, and the empty line that ends the body.
    Trailers,
}

/// What the buffered bytes hold of a body.
enum BodyPart {
    Bytes(Bytes),
    End,
    NeedMore,
}

/// Splits the next bytes of a body off the buffer and advances `framing`.
fn split_body_part(buffer: &mut BytesMut, framing: &mut Framing) -> Result<BodyPart, HttpError> {
    loop {
        match framing {
            Framing::Done => return Ok(BodyPart::End),
            Framing::Length(0) => {
                *framing = Framing::Done;
                return Ok(BodyPart::End);
            }
            _ if buffer.is_empty() => return Ok(BodyPart::NeedMore),
            Framing::UntilClose => return Ok(BodyPart::Bytes(buffer.split().freeze())),
            Framing::Length(remaining) => {
                let available = (buffer.len() as u64).min(*remaining);
                *remaining -= available;
                return Ok(BodyPart::Bytes(
                    buffer.split_to(available as usize).freeze(),
                ));
            }
            Framing::Chunked { state, excess } => match split_chunk_part(buffer, state, excess)? {
                Some(part) => {
                    if matches!(part, BodyPart::End) {
                        *framing = Framing::Done;
                    }
                    return Ok(part);
                }
                None => continue,
            },
        }
    }
}

/// Parses the next element of a chunked body; `None` means that it had no data.
fn split_chunk_part(
    buffer: &mut BytesMut,
    state: &mut ChunkState,
    excess: &mut usize,
) -> Result<Option<BodyPart>, HttpError> {
    match *state {
        ChunkState::Data(remaining) => {
            let available = (buffer.len() as u64).min(remaining);
            *state = match remaining - available {
                0 => ChunkState::DataEnd,
                remaining => ChunkState::Data(remaining),
            };
            Ok(Some(BodyPart::Bytes(
                buffer.split_to(available as usize).freeze(),
            )))
        }
        ChunkState::DataEnd => {
            if buffer.len() < 2 {
                return Ok(Some(BodyPart::NeedMore));
            }
            if !buffer.starts_with(b"\r\n") {
                return Err(HttpError::Malformed("missing line end after a chunk"));
            }
            buffer.advance(2);
            *state = ChunkState::Size;
            Ok(None)
        }
        ChunkState::Size => {
            let Some(line) = split_line(buffer)? else {
                return Ok(Some(BodyPart::NeedMore));
            };
            let digits = line.split(|b| *b == b';').next().unwrap_or_default();
            let size = chunk_size(digits)?;
            count_excess(excess, line.len(), size)?;
            *state = match size {
                0 => ChunkState::Trailers,
                size => ChunkState::Data(size),
            };
            Ok(None)
        }
        ChunkState::Trailers => match split_line(buffer)? {
            None => Ok(Some(BodyPart::NeedMore)),
            Some(line) if line.is_empty() => Ok(Some(BodyPart::End)),
            Some(line) => {
                count_excess(excess, line.len() + CHUNK_OVERHEAD_BYTES, 0)?;
                Ok(None)
            }
        },
    }
}

/// Counts a line of a chunked body that belongs to `size` bytes of data. Lines without data, such as
/// long extensions of tiny chunks, could otherwise go on without end.
fn count_excess(excess: &mut usize, line: usize, size: u64) -> Result<(), HttpError> {
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let allowed = size.saturating_mul(2).saturating_add(CHUNK_OVERHEAD_BYTES);
    *excess = (*excess + line).saturating_sub(allowed);
    match *excess > MAX_CHUNK_EXCESS_BYTES {
        true => Err(HttpError::Malformed("too little data in the chunks")),
        false => Ok(()),
    }
}

/// Splits a line off the buffer, without its line end; `None` means that it is incomplete.
fn split_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        if buffer.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Malformed("chunk size line or trailer too long"));
        }
        return Ok(None);
    };
    let line = buffer.split_to(end).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(digits: &[u8]) -> Result<u64, HttpError> {
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let is_hex =
        !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(HttpError::Malformed("invalid chunk size"));
    }
    u64::from_str_radix(text, 16).map_err(|_| HttpError::Malformed("invalid chunk size"))
}

/// Parses the head of a request and returns it with its length in bytes; `None` means that it is
/// incomplete.
fn parse_request(buffer: &[u8], limit: usize) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let (mut usual, mut more) = header_space();
    let mut request = httparse::Request::new(&mut usual);
    let mut parsed = request.parse(buffer);
    if parsed == Err(httparse::Error::TooManyHeaders) {
        more.resize(count_lines(buffer, limit), httparse::EMPTY_HEADER);
        request = httparse::Request::new(&mut more);
        parsed = request.parse(buffer);
    }
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed("invalid request head")),
    };
    if length > limit {
        return Err(HttpError::HeadTooLarge);
    }
    let headers = to_headers(request.headers);
    let body_framing = match parse_framing(&headers)? {
        Framing::UntilClose => Framing::Done,
        framing => framing,
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        body_framing,
        keep_alive: is_kept_alive(request.version, &headers),
        headers,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response and returns it with its length in bytes; `None` means that it is
/// incomplete.
fn parse_response(buffer: &[u8], limit: usize) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let (mut usual, mut more) = header_space();
    let mut response = httparse::Response::new(&mut usual);
    let mut parsed = response.parse(buffer);
    if parsed == Err(httparse::Error::TooManyHeaders) {
        more.resize(count_lines(buffer, limit), httparse::EMPTY_HEADER);
        response = httparse::Response::new(&mut more);
        parsed = response.parse(buffer);
    }
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed("invalid response head")),
    };
    if length > limit {
        return Err(HttpError::HeadTooLarge);
    }
    let headers = to_headers(response.headers);
    let status = response.code.unwrap_or_default();
    if !is_status(status) {
        return Err(HttpError::Malformed("invalid status code"));
    }
    let states_body = |name: &str| headers.get(name).is_some_and(|value| value.trim() != "0");
    if status < 200 && (states_body("content-length") || states_body("transfer-encoding")) {
        return Err(HttpError::Malformed("interim response with a body"));
    }
    let has_no_body = status < 200 || matches!(status, 204 | 304);
    let body_framing = if has_no_body {
        Framing::Done
    } else {
        parse_framing(&headers)?
    };
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        keep_alive: is_kept_alive(response.version, &headers)
            && body_framing != Framing::UntilClose,
        body_framing,
        headers,
    };
    Ok(Some((head, length)))
}

/// Returns whether a status code is one of RFC 9110. 101 is none either: no request asks for another
/// protocol.
fn is_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}

/// Returns space for the usual number of header lines, and for more of them.
fn header_space<'a>() -> (
    [httparse::Header<'a>; USUAL_HEADERS],
    Vec<httparse::Header<'a>>,
) {
    ([httparse::EMPTY_HEADER; USUAL_HEADERS], Vec::new())
}

/// Returns the number of lines within a head of `limit` bytes.
fn count_lines(buffer: &[u8], limit: usize) -> usize {
    let head = &buffer[..buffer.len().min(limit)];
    head.iter().filter(|b| **b == b'\n').count() + 1
}

fn to_headers(lines: &[httparse::Header<'_>]) -> Headers {
    let line = |h: &httparse::Header<'_>| (h.name.to_owned(), Bytes::copy_from_slice(h.value));
    Headers(lines.iter().map(line).collect())
}

/// Determines the framing of a body; refuses a message with more than one, which could be read in
/// two ways.
fn parse_framing(headers: &Headers) -> Result<Framing, HttpError> {
    let (transfer_codings, lengths) = (
        headers.count("transfer-encoding"),
        headers.count("content-length"),
    );
    match (transfer_codings, lengths) {
        (0, 0) => Ok(Framing::UntilClose),
        (0, 1) => {
            let text = headers.get("content-length").unwrap_or_default().trim();
            let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            length
                .map(Framing::Length)
                .ok_or(HttpError::Malformed("invalid Content-Length"))
        }
        (1, 0) => {
            let coding = headers.get("transfer-encoding").unwrap_or_default().trim();
            if !coding.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed("unsupported transfer coding"));
            }
            Ok(Framing::Chunked {
                state: ChunkState::Size,
                excess: 0,
            })
        }
        _ => Err(HttpError::Malformed(
            "more than one Content-Length or Transfer-Encoding",
        )),
    }
}

fn is_kept_alive(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

/// Appends a header line to `out`.
pub fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the status line of a response to `out`.
pub fn put_status_line(out: &mut Vec<u8>, status: u16, reason: &str) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// Appends `bytes` to `out` as one chunk of a chunked body.
pub fn put_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Appends a small body to the head of its message, so that they go out together; returns the number of
/// bytes appended. A large body is written from where it is held.
pub fn join_small_body(head: &mut Vec<u8>, body: &[u8]) -> usize {
    if body.len() > MAX_JOINED_BYTES {
        return 0;
    }
    head.extend_from_slice(body);
    body.len()
}

/// Encodes a whole body in chunked coding, as the parts that are written one after the other. A small
/// body is one part, a large one is not copied.
pub fn body_in_chunks(body: &[u8]) -> Vec<Cow<'_, [u8]>> {
    if body.len() > MAX_JOINED_BYTES {
        let size = format!("{:x}\r\n", body.len()).into_bytes();
        let end = [b"\r\n", LAST_CHUNK].concat();
        return vec![Cow::Owned(size), Cow::Borrowed(body), Cow::Owned(end)];
    }
    let mut out = Vec::with_capacity(body.len() + 32);
    if !body.is_empty() {
        put_chunk(&mut out, body);
    }
    out.extend_from_slice(LAST_CHUNK);
    vec![Cow::Owned(out)]
}

/// The end of a complete chunked body: the last chunk, without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The interim response that asks for the body of a request.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The interim response that shows that a request is being processed.
pub const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Returns the standard reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
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
