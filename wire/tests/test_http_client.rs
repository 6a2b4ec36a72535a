//! Calls over connections that break: which error the client reports, and how often it sends a
//! request.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hemlock_wire::http_client::{self, CallError};

const TIMEOUT: Duration = Duration::from_secs(2);

type CallResult = Result<Vec<u8>, CallError>;

/// What the peer does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PeerAction {
    /// Answers and keeps the connection open.
    Answer,
    /// Answers and closes the connection, without a `Connection: close` header.
    AnswerAndClose,
    /// Reads the request and closes the connection without an answer.
    Close,
    /// Answers with half of the body and closes the connection.
    Truncate,
    /// Reads the request and does not answer within the timeout.
    Ignore,
}

/// Starts a peer that handles the first requests as `actions` say and answers the rest; returns its
/// URL and the count of requests received.
fn start_peer(actions: &'static [PeerAction]) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let received = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&received);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, actions, &count);
        }
    });
    (format!("http://{address}/"), received)
}

fn serve(mut stream: TcpStream, actions: &[PeerAction], count: &AtomicU32) {
    loop {
        if !read_request(&mut stream) {
            return;
        }
        let n = count.fetch_add(1, Ordering::SeqCst) as usize;
        let action = actions.get(n).copied().unwrap_or(PeerAction::Answer);
        let reply: &[u8] = match action {
            PeerAction::Answer | PeerAction::AnswerAndClose => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"
            }
            PeerAction::Truncate => b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndo",
            PeerAction::Close => b"",
            PeerAction::Ignore => {
                std::thread::sleep(TIMEOUT * 2);
                return;
            }
        };
        let _ = stream.write_all(reply);
        if action != PeerAction::Answer {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\nbody") {
        match stream.read(&mut byte) {
            Ok(1) => request.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Makes `calls` calls one after the other and returns the result of the last one.
fn call(url: String, calls: usize) -> CallResult {
    http_client::block_on_new_thread("test-caller", async move || {
        let mut last = Err(CallError::Connect);
        for _ in 0..calls {
            let body = http_client::post(&url, b"body".to_vec(), TIMEOUT).await;
            last = body.map(|b| b.to_vec());
            ntex::time::sleep(ntex::time::Millis(50)).await;
        }
        last
    })
}

/// The client must not repeat a request by itself when its connection breaks, and must not claim
/// that nothing was sent when the peer has received the request.
#[test]
fn request_is_sent_once_whatever_happens_to_the_connection() {
    use PeerAction::{Answer, AnswerAndClose, Close, Ignore, Truncate};
    let done = || Ok(b"done".to_vec());
    let cases: [(&'static [PeerAction], usize, CallResult); 8] = [
        (&[Answer], 1, done()),
        (&[Close], 1, Err(CallError::Lost)),
        (&[Truncate], 1, Err(CallError::Lost)),
        (&[Ignore], 1, Err(CallError::Lost)),
        (&[Answer, Close], 2, Err(CallError::Lost)),
        (&[Answer, Truncate], 2, Err(CallError::Lost)),
        (&[AnswerAndClose, Answer], 2, done()),
        (&[AnswerAndClose, Close], 2, Err(CallError::Lost)),
    ];
    for (actions, calls, expected) in cases {
        let (url, received) = start_peer(actions);
        assert_eq!(call(url, calls), expected, "{actions:?}");
        assert_eq!(
            received.load(Ordering::SeqCst) as usize,
            calls,
            "{actions:?}"
        );
    }
}

#[test]
fn refused_connection_is_reported_as_connect_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    assert_eq!(
        call(format!("http://{address}/"), 1),
        Err(CallError::Connect)
    );
}
