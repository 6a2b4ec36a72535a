//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::time::Time;
use hemlock_wire::http1::Conn;

/// Idle connections kept for one endpoint.
const IDLE: usize = 12;
/// Time that an idle connection is kept if the endpoint names none.
const KEEP: Duration = Duration::from_secs(4);
/// Time before the endpoint's own limit at which a connection is given up, so that no request
/// crosses its close.
const MARGIN: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Time,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last, if one is open and silent.
    pub(crate) fn take(&self, now: Time, endpoint: &str) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(endpoint)?;
        while let Some(mut last) = conns.pop() {
            if last.until > now && last.conn.is_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Returns the endpoints to which a connection is open.
    pub(crate) fn warm(&self, now: Time) -> BTreeSet<Arc<str>> {
        let idle = self.idle.borrow();
        let open = idle.iter().filter(|(_, c)| c.iter().any(|c| c.until > now));
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn put(&self, now: Time, endpoint: &Arc<str>, conn: Conn, keep: Option<Duration>) {
        if conn.has_buffered_bytes() {
            return;
        }
        let keep = keep.unwrap_or(KEEP).saturating_sub(MARGIN);
        if keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(endpoint.clone()).or_default();
        if conns.len() < IDLE {
            let until = now + keep;
            conns.push(Idle { conn, until });
        }
    }

    /// Closes the connections to an endpoint that takes no requests any more.
    pub(crate) fn drop_endpoint(&self, endpoint: &str) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes the connections whose time is over.
    pub(crate) fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain(|c| c.until > now);
        }
        idle.retain(|_, conns| !conns.is_empty());
    }
}
