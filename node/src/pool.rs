//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hemlock_lib::time::Time;
use hemlock_wire::http1::Conn;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE: usize = 12;
/// Time for which an idle connection is kept if the endpoint announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before the end of the keep-alive time from which a connection is not used any more, so that
/// no request is sent while the endpoint closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    expires: Time,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConn>>>,
}

impl Pool {
    /// Takes out the most recently used connection to an endpoint that is still open and has
    /// received nothing.
    pub(crate) fn take(&self, now: Time, endpoint: &str) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(endpoint)?;
        while let Some(mut last) = conns.pop() {
            if last.expires > now && last.conn.is_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Returns the endpoints to which there is an idle connection.
    pub(crate) fn connected_endpoints(&self, now: Time) -> BTreeSet<Arc<str>> {
        let idle = self.idle.borrow();
        let open = idle
            .iter()
            .filter(|(_, c)| c.iter().any(|c| c.expires > now));
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Adds a connection after a complete response, for the endpoint's keep-alive time if it
    /// announced one.
    ///
    /// The connection is closed instead if it has received more bytes, its time is too short, or
    /// the endpoint has [`MAX_IDLE`] idle connections already.
    pub(crate) fn put(
        &self,
        now: Time,
        endpoint: &Arc<str>,
        conn: Conn,
        keep_alive: Option<Duration>,
    ) {
        if conn.has_buffered_bytes() {
            return;
        }
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(CLOSE_MARGIN);
        if keep_alive.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(endpoint.clone()).or_default();
        if conns.len() < MAX_IDLE {
            let expires = now + keep_alive;
            conns.push(IdleConn { conn, expires });
        }
    }

    /// Returns whether there is an idle connection to any endpoint.
    pub(crate) fn has_idle(&self, now: Time) -> bool {
        let idle = self.idle.borrow();
        idle.values().flatten().any(|c| c.expires > now)
    }

    /// Removes the connections that were closed or broken before their keep-alive time was over;
    /// returns the endpoints of which none is left.
    pub(crate) fn remove_closed(&self, now: Time) -> Vec<Arc<str>> {
        let mut idle = self.idle.borrow_mut();
        let mut lost = Vec::new();
        for (id, conns) in idle.iter_mut() {
            conns.retain(|c| c.expires > now);
            let had_conns = !conns.is_empty();
            conns.retain_mut(|c| c.conn.is_idle());
            if had_conns && conns.is_empty() {
                lost.push(id.clone());
            }
        }
        idle.retain(|_, conns| !conns.is_empty());
        lost
    }

    /// Closes the connections to an endpoint that accepts no more requests.
    pub(crate) fn drop_endpoint(&self, endpoint: &str) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes the connections whose keep-alive time is over, and those that were closed or have
    /// received bytes, which belong to no request.
    pub(crate) fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain_mut(|c| c.expires > now && c.conn.is_idle());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }
}
