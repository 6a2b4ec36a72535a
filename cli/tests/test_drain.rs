//! Draining endpoint VMs and entry VMs, and undoing it.

use hemlock_cli::Exit;
use hemlock_lib::view::{Health, mark_drained};

use crate::fake_agent::{FakeAgent, SubmitBehavior, view};

#[test]
fn a_drained_vm_is_leaving_until_it_is_undrained() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
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
        let result = agent.run(args);
        assert_eq!(result.exit, exit, "{name}: {}", result.text);
        insta::assert_snapshot!(name, result.text);
    }
    let mut view = view();
    mark_drained(&mut view.vms, &agent.table());
    assert_eq!(view.vms["riverside-0"].health, Health::Leaving);
    assert_eq!(view.vms["riverside-1"].health, Health::Live);
}

#[test]
fn a_drained_entry_vm_leaves_and_can_not_be_undrained() {
    let agent = FakeAgent::spawn(SubmitBehavior::Accept);
    let left = agent.run(&["drain", "entry-1"]);
    assert_eq!(left.exit, Exit::Done, "{}", left.text);
    insta::assert_snapshot!("drain_entry", left.text);
    insta::assert_snapshot!("status_leaving", agent.run(&["status"]).text);
    agent.silence(1);
    insta::assert_snapshot!("status_left", agent.run(&["status"]).text);
    let set = agent.run(&["set", "group/listwriter", "slots=9", "--wait=1"]);
    assert_eq!(
        set.exit,
        Exit::Done,
        "an entry VM that left must not delay the confirmation: {}",
        set.text
    );
    let undrained = agent.run(&["undrain", "entry-1"]);
    assert_eq!(undrained.exit, Exit::Refused);
    insta::assert_snapshot!("undrain_entry", undrained.text);
}
