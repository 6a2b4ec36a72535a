//! Reasons that `explain` gives for the state of VMs, replicas and requests.

use hemlock_cli::Exit;
use hemlock_lib::table::{ConfigRecord, DrainRow, Edit, Row, RowKey};
use hemlock_lib::view::View;

use crate::fake_agent::{FakeAgent, SubmitBehavior, view};

fn view_with_drained_vm() -> View {
    let mut view = view();
    let edit = Edit {
        key: RowKey::Drain("riverside-1".into()),
        base: None,
        row: Some(Row::Drain(DrainRow {
            reason: "fan noise".to_owned(),
        })),
    };
    let record = ConfigRecord {
        nonce: hemlock_lib::ids::Nonce(9),
        author: "ines".to_owned(),
        at_ms: 0,
        edits: vec![edit],
    };
    let next = view.table.next;
    view.table.fold(next, &record).expect("a free row");
    view
}

fn view_without_log_and_planner() -> View {
    let mut view = view();
    view.log_up = false;
    view.entries[0].live = false;
    view
}

fn view_with_loading_vm() -> View {
    let mut view = view();
    let status = view.vms.get_mut("riverside-1").expect("the VM exists");
    status.held.as_mut().expect("it holds a replica").ready = false;
    view
}

#[test]
fn explain_gives_the_state_and_its_reasons() {
    let cases: [(&str, View, &str, Exit); 9] = [
        ("explain_serving", view(), "riverside.2", Exit::Done),
        ("explain_replica", view(), "riverside.3", Exit::Done),
        (
            "explain_loading",
            view_with_loading_vm(),
            "riverside.2",
            Exit::Done,
        ),
        ("explain_lost_vm", view(), "riverside-3", Exit::Done),
        ("explain_free_vm", view(), "riverside-4", Exit::Done),
        (
            "explain_log_out",
            view_without_log_and_planner(),
            "riverside-4",
            Exit::Done,
        ),
        (
            "explain_drained_vm",
            view_with_drained_vm(),
            "riverside-1",
            Exit::Done,
        ),
        ("explain_request", view(), "request-7", Exit::Done),
        ("explain_unknown", view(), "riverside-33", Exit::Refused),
    ];
    for (name, view, subject, exit) in cases {
        let agent = FakeAgent::with_view(SubmitBehavior::Accept, view);
        let result = agent.run(&["explain", subject]);
        assert_eq!(result.exit, exit, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text);
    }
}

/// Lines of several entry VMs, each after the name of its VM.
const LOGS: &str = "\
  1.0 entry-1 time_ms=1000 level=INFO event=sent request=r1 id=i-1 attempt=1 after= running=3\n\
  1.2 entry-2 time_ms=1200 level=WARN event=silent id=i-1 request=r9 progress_age_ms=450\n\
  1.4 entry-1 time_ms=1400 level=INFO event=send_failed request=r1 id=i-1 cause=silent may_have_run=true\n\
  1.5 entry-3 time_ms=1500 level=INFO event=probe id=i-1 answered=false\n\
  1.6 entry-3 time_ms=1600 level=INFO event=plan service=m usable=50 free=2\n\
  1.7 entry-1 time_ms=1700 level=INFO event=broken_off request=r1 cause=budget ms=700 events=3 attempts=1\n\
  1.8 entry-1 time_ms=1800 level=INFO event=refused request=r2 cause=full after_ms=900 list=7\n\
  1.9 entry-1 time_ms=3000 level=INFO event=path state=cut failed=5\n\
  1.9 entry-1 time_ms=3010 level=INFO event=passed_on request=r4 via=peer:entry-2 after=connect sends=0\n\
  1.9 entry-2 time_ms=3020 level=INFO event=taken_over request=r4 for=entry-1 sends=0 left_ms=900\n\
  1.9 entry-2 time_ms=3030 level=INFO event=handed_back request=r4 cause=stopping may_have_run=false ms=20 for=entry-1\n\
  1.9 entry-1 time_ms=3040 level=INFO event=passed_on request=r4 via=peer:entry-3 after=peer_declined sends=0\n\
  1.9 entry-1 time_ms=3090 level=INFO event=answered request=r4 id=i-1 status=200 ms=90 via=peer:entry-3\n\
  1.9 entry-3 time_ms=3095 level=INFO event=left request=r4 id=i-1 ms=80 via=direct for=entry-1\n";

/// Runs `explain REQUEST --logs` on a file that holds [`LOGS`].
fn explain_logs(request: &str) -> (Exit, String) {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("all.log");
    std::fs::write(&path, LOGS).expect("a file");
    let file = path.display().to_string();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = hemlock_cli::run(
        ["hemlock", "explain", request, "--logs", &file],
        &mut out,
        &mut err,
    );
    (
        exit,
        String::from_utf8_lossy(&[out, err].concat()).into_owned(),
    )
}

#[test]
fn explain_logs_shows_why_a_stream_ended_early() {
    let (exit, text) = explain_logs("r1");
    assert_eq!(exit, Exit::Done, "{text}");
    let verdict = text.lines().next().unwrap_or_default();
    for part in [
        "ended unfinished",
        "budget",
        "sends failed: silent",
        "engine of its group",
    ] {
        assert!(verdict.contains(part), "{part}: {text}");
    }
    // Lines of other VMs on the request's endpoint, and the last summary of the planner, are between the
    // lines of the request.
    let order = [
        "event=sent",
        "event=silent",
        "send_failed",
        "probe",
        "event=plan",
        "broken_off",
    ];
    let positions: Vec<_> = order.iter().map(|p| text.find(p)).collect();
    assert!(
        positions.iter().all(Option::is_some) && positions.is_sorted(),
        "{positions:?} {text}"
    );
    assert!(!text.contains("r2"), "{text}");
}

#[test]
fn explain_logs_shows_why_a_request_was_refused_or_is_unknown() {
    let (exit, text) = explain_logs("r2");
    assert_eq!(exit, Exit::Done);
    assert!(
        text.contains("cause full: no endpoint could have begun it in time"),
        "{text}"
    );
    let (exit, text) = explain_logs("r3");
    assert_eq!(exit, Exit::Failed);
    assert!(
        text.contains("no line of 1 files names request r3"),
        "{text}"
    );
}

/// The end at the VM of the caller counts, whatever a peer logs later.
#[test]
fn explain_logs_shows_by_which_peers_a_request_was_passed_on() {
    let (exit, text) = explain_logs("r4");
    assert_eq!(exit, Exit::Done, "{text}");
    let verdict = text.lines().next().unwrap_or_default();
    assert!(
        verdict.contains("it was answered; passed on to entry-2, entry-3"),
        "{text}"
    );
    for part in [
        "event=path state=cut",
        "event=taken_over",
        "event=handed_back",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
