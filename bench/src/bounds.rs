//! Bounds that figures must keep, read from `bench/bounds.yaml`.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::figure::Figure;

const BUILT_IN: &str = include_str!("../bounds.yaml");

/// Bound of one figure.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Largest value allowed.
    pub max: Option<f64>,
    /// Smallest value allowed.
    pub min: Option<f64>,
    /// The page that states the bound.
    pub source: String,
}

/// Bounds by the name of their figure.
#[derive(Debug, Clone, Default)]
pub struct Bounds {
    bounds: BTreeMap<String, Bound>,
}

impl Bounds {
    /// Returns the bounds of the repository.
    ///
    /// # Panics
    ///
    /// Panics if `bounds.yaml` is malformed, which a test refuses.
    pub fn built_in() -> Self {
        Self::parse(BUILT_IN).expect("bounds.yaml is checked by a test")
    }

    /// Parses bounds.
    pub fn parse(text: &str) -> Result<Self, serde_yaml_ng::Error> {
        let bounds: Option<BTreeMap<String, Bound>> = serde_yaml_ng::from_str(text)?;
        Ok(Self {
            bounds: bounds.unwrap_or_default(),
        })
    }

    /// Returns one line for each figure that breaks its bound.
    pub fn broken(&self, figures: &[Figure]) -> Vec<String> {
        let line = |f: &Figure| {
            let bound = self.bounds.get(&f.name)?;
            let high = bound
                .max
                .is_some_and(|max| f.value > max || f.value.is_nan());
            let low = bound
                .min
                .is_some_and(|min| f.value < min || f.value.is_nan());
            let allowed = format!("min {:?}, max {:?}", bound.min, bound.max);
            (high || low)
                .then(|| format!("{} is {} ({allowed}; {})", f.name, f.value, bound.source))
        };
        figures.iter().filter_map(line).collect()
    }

    /// Lists the figures that have a bound.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.bounds.keys().map(String::as_str)
    }
}
