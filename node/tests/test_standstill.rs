//! A daemon that is not run for a while. What arrived meanwhile is read before others are judged by
//! what the daemon missed.

use std::thread;
use std::time::Duration;

use crate::cluster::{Cluster, check_runs};

/// Time for which the daemon is stopped, and for which it runs in between.
const STANDSTILL: Duration = Duration::from_millis(1_200);
const RUN: Duration = Duration::from_millis(900);
const TIMES: u32 = 4;

/// It took all peers and the store for lost each time, and so went on as in an outage of all.
#[test]
fn vm_that_stood_still_takes_neither_peers_nor_the_store_for_lost() {
    let cluster = Cluster::spawn();
    let tries = thread::scope(|scope| {
        let callers = scope.spawn(|| cluster.send_for("beside", RUN + (STANDSTILL + RUN) * TIMES));
        thread::sleep(RUN);
        for _ in 0..TIMES {
            cluster.nodes[0].signal("STOP");
            thread::sleep(STANDSTILL);
            cluster.nodes[0].signal("CONT");
            thread::sleep(RUN);
        }
        callers.join().expect("the callers end")
    });
    let node = &cluster.nodes[0];
    let stood_still = node.log_lines("event=stood_still").len();
    assert_eq!(stood_still, TIMES as usize, "the stops were felt");
    let kinds = [
        "event=peer_lost",
        "event=store_lost",
        "event=outage",
        "event=path state=",
        "event=path_probe",
        "answered=false",
    ];
    let judged: Vec<_> = kinds.iter().flat_map(|k| node.log_lines(k)).collect();
    assert!(judged.is_empty(), "{judged:#?}");
    check_runs(&cluster, &tries);
}

/// Each time that it ran, it gave up the streams whose events had arrived meanwhile.
#[test]
fn vm_that_runs_a_tenth_of_the_time_gives_up_no_stream_as_silent() {
    let cluster = Cluster::spawn();
    let tries = thread::scope(|scope| {
        let callers = scope.spawn(|| cluster.send_for("beside", Duration::from_secs(6)));
        thread::sleep(RUN);
        for _ in 0..10 {
            cluster.nodes[0].signal("STOP");
            thread::sleep(Duration::from_millis(450));
            cluster.nodes[0].signal("CONT");
            thread::sleep(Duration::from_millis(50));
        }
        callers.join().expect("the callers end")
    });
    let silent = cluster.nodes[0].log_lines("event=silent");
    let stuck = cluster.nodes[0].log_lines("cause=stuck");
    assert!(
        silent.is_empty() && stuck.is_empty(),
        "{silent:#?} {stuck:#?}"
    );
    let failed = tries.iter().filter(|t| !t.is_served());
    let failed: Vec<_> = failed.map(|t| (&t.id, t.time, &t.response.head)).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    check_runs(&cluster, &tries);
}
