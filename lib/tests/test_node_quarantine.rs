use std::time::Duration;

use hemlock_lib::node::quarantine::{EndpointRun, Event, Quarantine, Report, Suspect, Suspects};
use hemlock_lib::time::Time;

const REPEAT_TIME: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

/// Returns the suspects of a request with this number, which is unlike all others, and the given
/// shared parts.
fn request(number: u64, parts: &[u64]) -> Suspects {
    Suspects {
        request: Suspect::request("/a", "acme", &number.to_be_bytes()),
        parts: parts.iter().map(|p| Suspect::part(*p)).collect(),
    }
}

fn run(number: u64) -> EndpointRun {
    EndpointRun::new("e", number)
}

fn is_refused(quarantine: &mut Quarantine, ms: u64, suspects: &Suspects) -> bool {
    quarantine.check(at(ms), suspects).is_some()
}

/// Passes what each VM reports to all others.
fn exchange(ms: u64, vms: &mut [Quarantine]) {
    let reports: Vec<Vec<Report>> = vms
        .iter_mut()
        .map(|q| q.reports(at(ms), REPEAT_TIME))
        .collect();
    for (from, reports) in reports.iter().enumerate() {
        for (to, vm) in vms.iter_mut().enumerate() {
            if to != from {
                reports.iter().for_each(|r| vm.record_report(at(ms), *r));
            }
        }
    }
}

#[test]
fn a_request_is_quarantined_after_three_crashes() {
    let suspects = request(1, &[]);
    let similar = Suspect::request("/a", "acm", b"ebody");
    assert_ne!(Suspect::request("/a", "acme", b"body"), similar);
    let mut own = Quarantine::default();
    let mut other = Quarantine::default();
    own.record_crash(at(0), &suspects, run(1), false);
    own.record_crash(at(10), &suspects, run(1), false);
    own.record_crash(at(20), &suspects, run(2), false);
    assert!(!is_refused(&mut own, 20, &suspects));
    for report in own.reports(at(30), REPEAT_TIME) {
        other.record_report(at(30), report);
    }
    other.record_crash(at(40), &suspects, run(3), false);
    assert!(is_refused(&mut other, 50, &suspects));
    assert!(!is_refused(&mut other, 50 + 60_000, &suspects));
    assert!(!is_refused(&mut other, 50, &request(2, &[])));
}

/// A request that many callers send is in flight at any endpoint that crashes. Once it succeeds,
/// here or at a peer, its crashes are known to have other causes.
#[test]
fn a_request_that_succeeds_is_not_quarantined() {
    let suspects = request(7, &[]);
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for endpoint in 1..=3 {
        vms[0].record_crash(at(0), &suspects, run(endpoint), false);
    }
    exchange(10, &mut vms);
    assert!(vms.iter_mut().all(|q| is_refused(q, 20, &suspects)));
    vms[0].record_success(at(30), &suspects);
    assert!(!is_refused(&mut vms[0], 30, &suspects));
    exchange(40, &mut vms);
    assert!(!is_refused(&mut vms[1], 50, &suspects));
    let unsuspected = request(8, &[]);
    vms[0].record_success(at(60), &unsuspected);
    let mut reports = vms[0].reports(at(60), REPEAT_TIME).into_iter();
    assert!(reports.all(|(suspect, _)| suspect != unsuspected.request));
}

#[test]
fn a_part_that_different_requests_share_is_quarantined_at_all_vms() {
    let mut vms = [
        Quarantine::default(),
        Quarantine::default(),
        Quarantine::default(),
    ];
    for i in 0..3 {
        let suspects = request(i, &[1, 66]);
        vms[(i % 2) as usize].record_crash(at(i * 400), &suspects, run(i), false);
        vms[1].record_begun(at(i * 400 + 10), &request(100 + i, &[1]));
        exchange(i * 400 + 20, &mut vms);
    }
    // The peers have half a second to clear it.
    assert!(!is_refused(&mut vms[0], 1_290, &request(10, &[1, 66])));
    assert!(is_refused(&mut vms[0], 1_310, &request(11, &[1, 66])));
    exchange(1_400, &mut vms);
    // One of them has seen no crash.
    assert!(
        vms.iter_mut()
            .all(|q| is_refused(q, 1_500, &request(12, &[66])))
    );
    assert!(
        !vms.iter_mut()
            .any(|q| is_refused(q, 1_500, &request(13, &[1])))
    );
    // It stays so while such requests come, and another VM that starts learns of it.
    let mut started = Quarantine::default();
    for report in vms[0].reports(at(60_000), REPEAT_TIME) {
        started.record_report(at(60_000), report);
    }
    assert!(is_refused(&mut started, 60_001, &request(14, &[66])));
}

#[test]
fn parts_beside_the_crashing_one_stay_usable() {
    let mut quarantine = Quarantine::default();
    // Nothing was answered yet, and the crashing part stands before or after another one.
    quarantine.record_begun(at(0), &request(0, &[2]));
    for i in 0..5 {
        let time = at(5_000 + i * 200);
        quarantine.record_crash(time, &request(i, &[1, 66]), run(i), false);
        quarantine.record_crash(time, &request(10 + i, &[66, 2]), run(i), false);
        quarantine.record_crash(time, &request(20 + i, &[30 + i]), run(i), false);
        quarantine.record_crash(time, &request(99, &[4]), run(i.min(3)), false);
    }
    assert!(is_refused(&mut quarantine, 6_000, &request(40, &[66])));
    for innocent in [1, 2, 30, 34, 4] {
        assert!(!is_refused(
            &mut quarantine,
            6_000,
            &request(41, &[innocent])
        ));
    }
    // The request that ran beside it at four endpoints is not to blame either.
    assert!(!is_refused(&mut quarantine, 6_000, &request(99, &[4])));
}

#[test]
fn a_request_that_crashes_endpoints_by_itself_leaves_its_parts_usable() {
    let mut quarantine = Quarantine::default();
    let suspects = request(1, &[5, 6]);
    for i in 0..3 {
        quarantine.record_crash(at(i * 1_000), &suspects, run(i), false);
    }
    assert!(is_refused(&mut quarantine, 9_000, &suspects));
    assert!(!is_refused(&mut quarantine, 9_000, &request(2, &[5, 6])));
}

#[test]
fn endpoints_that_are_lost_at_the_same_time_quarantine_no_part() {
    let mut quarantine = Quarantine::default();
    for i in 0..20 {
        quarantine.record_crash(at(i), &request(i, &[5]), run(i), false);
    }
    assert!(!is_refused(&mut quarantine, 5_000, &request(50, &[5])));
}

#[test]
fn a_part_that_is_answered_anywhere_is_not_quarantined() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for i in 0..8 {
        vms[0].record_crash(at(i * 300), &request(i, &[5]), run(i), false);
        vms[1].record_begun(at(i * 300 + 100), &request(100 + i, &[5]));
        exchange(i * 300 + 110, &mut vms);
        assert!(
            vms.iter_mut()
                .all(|q| !is_refused(q, i * 300 + 200, &request(50, &[5])))
        );
    }
    // Requests that had begun to be answered are no evidence.
    for i in 10..20 {
        vms[0].record_crash(at(i * 300), &request(i, &[7]), run(i), true);
    }
    assert!(!is_refused(&mut vms[0], 9_000, &request(51, &[7])));
}

#[test]
fn a_part_that_was_refused_wrongly_is_cleared_by_an_answer_at_all_vms() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for i in 0..5 {
        vms[0].record_crash(at(i * 200), &request(i, &[5]), run(i), false);
    }
    assert!(is_refused(&mut vms[0], 1_000, &request(9, &[5])));
    exchange(1_000, &mut vms);
    assert!(is_refused(&mut vms[1], 1_010, &request(10, &[5])));
    vms[1].record_begun(at(1_100), &request(11, &[5]));
    // Both VMs report at the same time.
    exchange(1_110, &mut vms);
    exchange(1_310, &mut vms);
    assert!(
        vms.iter_mut()
            .all(|q| !is_refused(q, 4_000, &request(12, &[5])))
    );
}

#[test]
fn a_quarantine_ends_some_time_after_the_last_request_with_the_part() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for i in 0..5 {
        vms[0].record_crash(at(i * 200), &request(i, &[5]), run(i), false);
    }
    assert!(is_refused(&mut vms[0], 1_000, &request(9, &[5])));
    // The VMs remind each other of it, which does not extend it.
    for second in 1..610 {
        exchange(second * 1_000 + 500, &mut vms);
    }
    assert!(
        vms.iter_mut()
            .all(|q| !is_refused(q, 610_000, &request(10, &[5])))
    );
}

#[test]
fn reports_are_encoded_as_numbers_that_tell_events_apart() {
    for event in [
        Event::Answered,
        Event::Quarantined(0),
        Event::Quarantined(599),
        Event::Crashed(run(4)),
    ] {
        assert_eq!(Event::from(u64::from(event)), event);
    }
    assert_eq!(u64::from(Event::Answered), 0);
}

/// A cut resets the connections to all endpoints at one moment, also those of equal requests.
#[test]
fn connections_reset_by_a_cut_have_no_request_refused_anywhere() {
    let suspects = request(1, &[5]);
    let mut vms = [Quarantine::default(), Quarantine::default()];
    vms[0].confirm_crashes(at(0));
    for endpoint in 1..=6 {
        vms[0].record_crash(at(10 + endpoint), &suspects, run(endpoint), false);
    }
    exchange(50, &mut vms);
    assert!(!is_refused(&mut vms[1], 60, &suspects));
    let crashing = request(2, &[]);
    vms[0].retract_crashes(at(10));
    for ms in [400, 2_000] {
        exchange(ms, &mut vms);
        assert!(vms.iter_mut().all(|q| !is_refused(q, ms + 10, &suspects)));
    }
    for endpoint in 7..=9 {
        vms[0].record_crash(at(3_000 + endpoint), &crashing, run(endpoint), false);
    }
    assert!(is_refused(&mut vms[0], 3_010, &crashing));
    assert!(vms[0].confirm_crashes(at(3_010)));
    assert!(!vms[0].confirm_crashes(at(3_020)));
    exchange(3_020, &mut vms);
    assert!(is_refused(&mut vms[1], 3_030, &crashing));
}

#[test]
fn crashes_before_a_cut_are_not_retracted_with_those_of_the_cut() {
    let suspects = request(1, &[]);
    let mut vm = Quarantine::default();
    for endpoint in 1..=3 {
        vm.record_crash(at(endpoint * 100), &suspects, run(endpoint), false);
    }
    assert_eq!(vm.retract_crashes(at(300)), 1);
    vm.record_crash(at(2_000), &suspects, run(4), false);
    assert!(is_refused(&mut vm, 2_010, &suspects));
}

/// A VM that starts in a cut is not sure of it for seconds, longer than it repeats what it saw.
#[test]
fn what_was_concluded_in_a_long_doubt_is_retracted_when_it_was_a_cut() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    let (repeated, sharing) = (request(99, &[]), request(100, &[7]));
    vms[0].confirm_crashes(at(0));
    for n in 1..=6 {
        let ms = n * 400;
        vms[0].record_crash(at(ms), &request(n, &[7]), run(n), false);
        vms[0].record_crash(at(ms + 200), &repeated, run(10 + n), false);
        exchange(ms + 210, &mut vms);
    }
    assert!(is_refused(&mut vms[0], 2_900, &repeated));
    assert!(is_refused(&mut vms[0], 2_900, &sharing));
    vms[0].retract_crashes(at(100));
    for ms in [3_000, 9_000] {
        exchange(ms, &mut vms);
        for suspects in [&repeated, &sharing] {
            assert!(vms.iter_mut().all(|q| !is_refused(q, ms, suspects)));
        }
    }
}

/// Number of VMs of a fleet in which each hears of a crash from all others.
const FLEET: usize = 81;

#[test]
fn a_part_that_other_vms_have_seen_answered_is_cleared_by_few_reports() {
    let suspects = |number: u64| request(number, &[5]);
    let mut vms: Vec<Quarantine> = (0..FLEET).map(|_| Quarantine::default()).collect();
    for (number, vm) in vms.iter_mut().enumerate().skip(1) {
        vm.record_success(at(0), &suspects(number as u64));
    }
    vms[0].record_crash(at(500), &suspects(1_000), run(1), false);
    let mut answers = 0;
    // Each VM sends its heartbeat at a time of its own.
    for step in 0..3 * FLEET {
        let ms = 500 + 12 * step as u64;
        let from = step % FLEET;
        let reports = vms[from].reports(at(ms), REPEAT_TIME);
        let is_answer = |r: &&Report| matches!(r.1, Event::Answered);
        answers += reports.iter().filter(is_answer).count();
        for (to, vm) in vms.iter_mut().enumerate() {
            if to != from {
                reports.iter().for_each(|r| vm.record_report(at(ms), *r));
            }
        }
    }
    // Each is repeated in three heartbeats, as datagrams may be lost.
    assert!(answers <= 9, "{answers} reports of answers");
}
