use super::*;

const ROW: &str =
    r#"{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up","weight":1.0,"startedAtMs":0}"#;
const OTHER: &str =
    r#"{"lifecycle":"draining","extra":{"a":[{}]},"instanceId":"s-2","hostPort":"127.0.0.1:2","cell":3}"#;

/// Reads a text so many rows at a time.
fn read(text: &str, max_rows: usize) -> Option<EndpointList> {
    let mut reader = ListReader::new(text.as_bytes().to_vec());
    loop {
        if let ListProgress::Complete(list) = reader.read(max_rows) {
            return list;
        }
    }
}

/// Reads a text at once.
fn read_at_once(text: &str) -> Option<EndpointList> {
    EndpointList::from_json(&serde_json::from_str(text).ok()?)
}

/// Row by row, a list is read as it is at once, whatever its form.
#[test]
fn a_list_is_the_same_row_by_row() {
    let texts = [
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW},{OTHER}]}}"#),
        format!("{{\n \"instances\" : [\n  {OTHER} ,\n {ROW}\n ],\n \"reset\": false, \"generation\": 9 }}"),
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW},{ROW},{OTHER}]}}"#),
        r#"{"generation":4,"reset":true,"instances":[]}"#.to_owned(),
        format!(r#"{{"other":[{ROW}],"generation":4,"reset":true,"instances":[{OTHER}],"instances2":[{ROW}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW},0,"x",null,[{ROW}],{{"instanceId":"s-3"}}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"\u0069nstances":[{ROW}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW}],"instances":[{OTHER}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"note":"a]}}{{[\"","instances":[{ROW}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"a":{{"instances":[{ROW}]}},"instances":[{OTHER}]}}"#),
        r#"{"generation":4,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"up","lifecycle":"draining"}]}"#.to_owned(),
        // Not lists.
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW} {OTHER}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"instances":[{ROW},]}}"#),
        format!(r#"{{"generation":-4,"reset":true,"instances":[{ROW}]}}"#),
        format!(r#"{{"generation":4.0,"reset":1,"instances":[{ROW}]}}"#),
        format!(r#"{{"generation":4,"reset":true,"instances":{{"a":{ROW}}}}}"#),
        r#"{"generation":4,"reset":true,"instances":[{"instanceId":nonsense}]}"#.to_owned(),
        format!(r#"[{ROW}]"#),
        "nonsense".to_owned(),
        String::new(),
    ];
    for text in &texts {
        let expected = format!("{:?}", read_at_once(text));
        for max_rows in [1, 2, 100] {
            assert_eq!(format!("{:?}", read(text, max_rows)), expected, "{max_rows} rows at a time: {text}");
        }
    }
}

/// One call reads no more rows than it may, and a list without rows is read in parts too. A long list used to be read at once.
#[test]
fn one_call_reads_a_bounded_part() {
    let rows = vec![ROW; 1_000].join(",");
    let text = format!(r#"{{"generation":4,"reset":true,"instances":[{rows}]}}"#);
    let mut reader = ListReader::new(text.into_bytes());
    let calls = (1..).find(|_| matches!(reader.read(64), ListProgress::Complete(Some(_))));
    assert_eq!(calls, Some(1_000 / 64 + 1));
    let mut reader = ListReader::new(vec![b' '; 3 * MAX_BYTES_PER_READ + 1]);
    let calls = (1..).find(|_| matches!(reader.read(64), ListProgress::Complete(None)));
    assert_eq!(calls, Some(4));
}
