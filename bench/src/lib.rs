//! Experiments on the decisions of hemlocklb. All are seeded. Those that count events run in virtual
//! time; those that measure wall time compare values of one run, since absolute times depend on the
//! machine.

pub mod bounds;
pub mod endpoint_set;
pub mod experiments;
pub mod figure;
pub mod planner_simulation;
