use std::path::Path;

/// The page of metrics and the code name the same ones.
#[test]
fn each_metric_is_described() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/METRICS.md");
    let text = std::fs::read_to_string(page).expect("the page");
    let (_, part) = text.split_once("## hemlock-node").expect("its part");
    let rows = part.lines().filter_map(|l| l.strip_prefix("| `"));
    let mut described: Vec<&str> = rows.filter_map(|l| l.split('`').next()).collect();
    let mut served = hemlock_node::metric_names();
    described.sort_unstable();
    served.sort_unstable();
    assert_eq!(described, served);
}
