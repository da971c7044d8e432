use super::*;

/// Without the rows, a file is read as it is in full with the rows summed up.
#[test]
fn a_file_is_the_same_without_its_rows() {
    let row = r#"{"instanceId":"s-1","lifecycle":"up","zone":null,"cell":2}"#;
    let other = r#"{"lifecycle":"up","instanceId":"s-2","zone":"a","extra":[{"x":1}],"lifecycle":"up"}"#;
    for rows in [String::new(), row.to_owned(), format!("{row},{other}"), format!("{other} , {row}, {row}")] {
        let text = format!(
            r#" {{"name":"n0","known":{{"generation":1,"reset":true,"instances":[{rows}]}},"peers":["a","b"],"known2":[{row}]}} "#
        );
        let mut full: Value = serde_json::from_str(&text).expect("not JSON");
        summarize_known(&mut full);
        assert_eq!(parse_summarized(&text), Some(full), "{text}");
    }
}

/// The summed-up row has the keys that all rows have.
#[test]
fn the_row_has_the_shared_keys() {
    let text = r#"{"known":{"instances":[{"a":1,"b":null,"c":2},{"c":1,"a":1,"b":1},{"b":1,"a":2}]}}"#;
    let root = parse_summarized(text).expect("not of the form");
    assert_eq!(root["known"]["instances"], serde_json::json!([{"a": true, "b": null}]));
}

/// A file of another form is left to the full parser, whose messages say what is wrong.
#[test]
fn another_form_is_not_read() {
    for text in [
        "",
        "[]",
        r#"{"known":5}"#,
        r#"{"known":{"instances":[5]}}"#,
        r#"{"known":{"instances":[{}]}"#,
        "{} x",
    ] {
        assert_eq!(parse_summarized(text), None, "{text}");
    }
}
