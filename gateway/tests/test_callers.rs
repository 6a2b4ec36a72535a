//! Invalid and truncated requests, and requests to an isolated gateway. The gateway keeps serving
//! after each of them.

use std::io::Write;

use hemlock_testutils::engine::expected_answer;
use uuid::Uuid;

use crate::harness::{AUTH, Behaviour, Endpoint, Harness, chat_body, request};

/// Method, path, headers and body of a request, and the expected HTTP status and result code.
type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, String, u16, u64);

#[test]
fn invalid_requests_are_refused_with_their_result_code() {
    let (engine, service) = (Endpoint::spawn(&[]), Endpoint::spawn(&[]));
    let harness = Harness::spawn(&[&engine], &[&service]);
    let chat_path = "/v1/chat/completions";
    let valid_body = || chat_body(false, 3, "hello");
    let service_path = "/v1/services/portal-app/claims";
    let expired_key = "01890000-0000-7000-8000-000000000000";
    let random_key = Uuid::from_u128(0x4000_8000_0000_0000_0000).to_string();
    let cases: Vec<Case<'_>> = vec![
        ("GET", "/nowhere", vec![], String::new(), 404, 1003),
        ("GET", chat_path, vec![AUTH], String::new(), 405, 1006),
        ("POST", "/v1/entry", vec![], String::new(), 405, 1006),
        ("POST", chat_path, vec![AUTH], "{".to_owned(), 400, 1001),
        ("POST", chat_path, vec![AUTH], String::new(), 400, 1001),
        ("POST", chat_path, vec![AUTH], "[1]".to_owned(), 400, 1001),
        ("POST", chat_path, vec![AUTH], "x".repeat(5_000), 413, 1002),
        (
            "POST",
            chat_path,
            vec![AUTH, ("x-deadline-ms", "soon")],
            valid_body(),
            400,
            1004,
        ),
        ("POST", chat_path, vec![], valid_body(), 401, 1101),
        (
            "POST",
            chat_path,
            vec![("authorization", "Bearer nobody")],
            valid_body(),
            401,
            1101,
        ),
        (
            "POST",
            chat_path,
            vec![AUTH],
            valid_body().replace("listwriter", "none"),
            404,
            1102,
        ),
        (
            "POST",
            "/v1/services/none/claims",
            vec![AUTH, ("x-idempotent", "yes")],
            String::new(),
            404,
            1102,
        ),
        ("POST", service_path, vec![AUTH], String::new(), 400, 1501),
        (
            "POST",
            service_path,
            vec![AUTH, ("idempotency-key", "key")],
            String::new(),
            400,
            1502,
        ),
        (
            "POST",
            service_path,
            vec![AUTH, ("idempotency-key", &random_key)],
            String::new(),
            400,
            1502,
        ),
        (
            "POST",
            service_path,
            vec![AUTH, ("idempotency-key", expired_key)],
            String::new(),
            409,
            1503,
        ),
        ("GET", "/v1/keys/key", vec![AUTH], String::new(), 400, 1502),
    ];
    for (method, path, headers, body, status, code) in cases {
        let reply = harness.send(method, path, &headers, body.as_bytes());
        let actual = (reply.status, reply.code(), reply.ran());
        assert_eq!(actual, (status, code, "no"), "{method} {path} {headers:?}");
        assert!(reply.complete, "{method} {path} was cut off");
        assert_eq!(reply.json()["error"]["code"], code);
    }
    assert_eq!((engine.calls(), service.calls()), (0, 0));
    let reply = harness.chat(false, 3, &[]);
    assert_eq!(reply.text(), expected_answer("user: hello", 3));
}

/// A connection that closes within a request, or that sends something else than HTTP, must neither
/// stop the gateway nor reach an engine.
#[test]
fn truncated_requests_do_not_disturb_later_ones() {
    let engine = Endpoint::spawn(&[]);
    let harness = Harness::spawn(&[&engine], &[]);
    let body = chat_body(true, 3, "hello");
    let request_bytes = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    for end in (0..request_bytes.len()).step_by(7) {
        let mut stream = harness.connect();
        stream
            .write_all(&request_bytes[..end])
            .expect("it is connected");
    }
    for garbage in [
        "\r\n\r\n",
        "GET\r\n\r\n",
        "POST / HTTP/9.9\r\n\r\n",
        "\0\0\0\0",
    ] {
        let mut stream = harness.connect();
        let _ = stream.write_all(garbage.as_bytes());
    }
    assert_eq!(
        harness.chat(false, 3, &[]).text(),
        expected_answer("user: hello", 3)
    );
    assert_eq!(engine.calls(), 1);
}

/// Without contact to the log and to peers, a gateway might act on outdated state. It refuses new
/// requests after 5 s and names another entry VM, until the log or a peer is back.
#[test]
fn an_isolated_gateway_refuses_requests_and_names_another_entry_vm() {
    let engine = Endpoint::spawn(&[Behaviour::Answer]);
    let harness = Harness::spawn(&[&engine], &[]);
    harness.change_view(|view| view.log_up = false);
    assert_eq!(
        harness.chat(false, 3, &[]).status,
        200,
        "peers are in reach"
    );
    harness.change_view(|view| view.peers_up = false);
    std::thread::sleep(std::time::Duration::from_millis(5_200));
    let reply = harness.chat(false, 3, &[]);
    assert_eq!((reply.status, reply.code(), reply.ran()), (503, 1304, "no"));
    assert_eq!(reply.json()["error"]["addresses"][0], "http://127.0.0.1:9");
    harness.change_view(|view| view.log_up = true);
    assert_eq!(harness.chat(false, 3, &[]).status, 200, "the log is back");
}
