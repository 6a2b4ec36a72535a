//! Orders to engines, and when a join may be sent.

use std::sync::Arc;

use crate::node::endpoints::{EntryVersion, Membership};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Become a member of a group.
    Join {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the member list.
        epoch: u64,
        /// Model to load.
        model: Arc<str>,
        /// Members by rank.
        members: Vec<Arc<str>>,
    },
    /// Take requests, as the head of a group.
    Open {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the member list.
        epoch: u64,
    },
    /// Finish the requests of the group and take no new ones, as its head.
    Close {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the member list.
        epoch: u64,
    },
    /// Give up the membership in a group.
    Leave {
        /// Name of the group.
        group: Arc<str>,
        /// Epoch of the member list.
        epoch: u64,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// Name of the model.
        model: Arc<str>,
    },
}

impl Action {
    /// Returns the name of the order in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the epoch of the order's group, if it is about one.
    pub fn epoch(&self) -> Option<u64> {
        match self {
            Self::Join { epoch, .. }
            | Self::Open { epoch, .. }
            | Self::Close { epoch, .. }
            | Self::Leave { epoch, .. } => Some(*epoch),
            Self::Stage { .. } => None,
        }
    }

    /// Returns the group of the order, or the model to stage.
    pub fn subject(&self) -> &str {
        match self {
            Self::Join { group, .. }
            | Self::Open { group, .. }
            | Self::Close { group, .. }
            | Self::Leave { group, .. } => group,
            Self::Stage { model } => model,
        }
    }
}

/// An order, and what it was decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Identifier of the engine.
    pub endpoint: Arc<str>,
    /// Address of the engine as host and port.
    pub address: String,
    /// Fencing token of the planner's term.
    pub fence: u64,
    /// The action to take.
    pub action: Action,
    /// The group that the engine may be in when it joins another one. Present for each join: the engine is
    /// asked before, and the order names the answer as its precondition.
    pub expected: Option<ExpectedGroup>,
    /// The entry that the order was decided on, for the log.
    pub entry: EntryVersion,
}

/// A request of the planner to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an order to an engine.
    Order(Order),
    /// Query an engine for its report, to see whether it is alive.
    Probe {
        /// Identifier of the engine.
        endpoint: Arc<str>,
        /// Address of the engine as host and port.
        address: String,
    },
}

/// The groups that an engine may be in when it is ordered to join another one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpectedGroup {
    /// Name and epoch of the group that the engine may leave by joining; `None` if it must be in no group.
    pub current: Option<(Arc<str>, u64)>,
    /// The last group that the engine has left by its own answer to an order. Its report may still name that.
    pub left: Option<(Arc<str>, u64)>,
}

impl ExpectedGroup {
    /// Decides from an engine's own report whether a join of `group` may be sent to it, and returns the number
    /// of orders that the engine must have begun until then.
    ///
    /// The endpoint list only says which engines are worth an order: it may be seconds old, and an entry of
    /// it may be late. An engine leaves a group for another one on nothing but its own word, given for this
    /// order. `orders` is the number of orders in its report. As the precondition of the join, it has the engine
    /// refuse the join if another order came between.
    ///
    /// # Errors
    ///
    /// Returns the reply to assume if the order must not be sent.
    pub fn check(
        &self,
        membership: Option<&Membership>,
        orders: u64,
        group: &str,
        epoch: u64,
    ) -> Result<u64, Reply> {
        let current = membership.map(|m| (&*m.group, m.epoch));
        let is_in = |known: &Option<(Arc<str>, u64)>| {
            let known = known.as_ref().map(|(group, epoch)| (&**group, *epoch));
            known.is_some() && current == known
        };
        // The engine itself knows whether a join of its group names other members.
        let is_same = current == Some((group, epoch));
        match current {
            None => Ok(orders),
            Some(_) if is_same || is_in(&self.current) => Ok(orders),
            // The report is older than the order to leave, which counts as one.
            Some(_) if is_in(&self.left) => Ok(orders + 1),
            Some(_) => Err(Reply::Conflict),
        }
    }
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The engine has begun to carry out the order.
    Begun,
    /// The order is carried out, or its result held already.
    Done,
    /// The order does not fit the engine's state.
    Conflict,
    /// The engine knows a higher fencing token or a later epoch.
    Outdated,
    /// Another engine has the address.
    Elsewhere,
    /// No reply arrived; the order may still be carried out.
    Lost,
}
