use std::path::Path;

/// The documentation page and the code must name the same metrics.
#[test]
fn documented_metrics_are_the_served_ones() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/METRICS.md");
    let text = std::fs::read_to_string(page).expect("docs/METRICS.md is readable");
    let (_, section) = text
        .split_once("## hemlock-node")
        .expect("docs/METRICS.md has a section on hemlock-node");
    let rows = section.lines().filter_map(|l| l.strip_prefix("| `"));
    let mut documented: Vec<&str> = rows.filter_map(|l| l.split('`').next()).collect();
    let mut served = hemlock_node::metric_names();
    documented.sort_unstable();
    served.sort_unstable();
    assert_eq!(documented, served);
}
