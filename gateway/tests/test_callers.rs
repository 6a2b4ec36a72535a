//! What callers send wrong, and what they are told; the gateway serves on after each.

use std::io::Write;

use hemlock_testutils::engine::right_answer;
use uuid::Uuid;

use crate::harness::{AUTH, Act, Endpoint, Site, chat_body, request};

type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, String, u16, u64);

#[test]
fn malformed_requests_get_a_numbered_code() {
    let (engine, service) = (Endpoint::spawn(&[]), Endpoint::spawn(&[]));
    let site = Site::spawn(&[&engine], &[&service]);
    let chat = "/v1/chat/completions";
    let good = || chat_body(false, 3, "hello");
    let call = "/v1/services/portal-app/claims";
    let old = "01890000-0000-7000-8000-000000000000";
    let random = Uuid::from_u128(0x4000_8000_0000_0000_0000).to_string();
    let cases: Vec<Case<'_>> = vec![
        ("GET", "/nowhere", vec![], String::new(), 404, 1003),
        ("GET", chat, vec![AUTH], String::new(), 405, 1006),
        ("POST", "/v1/entry", vec![], String::new(), 405, 1006),
        ("POST", chat, vec![AUTH], "{".to_owned(), 400, 1001),
        ("POST", chat, vec![AUTH], String::new(), 400, 1001),
        ("POST", chat, vec![AUTH], "[1]".to_owned(), 400, 1001),
        ("POST", chat, vec![AUTH], "x".repeat(5_000), 413, 1002),
        (
            "POST",
            chat,
            vec![AUTH, ("x-deadline-ms", "soon")],
            good(),
            400,
            1004,
        ),
        ("POST", chat, vec![], good(), 401, 1101),
        (
            "POST",
            chat,
            vec![("authorization", "Bearer nobody")],
            good(),
            401,
            1101,
        ),
        (
            "POST",
            chat,
            vec![AUTH],
            good().replace("listwriter", "none"),
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
        ("POST", call, vec![AUTH], String::new(), 400, 1501),
        (
            "POST",
            call,
            vec![AUTH, ("idempotency-key", "key")],
            String::new(),
            400,
            1502,
        ),
        (
            "POST",
            call,
            vec![AUTH, ("idempotency-key", &random)],
            String::new(),
            400,
            1502,
        ),
        (
            "POST",
            call,
            vec![AUTH, ("idempotency-key", old)],
            String::new(),
            409,
            1503,
        ),
        ("GET", "/v1/keys/key", vec![AUTH], String::new(), 400, 1502),
    ];
    for (method, path, headers, body, status, code) in cases {
        let reply = site.send(method, path, &headers, body.as_bytes());
        let seen = (reply.status, reply.code(), reply.ran());
        assert_eq!(seen, (status, code, "no"), "{method} {path} {headers:?}");
        assert!(reply.whole, "{method} {path} was cut off");
        assert_eq!(reply.json()["error"]["code"], code);
    }
    assert_eq!((engine.calls(), service.calls()), (0, 0));
    let reply = site.chat(false, 3, &[]);
    assert_eq!(reply.text(), right_answer("user: hello", 3));
}

/// Callers that break off within their request do no harm.
#[test]
fn requests_cut_off_anywhere_leave_the_gateway_serving() {
    let engine = Endpoint::spawn(&[]);
    let site = Site::spawn(&[&engine], &[]);
    let body = chat_body(true, 3, "hello");
    let whole = request("POST", "/v1/chat/completions", &[AUTH], body.as_bytes());
    for end in (0..whole.len()).step_by(7) {
        let mut stream = site.connect();
        stream.write_all(&whole[..end]).expect("it is connected");
    }
    for garbage in [
        "\r\n\r\n",
        "GET\r\n\r\n",
        "POST / HTTP/9.9\r\n\r\n",
        "\0\0\0\0",
    ] {
        let mut stream = site.connect();
        let _ = stream.write_all(garbage.as_bytes());
    }
    assert_eq!(
        site.chat(false, 3, &[]).text(),
        right_answer("user: hello", 3)
    );
    assert_eq!(engine.calls(), 1);
}

/// An entry VM with neither log nor peers refuses new work and names another one.
#[test]
fn a_cut_off_gateway_points_elsewhere() {
    let engine = Endpoint::spawn(&[Act::Answer]);
    let site = Site::spawn(&[&engine], &[]);
    site.change_view(|view| view.log_up = false);
    assert_eq!(site.chat(false, 3, &[]).status, 200, "peers are in reach");
    site.change_view(|view| view.peers_up = false);
    std::thread::sleep(std::time::Duration::from_millis(5_200));
    let reply = site.chat(false, 3, &[]);
    assert_eq!((reply.status, reply.code(), reply.ran()), (503, 1304, "no"));
    assert_eq!(reply.json()["error"]["addresses"][0], "http://127.0.0.1:9");
    site.change_view(|view| view.log_up = true);
    assert_eq!(site.chat(false, 3, &[]).status, 200, "the log is back");
}
