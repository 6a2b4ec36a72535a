//! Validation of table edits: each error names the row, the column and the correction.

use std::collections::BTreeMap;

use hemlock_lib::check;
use hemlock_lib::ids::{DomainId, Nonce, Offset};
use hemlock_lib::table::{
    AccountRow, ConfigRecord, Edit, GroupRow, Row, RowKey, ServiceRow, Table, VersionRow,
};

fn edit(key: &str, row: Option<Row>) -> Edit {
    Edit {
        key: key.parse().expect("a row key"),
        base: None,
        row,
    }
}

fn group(change: impl Fn(&mut GroupRow)) -> Option<Row> {
    let mut row = GroupRow {
        replicas: 3,
        minimum: 1,
        downtime: 1.0,
        stranded: 1.0,
        reserve: 0,
        slots: 8,
    };
    change(&mut row);
    Some(Row::Group(row))
}

fn version(group: &str, weight: f64, span: u32) -> Option<Row> {
    Some(Row::Version(VersionRow {
        group: group.into(),
        weight,
        span,
    }))
}

fn account(change: impl Fn(&mut AccountRow)) -> Option<Row> {
    let mut row = AccountRow {
        key_hash: "a".repeat(64),
        weight: 1.0,
        requests: 10.0,
        tokens: 100.0,
        concurrency: 4,
    };
    change(&mut row);
    Some(Row::Account(row))
}

fn table() -> Table {
    let mut table = Table::default();
    let edits = vec![
        edit("group/listwriter", group(|_| ())),
        edit("version/v1", version("listwriter", 1.0, 4)),
        edit("account/portal", account(|a| a.key_hash = "b".repeat(64))),
    ];
    let record = ConfigRecord {
        nonce: Nonce(1),
        author: "operator".to_owned(),
        at_ms: 0,
        edits,
    };
    table.fold(Offset(0), &record).expect("an empty table");
    table
}

#[test]
fn errors_name_row_column_and_correction() {
    let service = |slots| Some(Row::Service(ServiceRow { slots }));
    let cases = [
        (
            "group/g",
            group(|g| g.minimum = 4),
            "minimum",
            "above the 3",
        ),
        (
            "group/g",
            group(|g| g.downtime = f64::NAN),
            "downtime",
            "NaN",
        ),
        ("group/g", group(|g| g.stranded = -1.0), "stranded", "-1"),
        ("group/g", group(|g| g.slots = 0), "slots", "at least 1"),
        ("group/g", group(|g| g.reserve = 20), "reserve", "holds 20"),
        ("group/g", service(1), "", "another kind"),
        ("group/g h", group(|_| ()), "", "a name is made of"),
        ("group/listwriter", None, "", "version/v1"),
        (
            "version/v2",
            version("lstwriter", 1.0, 4),
            "group",
            "did you mean `listwriter`",
        ),
        (
            "version/v2",
            version("zzz", 1.0, 4),
            "group",
            "no group `zzz`",
        ),
        (
            "version/v2",
            version("listwriter", f64::INFINITY, 4),
            "weight",
            "inf",
        ),
        (
            "version/v2",
            version("listwriter", 1.0, 21),
            "span",
            "holds 20",
        ),
        (
            "version/v2",
            version("listwriter", 1.0, 0),
            "span",
            "at least 1",
        ),
        (
            "version/v1",
            version("listwriter", 0.0, 4),
            "weight",
            "add up to zero",
        ),
        (
            "account/a",
            account(|a| a.key_hash = "A".repeat(64)),
            "key_hash",
            "SHA-256",
        ),
        (
            "account/a",
            account(|a| a.key_hash = "b".repeat(64)),
            "key_hash",
            "account/portal",
        ),
        (
            "account/a",
            account(|a| a.requests = 0.0),
            "requests",
            "above 0",
        ),
        (
            "account/a",
            account(|a| a.tokens = -5.0),
            "tokens",
            "above 0",
        ),
        (
            "account/a",
            account(|a| a.weight = f64::NAN),
            "weight",
            "NaN",
        ),
        (
            "account/a",
            account(|a| a.concurrency = 0),
            "concurrency",
            "at least 1",
        ),
        ("service/s", service(0), "slots", "at least 1"),
    ];
    let vms = BTreeMap::from([
        (DomainId::new("riverside"), 20),
        (DomainId::new("pinehill"), 9),
    ]);
    for (key, row, column, cause) in cases {
        let edit = edit(key, row);
        let errors = check::check(&table(), std::slice::from_ref(&edit), &vms);
        let found = errors
            .iter()
            .any(|f| f.row == edit.key && f.column == column && f.cause.contains(cause));
        assert!(found, "{key} {column}: {errors:?}");
    }
}

#[test]
fn valid_edits_have_no_errors() {
    let valid = [
        vec![
            edit("group/g", group(|_| ())),
            edit("version/w", version("g", 2.0, 16)),
        ],
        vec![edit("version/v1", None), edit("group/listwriter", None)],
        vec![edit("account/a", account(|_| ()))],
        vec![
            edit("version/v1", version("listwriter", 0.0, 4)),
            edit("version/v2", version("listwriter", 1.0, 4)),
        ],
    ];
    let vms = BTreeMap::from([(DomainId::new("riverside"), 20)]);
    for edits in valid {
        assert_eq!(check::check(&table(), &edits, &vms), Vec::new());
    }
    let twice = [
        edit("group/g", group(|_| ())),
        edit("group/g", group(|_| ())),
    ];
    assert_eq!(check::check(&table(), &twice, &vms).len(), 1);
    let wide = [edit("version/v2", version("listwriter", 1.0, 99))];
    let unknown = check::check(&table(), &wide, &BTreeMap::new());
    assert_eq!(unknown, Vec::new(), "without a list no span is refused");
    let key: RowKey = "group/g".parse().expect("a row key");
    assert_eq!(key.to_string(), "group/g");
}
