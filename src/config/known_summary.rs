//! Reads a configuration file without its list of known workers.
//!
//! A reload needs of that list only which keys its rows have, because a new file must have all keys of the one at the start. The
//! rows are summed up as one row while the text is parsed, which takes a small part of the time and memory of a tree of values.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// The key of the list of known workers in a configuration file.
const KNOWN_KEY: &str = "known";
/// The key of the rows in a list.
const ROWS_KEY: &str = "instances";

/// Parses a configuration file, with the rows of `known` summed up as one row: it has the keys that all rows have, with the value
/// null where a row has null. Returns `None` if the file is not of this form.
pub(super) fn parse_summarized(text: &str) -> Option<Value> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let root =
        FieldsSeed { summarized: KNOWN_KEY, summary: Summary::List }.deserialize(&mut deserializer).ok()?;
    deserializer.end().ok()?;
    Some(Value::Object(root))
}

/// Sums the rows of `known` up in a document that was parsed in full.
pub(super) fn summarize_known(root: &mut Value) {
    let rows =
        root.get_mut(KNOWN_KEY).and_then(|known| known.get_mut(ROWS_KEY)).and_then(Value::as_array_mut);
    let Some(rows) = rows else { return };
    let mut keys = SharedKeys::default();
    for row in rows.iter() {
        let Some(fields) = row.as_object() else { return };
        for (key, value) in fields {
            let place = keys.add_key(key);
            if value.is_null() {
                keys.add_null(place);
            }
        }
        keys.end_row();
    }
    *rows = keys.into_rows();
}

/// The keys that all rows share.
#[derive(Debug, Default)]
struct SharedKeys {
    keys: Vec<Key>,
    rows: usize,
    /// The place at which the next key is expected, because rows mostly have their keys in the same order.
    expected: usize,
}

#[derive(Debug)]
struct Key {
    name: String,
    /// The number of rows with the key so far.
    rows: usize,
    has_null: bool,
}

impl SharedKeys {
    /// Records that the present row has a key. Returns the key's place.
    fn add_key(&mut self, name: &str) -> usize {
        let place = match self.keys.get(self.expected) {
            Some(key) if key.name == name => Some(self.expected),
            _ => self.keys.iter().position(|key| key.name == name),
        };
        let place = place.unwrap_or_else(|| {
            self.keys.push(Key { name: name.to_owned(), rows: 0, has_null: false });
            self.keys.len() - 1
        });
        let key = &mut self.keys[place];
        if key.rows == self.rows {
            key.rows += 1;
        }
        self.expected = place + 1;
        place
    }

    /// Records that the key at this place has the value null in the present row.
    fn add_null(&mut self, place: usize) {
        self.keys[place].has_null = true;
    }

    fn end_row(&mut self) {
        self.rows += 1;
        self.expected = 0;
        let rows = self.rows;
        self.keys.retain(|key| key.rows == rows);
    }

    /// One row with the shared keys; none if there are no rows.
    fn into_rows(self) -> Vec<Value> {
        if self.rows == 0 {
            return Vec::new();
        }
        let value = |has_null| if has_null { Value::Null } else { Value::Bool(true) };
        let fields = self.keys.into_iter().map(|key| (key.name, value(key.has_null)));
        vec![Value::Object(fields.collect())]
    }
}

/// What is summed up.
#[derive(Clone, Copy)]
enum Summary {
    /// The list, in the file.
    List,
    /// The rows, in the list.
    Rows,
}

/// Reads an object in full, except for the value of one key.
struct FieldsSeed {
    summarized: &'static str,
    summary: Summary,
}

impl<'de> DeserializeSeed<'de> for FieldsSeed {
    type Value = Map<String, Value>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for FieldsSeed {
    type Value = Map<String, Value>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let value = match self.summary {
                Summary::List if key == self.summarized => {
                    let seed = FieldsSeed { summarized: ROWS_KEY, summary: Summary::Rows };
                    Value::Object(map.next_value_seed(seed)?)
                }
                Summary::Rows if key == self.summarized => Value::Array(map.next_value_seed(RowsSeed)?),
                _ => map.next_value()?,
            };
            fields.insert(key, value);
        }
        Ok(fields)
    }
}

/// Reads rows and keeps the keys that they share.
struct RowsSeed;

impl<'de> DeserializeSeed<'de> for RowsSeed {
    type Value = Vec<Value>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for RowsSeed {
    type Value = Vec<Value>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of objects")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut rows: A) -> Result<Self::Value, A::Error> {
        let mut keys = SharedKeys::default();
        while rows.next_element_seed(RowSeed(&mut keys))?.is_some() {
            keys.end_row();
        }
        Ok(keys.into_rows())
    }
}

/// Reads the keys of one row.
struct RowSeed<'a>(&'a mut SharedKeys);

impl<'de> DeserializeSeed<'de> for RowSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for RowSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a row")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(place) = map.next_key_seed(KeySeed(self.0))? {
            if map.next_value::<Option<IgnoredAny>>()?.is_none() {
                self.0.add_null(place);
            }
        }
        Ok(())
    }
}

/// Reads one key of a row, and returns its place.
struct KeySeed<'a>(&'a mut SharedKeys);

impl<'de> DeserializeSeed<'de> for KeySeed<'_> {
    type Value = usize;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<usize, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KeySeed<'_> {
    type Value = usize;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E>(self, name: &str) -> Result<usize, E> {
        Ok(self.0.add_key(name))
    }
}

#[cfg(test)]
mod tests;
