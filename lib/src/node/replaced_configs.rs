//! Configurations that were replaced lately. A request is handled by the configuration that was in
//! force when it arrived, also by a peer that gets it later.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::config::Config;
use crate::time::Time;

/// Time for which a configuration is kept once it was replaced; longer than nearly all requests take.
const RETENTION: Duration = Duration::from_secs(30);
/// Upper bound on the configurations that are kept, whose memory grows with their routes.
const MAX_KEPT: usize = 64;

/// The configurations that were replaced lately, with the times of that, oldest first.
#[derive(Debug, Default)]
pub struct ReplacedConfigs {
    kept: VecDeque<(Time, Rc<Config>)>,
}

impl ReplacedConfigs {
    /// Records that a configuration was replaced.
    pub fn record(&mut self, now: Time, config: Rc<Config>) {
        self.kept.push_back((now, config));
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
        }
    }

    /// Frees the configurations that are no longer needed.
    pub fn expire(&mut self, now: Time) {
        let is_old = |(replaced, _): &mut (Time, Rc<Config>)| now.since(*replaced) >= RETENTION;
        while self.kept.pop_front_if(is_old).is_some() {}
    }

    /// Returns the configuration for a request that arrived at `arrival` at a peer, which had accepted
    /// it by the configuration `version`: the one that was in force here, unless that is older. `None`
    /// if it is still in force.
    pub fn at(&self, arrival: Time, version: u64) -> Option<&Rc<Config>> {
        let mut later = self.kept.iter().filter(|(replaced, _)| *replaced > arrival);
        later.find_map(|(_, config)| (config.version >= version).then_some(config))
    }
}
