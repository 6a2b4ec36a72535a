//! The scripts of the cases.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hemlock_wire::http1::Conn;
use serde_json::{Value, json};
use tokio::task::spawn_local;

use crate::engine::{Engine, GROUP_SIZE, HEARTBEAT, Held, LOAD_TIME, MODEL, SERVICE};
use crate::store::{self, OPERATOR, SERVERS};
use crate::vm::Vm;
use crate::world::World;

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time within which all groups must have formed at the start.
const START_LIMIT: Duration = Duration::from_secs(25);
/// Time for which a planner must have held its lease; it checks all engines in the first 15 s.
const TERM_TIME: Duration = Duration::from_secs(17);
const STEP: Duration = Duration::from_millis(10);

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [{"name": "r-1", "host": HOST, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 6000,
            "latencyGoalMs": 300, "gapTargetMs": 200, "priority": 1, "service": SERVICE, "maxAttempts": 2,
            "public": false, "sticky": true, "resumable": true}],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 358, "protocol": "h1", "tls": false,
            "engine": {"slots": 17, "kvCapacity": 1_860_000, "stride": 5,
                "models": [{"name": MODEL, "size": GROUP_SIZE, "share": 1.0, "pace": 0.6,
                    "loadS": LOAD_TIME.as_secs_f64(), "warmupS": 1.1}],
                "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45_900.0,
                "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.0,
                "loads_at_once": 7, "retainCount": 1, "far_x": 3.0, "formMs": 300.0}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    })
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    sent: Cell<usize>,
    answers: RefCell<BTreeMap<String, usize>>,
}

/// One run: the stand-ins and the entry VMs.
struct Run {
    world: Rc<World>,
    vms: Vec<Vm>,
    seen: Rc<Seen>,
}

/// Runs a scenario and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run.
pub async fn run(name: String, folder: PathBuf, has_trouble: bool) -> u8 {
    let world = World::new(&folder.join("record.txt"));
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let result = match std::fs::create_dir_all(&dir) {
        Ok(()) => play(&name, world.clone(), &dir, has_trouble).await,
        Err(e) => Err(e.to_string()),
    };
    let _ = std::fs::remove_dir_all(&dir);
    let violations = world.violations();
    let status = match result {
        Err(cause) => {
            world.note(&format!("the case could not run: {cause}"));
            println!("{name}: could not run: {cause}");
            2
        }
        Ok(()) if violations.is_empty() => {
            println!("{name} (TROUBLE={}): the rule held", u8::from(has_trouble));
            0
        }
        Ok(()) => {
            println!(
                "{name} (TROUBLE={}): broken {} times",
                u8::from(has_trouble),
                violations.len()
            );
            for violation in violations {
                println!("  {violation}");
            }
            1
        }
    };
    world.note(&format!("exit status {status}"));
    world.flush();
    status
}

async fn play(name: &str, world: Rc<World>, dir: &Path, has_trouble: bool) -> Result<(), String> {
    match name {
        "late-entry" => late_entry(Run::start(world, dir, 3, 3, 9).await?, has_trouble).await,
        "odd-entry" => odd_entry(Run::start(world, dir, 3, 2, 9).await?, has_trouble).await,
        "frozen-planner" => {
            frozen_planner(Run::start(world, dir, 2, 1, 5).await?, has_trouble).await
        }
        "store-outage" => store_outage(Run::start(world, dir, 2, 2, 8).await?, has_trouble).await,
        _ => Err(format!("there is no scenario {name}")),
    }
}

impl Run {
    /// Starts the store, `engines` workers in each domain and the entry VMs, and waits until all groups
    /// that can be formed serve. Then the clients come.
    async fn start(
        world: Rc<World>,
        dir: &Path,
        vms: usize,
        domains: usize,
        engines: usize,
    ) -> Result<Self, String> {
        let (listener, address) = crate::listen();
        let served = world.clone();
        spawn_local(crate::accept(listener, move |conn| {
            store::serve(served.clone(), conn)
        }));
        world
            .store
            .append(OPERATOR, "config", config().to_string().as_bytes());
        for domain in 0..domains {
            for number in 0..engines {
                Engine::spawn(
                    &world,
                    &format!("i-d{domain}-{number}"),
                    &format!("d{domain}"),
                );
            }
        }
        let checked = world.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let engines = checked.engines.borrow().clone();
                engines.iter().for_each(|e| e.check_members(&checked));
                checked.store.expire(&checked);
            }
        });
        let mut running = Vec::new();
        for number in 1..=vms {
            let vm = Vm::spawn(number, address, dir)
                .map_err(|e| format!("the daemon does not start: {e}"))?;
            world.note(&format!("{} starts, front {}", vm.name, vm.front));
            running.push(vm);
        }
        let run = Self {
            world,
            vms: running,
            seen: Rc::default(),
        };
        let groups = domains * (engines / GROUP_SIZE);
        run.wait(START_LIMIT, "all groups serve", |r| {
            r.open_heads() >= groups
        })
        .await?;
        for vm in &run.vms {
            let since = Instant::now();
            while !vm.is_ready().await {
                if since.elapsed() > START_LIMIT {
                    return Err(format!("{} is not ready", vm.name));
                }
                tokio::time::sleep(STEP).await;
            }
        }
        run.world.note("all groups serve, and the clients come");
        run.world.has_traffic.set(true);
        for (index, vm) in run.vms.iter().enumerate() {
            for client in 0..8 {
                spawn_local(client_loop(
                    run.world.clone(),
                    run.seen.clone(),
                    vm.front,
                    format!("c{index}{client}"),
                ));
            }
        }
        tokio::time::sleep(TERM_TIME).await;
        Ok(run)
    }

    fn open_heads(&self) -> usize {
        self.world
            .engines
            .borrow()
            .iter()
            .filter(|e| e.is_open_head())
            .count()
    }

    async fn wait(
        &self,
        limit: Duration,
        what: &str,
        is_met: impl Fn(&Self) -> bool,
    ) -> Result<(), String> {
        let since = Instant::now();
        while !is_met(self) {
            if since.elapsed() > limit {
                return Err(format!("not reached in {} s: {what}", limit.as_secs()));
            }
            tokio::time::sleep(STEP).await;
        }
        Ok(())
    }

    /// Returns the engines of a domain that have weights and no group.
    fn free(&self, domain: &str) -> Vec<Rc<Engine>> {
        let engines = self.world.engines.borrow();
        engines
            .iter()
            .filter(|e| e.domain == domain && e.is_free())
            .cloned()
            .collect()
    }

    /// Returns the index of the VM that holds the planner's partition.
    fn planner(&self) -> Option<usize> {
        let holder = self.world.store.holder()?;
        self.vms
            .iter()
            .position(|vm| holder.starts_with(&format!("{}-", vm.name)))
    }

    /// Writes what the clients saw, and the log lines of the VMs on orders and leases.
    fn end(&self) -> Result<(), String> {
        self.world.note(&format!(
            "clients sent {} requests; answers: {:?}",
            self.seen.sent.get(),
            self.seen.answers.borrow()
        ));
        for vm in &self.vms {
            let text = std::fs::read_to_string(&vm.log).unwrap_or_default();
            let lines = text.lines().filter(|l| {
                let kinds = [
                    "event=duty",
                    "event=order ",
                    "event=outage",
                    "event=stopped",
                ];
                kinds.iter().any(|k| l.contains(k))
            });
            for line in lines {
                self.world.note(&format!("log of {}: {line}", vm.name));
            }
        }
        Ok(())
    }
}

/// Sends one request after the other to an entry VM, each on a new connection.
async fn client_loop(world: Rc<World>, seen: Rc<Seen>, front: std::net::SocketAddr, name: String) {
    for number in 0.. {
        let id = format!("{name}-{number}");
        seen.sent.set(seen.sent.get() + 1);
        world.note(&format!("client sends {id} to {front}"));
        let answer =
            match tokio::time::timeout(Duration::from_millis(6_500), request(front, &id)).await {
                Ok(answer) => answer,
                Err(_) => "none in 6.5 s".to_owned(),
            };
        world.note(&format!("client got for {id}: {answer}"));
        *seen.answers.borrow_mut().entry(answer).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

async fn request(front: std::net::SocketAddr, id: &str) -> String {
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)).await else {
        return "no connection".to_owned();
    };
    let text = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {MODEL}\r\n\
         Token-Count: 700,150\r\nPrompt-Prefix: 5c1e07a2:40,{:x}:660\r\nDeadline-Ms: 6000\r\n\
         Api-Key: {KEY}\r\nContent-Length: 6\r\n\r\nprompt",
        id.bytes()
            .fold(7_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)))
    );
    if conn.write(text.as_bytes()).await.is_err() {
        return "broken connection".to_owned();
    }
    let Ok(mut head) = conn.read_response_head(32 << 10).await else {
        return "no answer".to_owned();
    };
    let is_signed = head.headers.get("server-stamp").is_some();
    loop {
        match conn.read_body_piece(&mut head.body_framing).await {
            Ok(Some(_)) => {}
            Ok(None) => {
                return format!(
                    "{} {}",
                    head.status,
                    if is_signed { "whole" } else { "own" }
                );
            }
            Err(_) => return format!("{} cut", head.status),
        }
    }
}

/// Workers are partitioned from the store for 1.6 s while groups form; their entries of before arrive
/// seconds later.
async fn late_entry(run: Run, has_trouble: bool) -> Result<(), String> {
    for wave in 0..2 {
        let mut added = Vec::new();
        for domain in ["d0", "d1", "d2"] {
            let first = Engine::spawn(&run.world, &format!("i-{domain}-w{wave}a"), domain);
            added.push((domain, first));
        }
        run.world.note(&format!(
            "scale_out: 3 workers, and 3 more 2 s later (wave {wave})"
        ));
        tokio::time::sleep(Duration::from_secs(2)).await;
        for domain in ["d0", "d1", "d2"] {
            Engine::spawn(&run.world, &format!("i-{domain}-w{wave}b"), domain);
        }
        let is_loading = |(_, e): &(&str, Rc<Engine>)| e.state.borrow().staging.is_some();
        run.wait(Duration::from_secs(8), "the new workers load", |_| {
            added.iter().all(is_loading)
        })
        .await?;
        let mut tasks = Vec::new();
        for (domain, engine) in &added {
            let begun = engine.state.borrow().staging.as_ref().map(|(_, at)| *at);
            let loaded = begun.ok_or("no load")? + LOAD_TIME;
            let Some(spare) = run.free(domain).first().cloned() else {
                run.world.note(&format!("no spare worker in {domain}"));
                continue;
            };
            let world = run.world.clone();
            tasks.push(spawn_local(async move {
                let from = loaded - Duration::from_millis(1_250);
                tokio::time::sleep_until(from.into()).await;
                if !has_trouble {
                    return;
                }
                world.note(&format!(
                    "srv_cut: {} is partitioned from the store for 1.6 s",
                    spare.id
                ));
                let until = Instant::now() + Duration::from_millis(1_600);
                spare.state.borrow_mut().cut =
                    Some((Instant::now(), until, Held::Late(1_000, 6_000)));
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        tokio::time::sleep(Duration::from_secs(11)).await;
    }
    run.end()
}

/// Another writer puts entries under the ids of workers in groups, with a group state that is named
/// nowhere, or with fields missing.
async fn odd_entry(run: Run, has_trouble: bool) -> Result<(), String> {
    for domain in ["d0", "d1"] {
        let member = {
            let engines = run.world.engines.borrow();
            let mut members = engines.iter().filter(|e| {
                let state = e.state.borrow();
                e.domain == domain
                    && state
                        .group
                        .as_ref()
                        .is_some_and(|g| g.rank == 1 && g.state == "ready")
            });
            members
                .next()
                .cloned()
                .ok_or("no group has a second member")?
        };
        let mut entry = member.describe();
        if domain == "d0" {
            entry["group"]["state"] = json!("resting");
        } else if let Some(fields) = entry.as_object_mut() {
            fields.remove("group");
            fields.remove("born");
        }
        if has_trouble {
            run.world.note(&format!(
                "another writer puts servers/{}: {entry}",
                member.id
            ));
            run.world
                .store
                .append(SERVERS, &member.id, entry.to_string().as_bytes());
        }
        tokio::time::sleep(HEARTBEAT * 3).await;
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    run.end()
}

/// The planner freezes for 4 s after it has given up a group. Its successor opens that group and is
/// stopped; the first planner wakes and gets the lease again. Twice, with workers that are added.
async fn frozen_planner(mut run: Run, has_trouble: bool) -> Result<(), String> {
    let mut spare = run.free("d0").first().cloned().ok_or("no spare worker")?;
    for round in 0..2 {
        let first = run.planner().ok_or("no planner")?;
        let second = 1 - first;
        let added = Engine::spawn(&run.world, &format!("i-d0-w{round}"), "d0");
        run.world.note(&format!(
            "scale_out: 1 worker; {} is the planner, {} is free",
            run.vms[first].name, spare.id
        ));
        let is_loading = |_: &Run| added.state.borrow().staging.is_some();
        run.wait(Duration::from_secs(8), "the new worker loads", is_loading)
            .await?;
        let begun = added.state.borrow().staging.as_ref().map(|(_, at)| *at);
        let loaded = begun.ok_or("no load")? + LOAD_TIME;
        let at = |ms: i64| match ms {
            0.. => loaded + Duration::from_millis(ms as u64),
            _ => loaded - Duration::from_millis(ms.unsigned_abs()),
        };
        tokio::time::sleep_until(at(-2_000).into()).await;
        if has_trouble {
            run.world.note(&format!(
                "srv_cut: {} is partitioned from the store for 5 s",
                spare.id
            ));
            spare.state.borrow_mut().cut = Some((Instant::now(), at(3_000), Held::Lost));
        }
        tokio::time::sleep_until(at(1_900).into()).await;
        if has_trouble {
            run.world
                .note(&format!("node_freeze: {} for 4 s", run.vms[first].name));
            run.vms[first].signal("STOP");
        }
        // The successor is stopped once it has opened the group.
        let is_open = || [&spare, &added].iter().any(|e| e.is_open_head());
        while !is_open() && Instant::now() < at(4_600) {
            tokio::time::sleep(STEP).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        run.world.note(&format!(
            "the group of {} and {} serves: {}",
            spare.id,
            added.id,
            is_open()
        ));
        run.world
            .note(&format!("roll_term: {} gets SIGTERM", run.vms[second].name));
        run.vms[second].signal("TERM");
        tokio::time::sleep_until(at(5_900).into()).await;
        if has_trouble {
            run.world.note(&format!("{} wakes", run.vms[first].name));
            run.vms[first].signal("CONT");
        }
        // A worker that is spare in the next round.
        spare = Engine::spawn(&run.world, &format!("i-d0-s{round}"), "d0");
        let since = Instant::now();
        while !run.vms[second].has_ended() && since.elapsed() < Duration::from_secs(9) {
            tokio::time::sleep(STEP).await;
        }
        run.vms[second].restart().map_err(|e| e.to_string())?;
        run.world
            .note(&format!("{} starts again", run.vms[second].name));
        if round == 0 {
            run.wait(Duration::from_secs(20), "the spare worker is free", |_| {
                spare.is_free()
            })
            .await?;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    run.end()
}

/// Two workers crash, and the store is down from the moment at which the rest of their groups is ordered
/// into a new one. Later another worker restarts under its id.
async fn store_outage(run: Run, has_trouble: bool) -> Result<(), String> {
    // A spare worker that has been in no group, and whose id precedes those of the others.
    let spare = Engine::spawn(&run.world, "i-d0--", "d0");
    run.wait(Duration::from_secs(20), "the added worker is free", |_| {
        spare.is_free()
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let members: Vec<Rc<Engine>> = {
        let engines = run.world.engines.borrow();
        let is_second = |e: &&Rc<Engine>| {
            let state = e.state.borrow();
            e.domain == "d0" && state.group.as_ref().is_some_and(|g| g.rank == 1)
        };
        engines.iter().filter(is_second).take(2).cloned().collect()
    };
    let heads: Vec<Rc<Engine>> = members
        .iter()
        .filter_map(|m| {
            let state = m.state.borrow();
            run.world.engine(&state.group.as_ref()?.members[0])
        })
        .collect();
    members.iter().for_each(|m| m.crash(&run.world));
    // The store is down before it has the entries of the group that the two heads form now.
    let is_ordered = || {
        let mut states = heads.iter().map(|h| h.state.borrow());
        states.any(|s| s.group.as_ref().is_some_and(|g| g.state == "joining"))
    };
    let since = Instant::now();
    while !is_ordered() {
        if since.elapsed() > Duration::from_secs(6) {
            return Err("the heads are in no new group".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    if has_trouble {
        run.world
            .note("platform_down: the store answers nothing for 5 s");
        run.world.store.set_silent(true);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    if has_trouble {
        run.world.store.set_silent(false);
        run.world.note("the store answers again");
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let head = heads.iter().find(|h| h.is_open_head()).cloned();
    if let Some(head) = head {
        head.crash(&run.world);
        tokio::time::sleep(Duration::from_millis(300)).await;
        head.restart(&run.world);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    run.end()
}
