//! Daemons as processes: they apply a table and serve through faults without losing a request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use hemlock_cli::Exit;
use hemlock_lib::ids::{EntryId, VmId};
use hemlock_testutils::caller::{self as callers, CallEnd};
use hemlock_testutils::deployments::Deployment;
use hemlock_wire::http_client;
use rustix::process::Signal;
use uuid::Uuid;

use crate::daemons::{AGENT, Daemons, GATEWAY, PLANNER, wait};

const DEPLOYMENT: Deployment = Deployment::TallowCreek;
/// Tokens of a chat answer.
const TOKENS: u32 = 20;
/// Pause between two calls of a [`Caller`].
const CALL_PAUSE: Duration = Duration::from_millis(30);
/// Longer than the lease, the allowance for clock drift and the time for which other planners leave a free
/// lease to the preferred planner.
const PAST_LEASE_EXPIRY: Duration = Duration::from_millis(6_000);

/// Thread that calls one gateway until [`Caller::finish`] and counts how the calls ended.
struct Caller {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<BTreeMap<String, usize>>,
    /// Number of calls answered so far.
    answered: Arc<AtomicUsize>,
}

impl Caller {
    fn spawn(gateway: String, name: &'static str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let (stopped, count) = (Arc::clone(&stop), Arc::clone(&answered));
        let thread = std::thread::spawn(move || {
            http_client::block_on_new_thread(name, async move || {
                let mut ends = BTreeMap::new();
                let mut number = 0;
                while !stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let text = format!("{name} {number}");
                    let key = DEPLOYMENT.account_key("account-01");
                    let group = DEPLOYMENT.group();
                    let report = callers::stream_chat(&gateway, &key, group, &text, TOKENS).await;
                    if report.end == CallEnd::Answered {
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                    *ends.entry(format!("{:?}", report.end)).or_insert(0) += 1;
                    ntex::time::sleep(ntex::time::Millis(CALL_PAUSE.as_millis() as u32)).await;
                }
                ends
            })
        });
        Self {
            stop,
            thread,
            answered,
        }
    }

    /// Waits for `more` further answers.
    fn wait_answers(&self, more: usize) {
        let before = self.answered.load(Ordering::Relaxed);
        wait("the callers get answers", || {
            self.answered.load(Ordering::Relaxed) >= before + more
        });
    }

    /// Stops the thread and returns the number of calls by how they ended.
    fn finish(self) -> BTreeMap<String, usize> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

fn apply(daemons: &Daemons) -> (Exit, String) {
    let dir = daemons.write_table().display().to_string();
    let agent = daemons.agent(0);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = ["hemlock", "--agent", &agent, "apply", "--wait", &dir];
    let exit = hemlock_cli::run(args, &mut out, &mut err);
    (
        exit,
        String::from_utf8_lossy(&[out, err].concat()).into_owned(),
    )
}

fn call_service(gateway: String, id: Uuid, text: &'static str) -> CallEnd {
    http_client::block_on_new_thread("test-once", async move || {
        let key = DEPLOYMENT.account_key("account-01");
        callers::call_service(&gateway, &key, DEPLOYMENT.service(), id, text).await
    })
}

/// Returns the index of the entry VM whose planner holds the lease of the first shard, in the
/// view of the agent of entry VM `from`.
fn lease_holder(daemons: &Daemons, from: usize) -> Option<usize> {
    let view = daemons.view(from)?;
    let fleet = view.fleets.values().next()?;
    let holder: &EntryId = &fleet.lease.as_ref()?.holder;
    holder.as_str().rsplit('-').next()?.parse().ok()
}

/// Asserts that no VM belongs to two replicas in the view of the agent of entry VM `from`.
fn assert_no_vm_in_two_replicas(daemons: &Daemons, from: usize) {
    let Some(view) = daemons.view(from) else {
        return;
    };
    let mut seen: BTreeMap<VmId, String> = BTreeMap::new();
    for (id, assignment) in view.replicas() {
        for vm in assignment.vms.iter().chain(&assignment.reserve) {
            let other = seen.insert(vm.clone(), id.to_string());
            assert!(other.is_none(), "VM {vm} is in {id} and {other:?}");
        }
    }
}

/// Guards against requests that are lost or run twice while a planner and an agent are paused, a gateway is
/// killed and restarted, and an entry VM stops gracefully.
#[test]
fn processes_serve_through_faults() {
    let mut daemons = Daemons::spawn(DEPLOYMENT, 3);
    wait("all agents see each other", || {
        (0..3).all(|i| {
            daemons
                .view(i)
                .is_some_and(|v| v.entries.iter().filter(|e| e.live).count() == 3)
        })
    });
    let (exit, text) = apply(&daemons);
    assert_eq!(exit, Exit::Done, "{text}");
    assert_eq!(apply(&daemons).1.trim(), "no row differs");
    wait("all replicas serve", || daemons.serving_replicas(0) == 15);

    let caller = Caller::spawn(daemons.gateway(0), "first");
    caller.wait_answers(5);
    let id = Uuid::now_v7();
    assert_eq!(
        call_service(daemons.gateway(0), id, "claim 1"),
        CallEnd::Answered
    );
    // Code 1505, in progress: the other gateway may not have read the stored answer yet.
    wait(
        "another gateway gives the stored answer",
        || match call_service(daemons.gateway(1), id, "claim 1") {
            CallEnd::Answered => true,
            CallEnd::Refused(1505) => false,
            other => panic!("{other:?}"),
        },
    );
    assert_eq!(daemons.platform.services.run_counts()["claim 1"], 1);

    pause_planner(&daemons);
    caller.wait_answers(5);

    daemons.signal(1, AGENT, Signal::STOP);
    caller.wait_answers(20);
    daemons.signal(1, AGENT, Signal::CONT);
    wait("the paused agent is live again", || {
        daemons
            .view(0)
            .is_some_and(|v| v.entries.iter().all(|e| e.live))
    });

    daemons.signal(2, GATEWAY, Signal::KILL);
    daemons.wait_end(2, GATEWAY);
    caller.wait_answers(5);
    daemons.start(2, GATEWAY);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    wait("the new gateway answers", || {
        let end = call_service(daemons.gateway(2), Uuid::now_v7(), "claim 2");
        let count = ends.entry(format!("{end:?}")).or_default();
        *count += 1;
        // Printed for runs in which the wait times out; KNOWN-RED.txt lists one.
        if count.is_power_of_two() {
            eprintln!("the new gateway: {end:?} {count} times");
        }
        end == CallEnd::Answered
    });
    assert_eq!(daemons.platform.services.run_counts()["claim 2"], 1);

    let stopping_caller = Caller::spawn(daemons.gateway(1), "leaving");
    stopping_caller.wait_answers(3);
    for program in [PLANNER, GATEWAY, AGENT] {
        daemons.signal(1, program, Signal::TERM);
        assert!(
            daemons.wait_end(1, program),
            "{program} ended with an error"
        );
    }
    caller.wait_answers(5);
    let ends = stopping_caller.finish();
    let is_expected = |end: &String| end == "Answered" || end == "Refused(1305)" || end == "Lost";
    assert!(
        ends.keys().all(is_expected),
        "the graceful stop interrupted a request: {ends:?}"
    );
    let ends = caller.finish();
    assert_eq!(ends.keys().collect::<Vec<_>>(), ["Answered"], "{ends:?}");
}

/// Pauses a planner until its lease has expired: another planner must take over, and no VM may be in
/// two replicas once the paused planner continues.
fn pause_planner(daemons: &Daemons) {
    wait("a planner holds the lease", || {
        lease_holder(daemons, 0).is_some()
    });
    let paused = lease_holder(daemons, 0).unwrap();
    daemons.signal(paused, PLANNER, Signal::STOP);
    std::thread::sleep(PAST_LEASE_EXPIRY);
    wait("another planner takes the lease", || {
        lease_holder(daemons, 0) != Some(paused)
    });
    let victim = VmId::new(format!("{}-00", DEPLOYMENT.domains()[1]));
    daemons.platform.engines.kill(&victim);
    daemons.signal(paused, PLANNER, Signal::CONT);
    wait("the replica stops serving", || {
        daemons.serving_replicas(0) < 15
    });
    daemons.platform.engines.revive(&victim);
    wait("the replica is formed again", || {
        assert_no_vm_in_two_replicas(daemons, 0);
        daemons.serving_replicas(0) == 15
    });
}
