//! Calls to plain services that may not be repeated.

use std::time::Duration;

use hemlock_testutils::agent::LogFault;
use uuid::Uuid;

use crate::harness::{AUTH, Act, Endpoint, Reply, Site};

const CALL: &str = "/v1/services/portal-app/claims";

fn call(site: &Site, key: &str, auth: (&str, &str), body: &str) -> Reply {
    let headers = [auth, ("idempotency-key", key)];
    site.send("POST", CALL, &headers, body.as_bytes())
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// What the caller is told when the service fails, and how often the call is sent.
#[test]
fn a_call_that_may_have_run_is_not_sent_again() {
    let cases = [
        (Act::Answer, 200, 1000, "", 1),
        (Act::Status(500), 500, 1000, "", 1),
        (Act::Status(404), 404, 1000, "", 1),
        (Act::Close, 409, 1506, "unknown", 1),
        (Act::Cut(0), 409, 1506, "unknown", 1),
        (Act::Garbage, 409, 1506, "unknown", 1),
    ];
    for (act, status, code, ran, calls) in cases {
        let services = [Endpoint::spawn(&[act]), Endpoint::spawn(&[act])];
        let site = Site::spawn(&[], &[&services[0], &services[1]]);
        let key = key();
        let reply = call(&site, &key, AUTH, "rebate");
        let seen = (reply.status, reply.code(), reply.ran());
        assert_eq!(seen, (status, code, ran), "{act:?}");
        let again = call(&site, &key, AUTH, "rebate");
        assert_eq!((again.status, again.code()), (status, code), "{act:?}");
        assert!(code != 1000 || again.body == reply.body, "{act:?}");
        assert_eq!(services[0].calls() + services[1].calls(), calls, "{act:?}");
    }
}

/// A service that can't be reached did not run the call, so another VM of it may.
#[test]
fn a_call_that_did_not_run_goes_elsewhere() {
    let (dead, live) = (Endpoint::spawn(&[]), Endpoint::spawn(&[]));
    let site = Site::spawn(&[], &[&dead, &live]);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("it is bound");
    drop(closed);
    site.change_view(|view| {
        let vm = view.vms.get_mut("service-0").expect("it is listed");
        vm.listing.address = format!("http://{address}");
    });
    for i in 0..4 {
        let body = format!("call-{i}");
        assert_eq!(call(&site, &key(), AUTH, &body).status, 200);
    }
    assert_eq!(live.calls(), 4);
}

/// Without the log nothing is claimed, so nothing runs; the key is good again afterwards.
#[test]
fn nothing_runs_while_the_log_is_out() {
    let cases = [(LogFault::Out, 1504), (LogFault::Lost, 1507)];
    for (fault, code) in cases {
        let service = Endpoint::spawn(&[]);
        let site = Site::spawn(&[], &[&service]);
        let key = key();
        site.set_log(fault);
        let refused = call(&site, &key, AUTH, "rebate");
        assert_eq!((refused.code(), refused.ran()), (code, "no"));
        assert_eq!(service.calls(), 0);
        site.set_log(LogFault::None);
        // The release of a claim that may stand is sent again within a second.
        std::thread::sleep(Duration::from_millis(1_500));
        let answered = call(&site, &key, AUTH, "rebate");
        assert_eq!(answered.status, 200, "{fault:?}: {answered:?}");
        assert_eq!(service.calls(), 1);
    }
}

/// A kept answer goes only to the request that it answers.
#[test]
fn a_key_belongs_to_one_account_and_one_body() {
    let service = Endpoint::spawn(&[]);
    let site = Site::spawn(&[], &[&service]);
    let key = key();
    let path = format!("/v1/keys/{key}");
    let state = |auth| site.send("GET", &path, &[auth], b"");
    assert_eq!(state(AUTH).json()["state"], "free");
    assert_eq!(call(&site, &key, AUTH, "rebate").status, 200);
    let other = ("authorization", "Bearer key-2");
    for (auth, body) in [(AUTH, "hold"), (other, "rebate")] {
        let refused = call(&site, &key, auth, body);
        assert_eq!((refused.status, refused.code()), (422, 1508));
        assert!(!refused.body.contains("done"));
    }
    let replayed = call(&site, &key, AUTH, "rebate");
    assert_eq!(replayed.headers["x-replayed"], "yes");
    assert_eq!(state(AUTH).json()["state"], "answered");
    assert_eq!(state(other).code(), 1508);
    assert_eq!(service.calls(), 1);
}

/// A caller that leaves finds its answer kept; one that asks meanwhile is told to wait.
#[test]
fn a_call_runs_on_when_its_caller_leaves() {
    let service = Endpoint::spawn(&[Act::Slow(Duration::from_millis(800))]);
    let site = Site::spawn(&[], &[&service]);
    let key = key();
    let headers = [AUTH, ("idempotency-key", key.as_str())];
    let call_bytes = crate::harness::request("POST", CALL, &headers, b"rebate");
    let mut caller = site.connect();
    std::io::Write::write_all(&mut caller, &call_bytes).expect("it is connected");
    std::thread::sleep(Duration::from_millis(300));
    drop(caller);
    let early = call(&site, &key, AUTH, "rebate");
    assert_eq!((early.code(), early.ran()), (1505, "unknown"));
    std::thread::sleep(Duration::from_millis(1_000));
    let late = call(&site, &key, AUTH, "rebate");
    assert_eq!(
        (late.status, late.headers["x-replayed"].as_str()),
        (200, "yes")
    );
    assert_eq!(service.calls(), 1);
}
