//! What all stand-ins of one run share: the clock, the record of the run, and what broke a rule.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::store::Store;

/// State shared by the stand-ins, which all run on one thread.
pub struct World {
    started: Instant,
    record: RefCell<BufWriter<File>>,
    pub store: Store,
    pub engines: RefCell<Vec<Rc<Engine>>>,
    /// Whether a client has sent a request; loads take a tenth of their time before.
    pub has_traffic: Cell<bool>,
    violations: RefCell<Vec<String>>,
    /// Workers that have been ready, each with the name, the epoch and the member list of its group.
    pub ready: RefCell<BTreeSet<(String, String, u64, Vec<String>)>>,
}

impl World {
    pub fn new(record: &Path) -> Rc<Self> {
        let file = File::create(record).expect("the record can be written");
        Rc::new(Self {
            started: Instant::now(),
            record: RefCell::new(BufWriter::new(file)),
            store: Store::default(),
            engines: RefCell::default(),
            has_traffic: Cell::new(false),
            violations: RefCell::default(),
            ready: RefCell::default(),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut record = self.record.borrow_mut();
        let _ = writeln!(record, "{at:8.3} {text}");
    }

    /// Records that a rule was broken.
    pub fn violate(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.violations.borrow_mut().push(text);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    pub fn flush(&self) {
        let _ = self.record.borrow_mut().flush();
    }

    pub fn engine(&self, id: &str) -> Option<Rc<Engine>> {
        let engines = self.engines.borrow();
        engines.iter().find(|e| e.id == id).cloned()
    }
}
