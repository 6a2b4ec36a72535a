//! Calls over connections that break: what the client reports, and how often it sends a request.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hemlock_wire::http_client::{self, CallError};

const WAIT: Duration = Duration::from_secs(2);

type End = Result<Vec<u8>, CallError>;

/// What the peer does to the requests of one connection, in order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    /// Answers and keeps the connection.
    Answer,
    /// Answers and closes the connection, though it said nothing of that.
    AnswerAndClose,
    /// Reads the request and closes the connection.
    Close,
    /// Answers with half of the body and closes the connection.
    Cut,
    /// Reads the request and never answers.
    Silent,
}

fn peer(acts: &'static [Act]) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let seen = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&seen);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, acts, &count);
        }
    });
    (format!("http://{address}/"), seen)
}

fn serve(mut stream: TcpStream, acts: &[Act], count: &AtomicU32) {
    loop {
        if !read_request(&mut stream) {
            return;
        }
        let n = count.fetch_add(1, Ordering::SeqCst) as usize;
        let act = acts.get(n).copied().unwrap_or(Act::Answer);
        let reply: &[u8] = match act {
            Act::Answer | Act::AnswerAndClose => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"
            }
            Act::Cut => b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndo",
            Act::Close => b"",
            Act::Silent => {
                std::thread::sleep(WAIT * 2);
                return;
            }
        };
        let _ = stream.write_all(reply);
        if act != Act::Answer {
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

/// Makes `calls` calls one after the other and returns the end of the last one.
fn call(url: String, calls: usize) -> End {
    http_client::block_on_new_thread("test-caller", async move || {
        let mut last = Err(CallError::Connect);
        for _ in 0..calls {
            let body = http_client::post(&url, b"body".to_vec(), WAIT).await;
            last = body.map(|b| b.to_vec());
            ntex::time::sleep(ntex::time::Millis(50)).await;
        }
        last
    })
}

/// A request is sent once a call, whatever becomes of its connection; the client says that nothing
/// was sent only if so.
#[test]
fn no_request_is_sent_twice() {
    use Act::{Answer, AnswerAndClose, Close, Cut, Silent};
    let done = || Ok(b"done".to_vec());
    let cases: [(&'static [Act], usize, End); 8] = [
        (&[Answer], 1, done()),
        (&[Close], 1, Err(CallError::Lost)),
        (&[Cut], 1, Err(CallError::Lost)),
        (&[Silent], 1, Err(CallError::Lost)),
        (&[Answer, Close], 2, Err(CallError::Lost)),
        (&[Answer, Cut], 2, Err(CallError::Lost)),
        (&[AnswerAndClose, Answer], 2, done()),
        (&[AnswerAndClose, Close], 2, Err(CallError::Lost)),
    ];
    for (acts, calls, end) in cases {
        let (url, seen) = peer(acts);
        assert_eq!(call(url, calls), end, "{acts:?}");
        assert_eq!(seen.load(Ordering::SeqCst) as usize, calls, "{acts:?}");
    }
}

#[test]
fn a_closed_port_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    assert_eq!(
        call(format!("http://{address}/"), 1),
        Err(CallError::Connect)
    );
}
