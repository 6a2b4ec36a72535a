//! Checks of documentation pages and examples against the code.
//!
//! With `HEMLOCK_WRITE_PAGES` set, the generated parts of the pages are rewritten instead.

use std::path::{Path, PathBuf};

use hemlock_cli::Exit;
use hemlock_lib::codes::Code;
use hemlock_lib::declaration;
use hemlock_lib::settings::Settings;
use hemlock_testutils::deployments::Deployment;
use hemlock_wire::metrics::Metric;
use serde_json::Value;

use crate::fake_agent::run;

const BEGIN: &str = "<!-- generated -->\n";
const END: &str = "<!-- end -->";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).expect("the page exists")
}

/// Checks that a page has `part` between its [`BEGIN`] and [`END`] markers, or writes it there.
fn check_part(path: &str, part: &str) {
    let page = read(path);
    let (head, rest) = page
        .split_once(BEGIN)
        .expect("the page has a generated part");
    let (found, tail) = rest.split_once(END).expect("the generated part ends");
    if found == part {
        return;
    }
    check_file(path, &format!("{head}{BEGIN}{part}{END}{tail}"));
}

fn check_file(path: &str, text: &str) {
    if std::env::var_os("HEMLOCK_WRITE_PAGES").is_some() {
        std::fs::write(root().join(path), text).expect("a writable page");
        return;
    }
    let page = read(path);
    let mut lines = text.lines().zip(page.lines());
    let first = lines.find(|(wanted, found)| wanted != found);
    assert!(
        page == text,
        "{path} is stale; run `HEMLOCK_WRITE_PAGES=1 cargo test -p hemlock-cli test_pages`; \
         first difference (wanted, found): {first:?}"
    );
}

#[test]
fn schema_files_match_the_code() {
    for kind in ["settings", "table"] {
        let result = run(&["hemlock", "schema", kind]);
        let text = result
            .text
            .strip_prefix("exit: 0\n--- out\n")
            .expect("it succeeds");
        let text = text.split("\n--- err").next().unwrap_or_default();
        check_file(&format!("docs/schema/{kind}.json"), text);
    }
}

#[test]
fn settings_page_lists_every_key() {
    let schema = schemars::schema_for!(Settings);
    let mut part =
        "| key | unit | default | bounds | meaning |\n|---|---|---|---|---|\n".to_owned();
    append_keys(schema.as_value(), schema.as_value(), "", &mut part);
    check_part("docs/SETTINGS.md", &part);
}

fn append_keys(root: &Value, object: &Value, prefix: &str, part: &mut String) {
    let required = object["required"].as_array().cloned().unwrap_or_default();
    let properties = object["properties"].as_object().expect("an object");
    for (name, property) in properties {
        let key = format!("{prefix}{name}");
        let target = resolve(root, property);
        if target["properties"].is_object() {
            append_keys(root, target, &format!("{key}."), part);
            continue;
        }
        let items = resolve(root, &target["items"]);
        if items["properties"].is_object() {
            append_keys(root, items, &format!("{key}[]."), part);
        }
        let is_required = required.contains(&Value::String(name.clone()));
        part.push_str(&key_line(&key, property, target, is_required));
    }
}

fn resolve<'a>(root: &'a Value, value: &'a Value) -> &'a Value {
    let name = value["$ref"]
        .as_str()
        .and_then(|r| r.strip_prefix("#/$defs/"));
    name.map_or(value, |name| &root["$defs"][name])
}

fn key_line(key: &str, property: &Value, target: &Value, required: bool) -> String {
    let text = property["description"]
        .as_str()
        .or(target["description"].as_str());
    let default = match &property["default"] {
        _ if required => "required".to_owned(),
        Value::Null => "none".to_owned(),
        value => format!("`{value}`"),
    };
    let bounds = match (&property["minimum"], &property["maximum"]) {
        (Value::Null, _) => "-".to_owned(),
        (min, Value::Null) => format!("{min} or more"),
        (min, max) => format!("{min} to {max}"),
    };
    let kind = target["type"].as_str().or(target["type"][0].as_str());
    let unit = match kind.unwrap_or_default() {
        "integer" | "number" if key.ends_with("_ms") => "ms",
        "integer" | "number" if text.is_some_and(|t| t.contains("bytes")) => "bytes",
        "integer" | "number" => "count",
        "boolean" => "true or false",
        "array" => "list",
        _ => "text",
    };
    format!(
        "| `{key}` | {unit} | {default} | {bounds} | {} |\n",
        text.unwrap_or_default()
    )
}

#[test]
fn metrics_page_lists_every_metric() {
    let mut part = "| name | kind | unit | meaning |\n|---|---|---|---|\n".to_owned();
    for metric in Metric::ALL {
        let (name, kind) = (metric.pattern(), metric.kind().name());
        part.push_str(&format!(
            "| `{name}` | {kind} | {} | {} |\n",
            metric.unit(),
            metric.description()
        ));
    }
    check_part("docs/METRICS.md", &part);
}

/// The last column, the action for the operator, is written by hand: the test fails for a new code until
/// somebody writes it.
#[test]
fn result_codes_page_lists_every_code() {
    let page = read("docs/RESULT-CODES.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|l| l.starts_with("| 1") || l.starts_with("| 2"))
        .collect();
    assert_eq!(rows.len(), Code::ALL.len(), "one line a code");
    for (code, row) in Code::ALL.iter().zip(rows) {
        let retry = if code.is_retryable() { "yes" } else { "no" };
        let wanted = format!(
            "| {} | {} | {} | {} | {retry} | {} | ",
            code.number(),
            code.name(),
            code.status(),
            code.ran().as_str(),
            code.text()
        );
        let action = row.strip_prefix(&wanted);
        assert!(
            action.is_some_and(|a| a.len() > 10),
            "wanted `{wanted}ACTION |`, found `{row}`"
        );
    }
}

/// Relative links of the pages name existing files.
#[test]
fn relative_links_name_existing_files() {
    let mut checked = 0;
    for dir in ["", "docs", "docs/operating"] {
        let dir = root().join(dir);
        for entry in std::fs::read_dir(&dir).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.extension().is_none_or(|e| e != "md") {
                continue;
            }
            let page = std::fs::read_to_string(&path).expect("a readable page");
            for link in page.split("](").skip(1).filter_map(|l| l.split(')').next()) {
                let file = link.split('#').next().unwrap_or_default();
                let local = !link.contains("://") && !file.is_empty();
                assert!(
                    !local || dir.join(file).exists(),
                    "{}: {link}",
                    path.display()
                );
                checked += 1;
            }
        }
    }
    assert!(checked > 0, "no link was found");
}

#[test]
fn operating_page_lists_the_exit_codes() {
    let page = read("docs/OPERATING.md");
    for exit in [
        Exit::Refused,
        Exit::Conflict,
        Exit::Unknown,
        Exit::NotInForce,
        Exit::Unreachable,
    ] {
        assert!(page.contains(&format!("| {} |", exit as u8)), "{exit:?}");
    }
}

#[test]
fn examples_are_valid_and_declare_the_table_of_the_demo() {
    for deployment in Deployment::ALL {
        let dir = root().join("examples").join(deployment.name());
        for i in 0..6 {
            let settings = Settings::open(dir.join(format!("entry-{i}.yaml")));
            settings.expect("sound settings");
        }
        let declared = declaration::read_dir(dir.join("table")).expect("sound table files");
        let (table, vms) = (Default::default(), Default::default());
        assert_eq!(declared.check(&table, &declared.all(), &vms), []);
        let rows = deployment.table_edits();
        assert_eq!(declared.rows.len(), rows.len());
        for edit in rows {
            assert_eq!(
                declared.rows.get(&edit.key),
                edit.row.as_ref(),
                "{}",
                edit.key
            );
        }
    }
}
