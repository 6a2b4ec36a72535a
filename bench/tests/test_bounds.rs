//! Bounds of figures, and the figures of all experiments that don't measure wall time.

use hemlock_bench::bounds::Bounds;
use hemlock_bench::experiments;
use hemlock_bench::figure::{Figure, Options};

/// Guards against changes that push a figure of any experiment in virtual time outside its bound.
#[test]
fn untimed_figures_are_within_bounds() {
    let options = Options {
        seed: 1,
        repeats: 1,
        policies: Vec::new(),
    };
    let untimed = experiments::ALL.iter().filter(|e| !e.timed);
    let figures: Vec<Figure> = untimed.flat_map(|e| (e.run)(&options)).collect();
    let violations = Bounds::built_in().violations(&figures);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// A figure outside its bound must be reported, and so must NaN, which compares false with any bound.
#[test]
fn figures_outside_bounds_are_reported() {
    let bounds = Bounds::parse("a.b: {max: 1, source: test}").expect("the bounds are valid");
    let violations = |value| bounds.violations(&[Figure::new("a.b", value, "s")]).len();
    assert_eq!(
        (violations(1.0), violations(1.1), violations(f64::NAN)),
        (0, 1, 1)
    );
}

/// Two experiments with the same name would make clap panic at the start of the program.
#[test]
fn experiment_names_are_unique() {
    let mut names: Vec<&str> = hemlock_bench::experiments::ALL
        .iter()
        .map(|e| e.name)
        .collect();
    let all = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all);
}
