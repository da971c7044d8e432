//! Flattens nested JSON to path=value pairs, the form of the simulator's protocol.

use serde_json::Value;

/// The prefix of the paths whose values are names, which have no spaces in the simulator's protocol.
const VALUE_NAMES: &str = "Domain.";

/// Flattens nested JSON to path=value pairs. A list of plain values becomes one pair, its values joined by commas. A list of
/// objects or lists becomes a count, and pairs with the index of each item in their path.
pub fn flatten(value: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    flatten_into("", value, &mut pairs);
    pairs
}

fn flatten_into(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten_into(&join(path, name), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            pairs.push((join(path, "count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten_into(&join(path, &index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().filter_map(|item| plain_text(path, item)).collect();
            pairs.push((path.to_owned(), texts.join(",")));
        }
        _ => pairs.extend(plain_text(path, value).map(|text| (path.to_owned(), text))),
    }
}

/// Appends a name to a path.
pub(super) fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// The text of a plain value; `None` for a list, an object or null.
fn plain_text(path: &str, value: &Value) -> Option<String> {
    match value {
        // The simulator's protocol writes "free slots" as "free_slots", and its adapter expects that name. Without the
        // replacement, the adapter would skip the free slots of every load report. Names at other paths keep their spaces.
        Value::String(text) if path.starts_with(VALUE_NAMES) => Some(text.replace([' ', ','], "_")),
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}
