//! Drains of endpoint VMs and entry VMs.

use hemlock_cli::Exit;
use hemlock_lib::view::{Health, mark_drained};

use crate::fake::{Fake, Mode, view};

#[test]
fn a_drained_vm_counts_as_leaving_until_it_is_taken_back() {
    let fake = Fake::spawn(Mode::Fold);
    let cases: [(&str, &[&str], Exit); 6] = [
        (
            "drain",
            &["drain", "riverside-0", "--reason", "fan noise"],
            Exit::Done,
        ),
        ("drain_again", &["drain", "riverside-0"], Exit::Done),
        ("undrain", &["undrain", "riverside-0", "--wait"], Exit::Done),
        ("undrain_again", &["undrain", "riverside-0"], Exit::Refused),
        ("drain_unknown", &["drain", "rivrside-0"], Exit::Refused),
        ("drain_once_more", &["drain", "riverside-0"], Exit::Done),
    ];
    for (name, args, exit) in cases {
        let ended = fake.run(args);
        assert_eq!(ended.exit, exit, "{name}: {}", ended.text);
        insta::assert_snapshot!(name, ended.text);
    }
    let mut view = view();
    mark_drained(&mut view.vms, &fake.table());
    assert_eq!(view.vms["riverside-0"].health, Health::Leaving);
    assert_eq!(view.vms["riverside-1"].health, Health::Live);
}

#[test]
fn an_entry_vm_leaves_and_does_not_come_back() {
    let fake = Fake::spawn(Mode::Fold);
    let left = fake.run(&["drain", "entry-1"]);
    assert_eq!(left.exit, Exit::Done, "{}", left.text);
    insta::assert_snapshot!("drain_entry", left.text);
    insta::assert_snapshot!("status_leaving", fake.run(&["status"]).text);
    let back = fake.run(&["undrain", "entry-1"]);
    assert_eq!(back.exit, Exit::Refused);
    insta::assert_snapshot!("undrain_entry", back.text);
}
