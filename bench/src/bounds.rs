//! Bounds of the figures, from `bench/bounds.yaml`.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::figure::Figure;

const BUILT_IN: &str = include_str!("../bounds.yaml");

/// Allowed range of one figure, inclusive.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Largest value allowed.
    pub max: Option<f64>,
    /// Smallest value allowed.
    pub min: Option<f64>,
    /// Document that states the bound.
    pub source: String,
}

/// Bounds by name of the figure.
#[derive(Debug, Clone, Default)]
pub struct Bounds {
    bounds: BTreeMap<String, Bound>,
}

impl Bounds {
    /// Returns the bounds of `bench/bounds.yaml` at build time.
    ///
    /// # Panics
    ///
    /// Panics if `bounds.yaml` is malformed, which a test rules out.
    pub fn built_in() -> Self {
        Self::parse(BUILT_IN).expect("bounds.yaml is checked by a test")
    }

    /// Parses bounds from YAML.
    ///
    /// Fails if the text is no map of bounds or has unknown fields.
    pub fn parse(text: &str) -> Result<Self, serde_yaml_ng::Error> {
        let bounds: Option<BTreeMap<String, Bound>> = serde_yaml_ng::from_str(text)?;
        Ok(Self {
            bounds: bounds.unwrap_or_default(),
        })
    }

    /// Returns one line for each figure that is outside its bound or is not a number.
    pub fn violations(&self, figures: &[Figure]) -> Vec<String> {
        let line = |f: &Figure| {
            let bound = self.bounds.get(&f.name)?;
            let too_high = bound
                .max
                .is_some_and(|max| f.value > max || f.value.is_nan());
            let too_low = bound
                .min
                .is_some_and(|min| f.value < min || f.value.is_nan());
            let allowed = format!("min {:?}, max {:?}", bound.min, bound.max);
            (too_high || too_low)
                .then(|| format!("{} is {} ({allowed}; {})", f.name, f.value, bound.source))
        };
        figures.iter().filter_map(line).collect()
    }

    /// Returns the names of the figures that have a bound.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.bounds.keys().map(String::as_str)
    }
}
