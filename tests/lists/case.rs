//! The test cases of [`crate::table`], as lines of text.
//!
//! A case is the data that a watch sends and the expected result, for a program that holds a list with s-1 draining and s-2 up.
//! Its fields are separated by `; `:
//!
//! 1. `later` if the data is sent on the open watch, `first` if it is the response to a new call;
//! 2. `goes on` if the watch stays open; otherwise the generation that the next watch is opened after, relative to that of the
//!    held list (`all` for generation 0);
//! 3. the workers that get jobs afterwards;
//! 4. the numbers of bad lists, stale lists and bad rows that are counted;
//! 5. the data that is sent, in parts separated by `|` (see [`SentPart`]);
//! 6. the list that is sent on the next watch, unless it is an empty delta.
//!
//! A list is written as its generation relative to the held one, `whole` (a snapshot) or `change` (a delta), and its entries. An
//! entry is a worker and its state: `2u` is s-2 and up, and `2m` is s-2 up at its other address. `d` stands for draining, `?` for
//! an unknown state, and `x` for up without an address.

use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::sync::Arc;

const CASES: &str = r#"
later; +0; 2; 0 1 0; -1 change 1u
later; +0; 2; 0 1 0; -1 whole 1u 2u
later; +2; 2 3; 0 1 0; +2 change 3u | -1 change 1u | +3 change 1u
later; goes on; 2 3; 0 0 0; +1 change 3u | +1 change 3u
later; +0; 2; 1 0 0; text {"generation":]} | +1 change 1u
later; +0; 2; 1 0 0; text {"error":"busy"}
later; +0; 2; 1 0 0; text {"generation":-1,"reset":false,"instances":[]}
later; +0; 2; 1 0 0; text busy
later; +0; 2; 1 0 0; deep
later; +0; 2; 1 0 0; long
later; goes on; 2 3; 0 0 1; +1 whole 1d 2? 3u
later; goes on; 2 3; 0 0 1; +1 whole 1d 2x 3u
later; goes on; 2 3; 0 0 1; +1 change 2? 3u
later; goes on; 3; 0 0 0; +1 change 3u | +2 change 2d
later; goes on; 2; 0 0 1; +1 change 3u 3d
later; goes on; 2 3; 0 0 1; +1 change 3d 3u
later; goes on; 2; 1 0 0; +1 whole
later; goes on; 2; 1 0 0; +1 whole 1? 2?
later; goes on; 3; 0 0 0; +1 change 3u | text | +2 change 2d | +3 change 1u | +4 change 1d
later; goes on; 3; 0 0 0; indented +1 change 3u | indented +2 whole 1d 3u
later; goes on; 3; 0 0 0; bytes +1 whole 1d 3u
later; +0; 2; 1 0 0; half +1 whole 1u | raw 0\n\n
later; +0; 2; 1 0 0; half +1 whole 1u | raw no chunk\n
later; +1; 2 3; 0 0 0; +1 change 3u | raw no chunk\n
later; +0; 2; 1 0 0; half +1 whole 1u
later; goes on; 3 2m; 0 0 0; +1 whole 1d 3u | +2 change 2m
first; goes on; 1 2; 0 0 0; watch | -90 whole 1u 2u
first; all; 2 3; 0 1 0; watch | -90 change 1u; -90 whole 1d 2u 3u
first; goes on; 2 3; 0 0 0; watch | +1 change 3u
first; +1; 2 3; 0 1 0; watch | +1 change 3u | +0 change 1u
first; +0; 2; 1 0 0; watch | text {}
first; +0; 2; 0 0 0; raw HTTP/1.1 503 No\nContent-Length: 0\n\n
first; +0; 2; 0 0 0; raw nothing\n\n
first; +0; 2; 0 0 0; raw HTTP/1.1 200 O
first; +0; 2; 0 0 0; watch
first; +0; 2; 1 0 0; watch | half +1 whole 1u
first; +0; 2; 0 0 0; raw HTTP/1.1 200 OK\nContent-Length: 0\n\n
"#;

/// All cases, in order.
pub fn all() -> impl Iterator<Item = Case> {
    CASES.trim().lines().map(Case::parse)
}

/// When the data of a case is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// As the response to the call that opens the watch.
    First,
    /// After the watch has been opened.
    Later,
}

/// The watch that is open after a case.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum NextWatch {
    /// The same watch.
    SameWatch,
    /// A new watch, opened after the held generation plus this number.
    After(u64),
    /// A new watch, opened after generation 0.
    FromStart,
}

/// The counters of the program for unusable lists and rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounts {
    pub bad_lists: u64,
    pub stale_lists: u64,
    pub bad_rows: u64,
}

impl std::ops::AddAssign for ListCounts {
    fn add_assign(&mut self, other: ListCounts) {
        self.bad_lists += other.bad_lists;
        self.stale_lists += other.stale_lists;
        self.bad_rows += other.bad_rows;
    }
}

/// One test case.
pub struct Case {
    pub line: &'static str,
    pub when: When,
    pub next_watch: NextWatch,
    /// The names of [`TableWorkers`], separated by spaces.
    pub used_workers: &'static str,
    pub counts: ListCounts,
    pub sent: Vec<SentPart>,
    pub next_list: Option<ListText>,
}

impl Case {
    fn parse(line: &'static str) -> Case {
        let fields: Vec<&str> = line.split("; ").collect();
        let [when, next_watch, used_workers, counts, sent, next_list @ ..] = &fields[..] else {
            panic!("{line}")
        };
        let counts: Vec<u64> = counts.split(' ').map(|count| count.parse().expect("not a count")).collect();
        let [bad_lists, stale_lists, bad_rows] = counts[..] else { panic!("{line}") };
        Case {
            line,
            when: if *when == "first" { When::First } else { When::Later },
            next_watch: match *next_watch {
                "goes on" => NextWatch::SameWatch,
                "all" => NextWatch::FromStart,
                generation => NextWatch::After(generation.parse().expect("not a generation")),
            },
            used_workers,
            counts: ListCounts { bad_lists, stale_lists, bad_rows },
            sent: sent.split('|').map(|part| SentPart::parse(part.trim())).collect(),
            next_list: next_list.first().map(|text| ListText(text)),
        }
    }
}

/// A list such as `+1 whole 1d 2u`.
#[derive(Clone, Copy)]
pub struct ListText(pub &'static str);

impl ListText {
    /// The list as JSON, for a program that holds this generation.
    pub fn to_list(self, held_generation: u64, workers: &TableWorkers) -> Value {
        let mut words = self.0.split(' ').filter(|word| !word.is_empty());
        let offset: i64 = words.next().and_then(|word| word.parse().ok()).expect("not a generation");
        let is_snapshot = words.next() == Some("whole");
        let entries: Vec<Value> = words.map(|word| workers.entry(word)).collect();
        let generation = held_generation.checked_add_signed(offset).expect("generation below 0");
        if is_snapshot { site::snapshot(generation, &entries) } else { site::delta(generation, &entries) }
    }
}

/// A part of the data that a watch sends. The first word of its text is the kind of part.
pub enum SentPart {
    /// `watch`: the head of a valid response.
    ResponseHead,
    /// `indented`: a list that is spread over many lines.
    Indented(ListText),
    /// `half`: the first half of a list.
    Half(ListText),
    /// `bytes`: a list, one byte in each chunk.
    ByteByByte(ListText),
    /// `long`: the beginning of a list that is too long.
    TooLong,
    /// `deep`: arrays within arrays.
    TooDeep,
    /// `raw`: these characters, outside of a chunk; `\n` ends a line.
    Raw(&'static str),
    /// `text`: a line that is not a list.
    Line(&'static str),
    /// A list, if the first word is none of the other kinds.
    List(ListText),
}

impl SentPart {
    fn parse(part: &'static str) -> SentPart {
        let (kind, text) = part.split_once(' ').unwrap_or((part, ""));
        match kind {
            "watch" => SentPart::ResponseHead,
            "indented" => SentPart::Indented(ListText(text)),
            "half" => SentPart::Half(ListText(text)),
            "bytes" => SentPart::ByteByByte(ListText(text)),
            "long" => SentPart::TooLong,
            "deep" => SentPart::TooDeep,
            "raw" => SentPart::Raw(text),
            "text" => SentPart::Line(text),
            _ => SentPart::List(ListText(part)),
        }
    }

    /// The bytes of the part, for a program that holds this generation.
    pub fn to_bytes(&self, held_generation: u64, workers: &TableWorkers) -> Vec<u8> {
        const TOO_LONG_BYTES: usize = 5 * 1024 * 1024;
        const TOO_DEEP_LEVELS: usize = 10_000;
        let list = |text: &ListText| text.to_list(held_generation, workers);
        let text = match self {
            SentPart::ResponseHead => WATCH_RESPONSE_HEAD.to_owned(),
            SentPart::Indented(text) => chunk(&format!("{:#}\r\n\n", list(text))),
            SentPart::Half(text) => {
                let text = list(text).to_string();
                chunk(&text[..text.len() / 2])
            }
            SentPart::ByteByByte(text) => {
                let bytes = list(text).to_string().into_bytes();
                let chunks: String = bytes.iter().map(|byte| chunk(&char::from(*byte).to_string())).collect();
                chunks + &chunk("\n")
            }
            SentPart::TooLong => chunk(&format!("{{\"instances\":[{}", " ".repeat(TOO_LONG_BYTES))),
            SentPart::TooDeep => chunk(&("[".repeat(TOO_DEEP_LEVELS) + &"]".repeat(TOO_DEEP_LEVELS) + "\n")),
            SentPart::Raw(text) => text.replace("\\n", "\r\n"),
            SentPart::Line(text) => chunk(&format!("{text}\n")),
            SentPart::List(text) => chunk(&format!("{}\n", list(text))),
        };
        text.into_bytes()
    }
}

/// The workers of the cases: s-1 to s-3, and s-2 at its second address.
pub struct TableWorkers(pub [Arc<FakeWorker>; 4]);

impl TableWorkers {
    /// The names of the workers in the cases.
    pub const NAMES: [&'static str; 4] = ["1", "2", "3", "2m"];

    pub fn start() -> TableWorkers {
        TableWorkers(["s-1", "s-2", "s-3", "s-2"].map(FakeWorker::start))
    }

    /// The worker s-2 at its first address, which is the only one that the program knows at its start.
    pub fn known(&self) -> &[Arc<FakeWorker>] {
        &self.0[1..2]
    }

    /// The worker that a word names, with or without a state.
    pub fn get(&self, word: &str) -> &FakeWorker {
        let index =
            if word.ends_with('m') { 3 } else { word[..1].parse::<usize>().expect("not a number") - 1 };
        &self.0[index]
    }

    /// The list entry for a word such as `2u`.
    pub fn entry(&self, word: &str) -> Value {
        let lifecycle = match &word[1..] {
            "d" => "draining",
            "?" => "resting",
            _ => "up",
        };
        let mut entry = self.get(word).endpoint_entry(lifecycle);
        if word.ends_with('x') {
            entry["hostPort"] = json!("");
        }
        entry
    }
}
