//! Reasons that `explain` gives.

use hemlock_cli::Exit;
use hemlock_lib::table::{ConfigRecord, DrainRow, Edit, Row, RowKey};
use hemlock_lib::view::View;

use crate::fake::{Fake, Mode, view};

fn drained() -> View {
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

fn dark() -> View {
    let mut view = view();
    view.log_up = false;
    view.entries[0].live = false;
    view
}

fn loading() -> View {
    let mut view = view();
    let status = view.vms.get_mut("riverside-1").expect("the VM exists");
    status.held.as_mut().expect("it holds a replica").ready = false;
    view
}

#[test]
fn reasons() {
    let cases: [(&str, View, &str, Exit); 9] = [
        ("explain_serving", view(), "riverside.2", Exit::Done),
        ("explain_replica", view(), "riverside.3", Exit::Done),
        ("explain_loading", loading(), "riverside.2", Exit::Done),
        ("explain_lost_vm", view(), "riverside-3", Exit::Done),
        ("explain_free_vm", view(), "riverside-4", Exit::Done),
        ("explain_log_out", dark(), "riverside-4", Exit::Done),
        ("explain_drained_vm", drained(), "riverside-1", Exit::Done),
        ("explain_request", view(), "request-7", Exit::Done),
        ("explain_unknown", view(), "riverside-33", Exit::Refused),
    ];
    for (name, view, thing, exit) in cases {
        let fake = Fake::with_view(Mode::Fold, view);
        let ended = fake.run(&["explain", thing]);
        assert_eq!(ended.exit, exit, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text);
    }
}
