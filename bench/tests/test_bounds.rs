//! Bounds of the figures that don't depend on wall time.

use hemlock_bench::bounds::Bounds;
use hemlock_bench::experiments;
use hemlock_bench::figure::{Figure, Options};

/// Every experiment without wall time keeps its bounds.
#[test]
fn counted_figures_keep_their_bounds() {
    let options = Options {
        seed: 1,
        repeats: 1,
        policies: Vec::new(),
    };
    let counted = experiments::ALL.iter().filter(|e| !e.timed);
    let figures: Vec<Figure> = counted.flat_map(|e| (e.run)(&options)).collect();
    let broken = Bounds::built_in().broken(&figures);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// A figure outside its bound is reported, and so is one that is no number.
#[test]
fn broken_bounds_are_reported() {
    let bounds = Bounds::parse("a.b: {max: 1, source: test}").expect("the bounds parse");
    let broken = |value| bounds.broken(&[Figure::new("a.b", value, "s")]).len();
    assert_eq!((broken(1.0), broken(1.1), broken(f64::NAN)), (0, 1, 1));
}

/// Two experiments with one name would stop the program at its start.
#[test]
fn each_experiment_has_a_name_of_its_own() {
    let mut names: Vec<&str> = hemlock_bench::experiments::ALL
        .iter()
        .map(|e| e.name)
        .collect();
    let all = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all);
}
