//! Time to encode, decode, copy and compare views and to fold a change, by size of the deployment.

use std::hint::black_box;
use std::time::Instant;

use hemlock_lib::codec;
use hemlock_lib::delta::Delta;
use hemlock_lib::ids::{Nonce, Offset};
use hemlock_lib::table::{ConfigRecord, Edit, RowKey, Table};
use hemlock_lib::view::{Health, View};

use super::Experiment;
use super::state::{SIZES, view};
use crate::figure::{Figure, Options};

/// Calls whose time is averaged, after one call that is not measured.
const TIMED_CALLS: u32 = 20;

/// The experiment.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: "state-time",
    about: "Processor time to encode, decode, copy and compare views, and to fold a change",
    timed: true,
    run,
};

fn run(_: &Options) -> Vec<Figure> {
    SIZES
        .iter()
        .flat_map(|(entries, vms, shards)| measure(*entries, *vms, *shards))
        .collect()
}

fn measure(entries: usize, vms: usize, shards: usize) -> Vec<Figure> {
    let old = view(entries, vms, shards);
    let mut new = old.clone();
    new.version += 1;
    if let Some(status) = new.vms.values_mut().next() {
        status.health = Health::Lost;
    }
    let bytes = codec::encode(&old);
    let delta = Delta::between(&old, &new, 0);
    let table = &old.table;
    let mut folded = table.clone();
    let mut offset = 0;
    let figure =
        |quantity: &str, micros| Figure::new(format!("state-time.{quantity}.{vms}"), micros, "us");
    vec![
        figure("encode", micros(|| drop(black_box(codec::encode(&old))))),
        figure(
            "decode",
            micros(|| drop(black_box(codec::decode::<View>(&bytes)))),
        ),
        figure("copy", micros(|| drop(black_box(old.clone())))),
        figure(
            "compare",
            micros(|| drop(black_box(Delta::between(&old, &new, 0)))),
        ),
        figure(
            "apply",
            micros(|| {
                let mut view = old.clone();
                black_box(delta.clone().apply(&mut view));
            }),
        ),
        figure(
            "fold_edit",
            micros(|| {
                offset += 1;
                fold_edit(&mut folded, offset);
            }),
        ),
    ]
}

fn fold_edit(table: &mut Table, offset: u64) {
    let key = RowKey::Account("account-001".into());
    let entry = table.entry(&key).cloned();
    let record = ConfigRecord {
        nonce: Nonce(offset),
        author: "operator".to_owned(),
        at_ms: 0,
        edits: vec![Edit {
            key,
            base: entry.as_ref().map(|e| e.version),
            row: entry.and_then(|e| e.row),
        }],
    };
    let bytes = codec::encode(&record);
    let record = codec::decode(&bytes).expect("a record that was just encoded is decodable");
    table
        .fold(Offset(offset), &record)
        .expect("the base is the current version");
}

/// Returns the mean time of one call in microseconds.
fn micros(mut call: impl FnMut()) -> f64 {
    call();
    let start = Instant::now();
    for _ in 0..TIMED_CALLS {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_CALLS)
}
