//! Quoting of values in log lines.

use hemlock_wire::logger::quote_value;

#[test]
fn values_are_quoted_only_when_needed() {
    let cases = [
        ("plain", "plain"),
        ("a/b:1", "a/b:1"),
        ("", "\"\""),
        ("two words", "\"two words\""),
        ("a=b", "\"a=b\""),
        ("say \"x\"", "\"say \\\"x\\\"\""),
        ("two\nlines", "\"two\\nlines\""),
    ];
    for (text, expected) in cases {
        assert_eq!(quote_value(text), expected);
    }
}
