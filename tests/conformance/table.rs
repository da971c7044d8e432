//! A table of clauses and rows, read and played.

use serde::Deserialize;
use toml::{Table, Value};

/// What a table is played on. One is made for each row and seed.
pub trait Machine: Sized {
    /// Seeds with which every row must give the same.
    const SEEDS: u64 = 16;

    /// The situation.
    fn new(given: Value, seed: u64) -> Result<Self, String>;

    /// Takes a step, `{ verb = what }`, and returns what came of it in words.
    fn step(&mut self, step: Table) -> Result<Vec<String>, String>;

    /// A word that says the contrary of this one, as a row might have had it by mistake.
    fn contrary(word: &str) -> String;
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Clause {
    id: String,
    /// What is asked, in our words.
    says: String,
    /// Where the program does otherwise, what it does; such a clause's rows show that.
    #[serde(default)]
    but: Option<String>,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The clause that it is of.
    pub of: String,
    pub says: String,
    #[serde(default = "nothing")]
    pub given: Value,
    pub steps: Vec<Step>,
}

fn nothing() -> Value {
    Value::Table(Table::new())
}

/// One verb with what it takes, and what must come of it (in any order, and nothing else), if that is asked.
#[derive(Clone, Deserialize)]
#[serde(try_from = "Table")]
pub struct Step {
    pub act: Table,
    pub then: Option<Vec<String>>,
}

impl TryFrom<Table> for Step {
    type Error = String;

    fn try_from(mut act: Table) -> Result<Step, String> {
        let then =
            act.remove("then").map(Vec::<String>::deserialize).transpose().map_err(|e| e.to_string())?;
        match act.len() {
            1 => Ok(Step { act, then }),
            _ => Err(format!("a step has one verb and perhaps `then`: {act}")),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    #[serde(default)]
    clause: Vec<Clause>,
    #[serde(default)]
    pub row: Vec<Row>,
}

pub fn read(text: &str) -> Result<Sheet, String> {
    toml::from_str(text).map_err(|e| e.to_string())
}

/// Whether a word is what was expected: the same, or its last part is one of `a|b|c`, or a number in `a..b`.
fn is(seen: &str, expected: &str) -> bool {
    let (Some((seen, part)), Some((head, parts))) = (seen.rsplit_once(' '), expected.rsplit_once(' ')) else {
        return seen == expected;
    };
    let number = |s: &str| s.parse::<f64>().ok();
    let within = parts.split_once("..").and_then(|(low, high)| Some((number(low)?, number(high)?)));
    let fits = match (within, number(part)) {
        (Some((low, high)), Some(x)) => low <= x && x <= high,
        _ => parts.split('|').any(|p| p == part),
    };
    seen == head && fits
}

/// The same word with a number, or a choice of numbers, beyond those that would do.
pub fn beyond(word: &str) -> String {
    let Some((head, last)) = word.rsplit_once(' ') else { return format!("not {word}") };
    let most = last.split(['|', '.']).filter_map(|n| n.parse::<u64>().ok()).max();
    most.map_or_else(|| format!("{word}, not"), |most| format!("{head} {}..{}", most + 1, most + 1_000_000))
}

fn are(seen: &[String], expected: &[String]) -> bool {
    let mut left: Vec<&String> = seen.iter().collect();
    let found =
        expected.iter().all(|e| left.iter().position(|s| is(s, e)).map(|n| left.swap_remove(n)).is_some());
    found && left.is_empty()
}

/// What came of each step of a row, up to one that could not be taken, and why not.
pub struct Played {
    seen: Vec<Vec<String>>,
    fault: Option<String>,
}

/// Takes all steps of a row; what they lead to does not depend on what is expected.
pub fn play<M: Machine>(mut machine: M, row: &Row) -> Played {
    let mut played = Played { seen: Vec::new(), fault: None };
    for step in &row.steps {
        match machine.step(step.act.clone()) {
            Ok(seen) => played.seen.push(seen),
            Err(fault) => {
                played.fault = Some(fault);
                break;
            }
        }
    }
    played
}

/// Whether that is what the row expects.
pub fn judge(row: &Row, played: &Played) -> Result<(), String> {
    for (n, (step, seen)) in row.steps.iter().zip(&played.seen).enumerate() {
        if step.then.as_ref().is_some_and(|then| !are(seen, then)) {
            let (act, then) = (Value::Table(step.act.clone()), step.then.as_ref());
            return Err(format!("step {n}, {act}: {seen:?}, expected {then:?}"));
        }
    }
    played.fault.clone().map_or(Ok(()), Err)
}

fn holds<M: Machine>(row: &Row, seed: u64) -> Result<(), String> {
    let machine = M::new(row.given.clone(), seed)?;
    judge(row, &play(machine, row)).map_err(|fault| format!("{fault} (seed {seed})"))
}

/// Everything that is wrong with a table.
pub fn report<M: Machine>(text: &str) -> Vec<String> {
    let sheet = match read(text) {
        Ok(sheet) => sheet,
        Err(fault) => return vec![fault],
    };
    let mut faults = Vec::new();
    for (n, clause) in sheet.clause.iter().enumerate() {
        if !sheet.row.iter().any(|row| row.of == clause.id) {
            faults.push(format!("no row of clause {}", clause.id));
        }
        let empty =
            clause.says.trim().is_empty() || clause.but.as_ref().is_some_and(|but| but.trim().is_empty());
        if empty || sheet.clause[..n].iter().any(|other| other.id == clause.id) {
            faults.push(format!("clause {} says nothing, or is there twice", clause.id));
        }
    }
    for row in &sheet.row {
        let Row { of, says, .. } = row;
        if !sheet.clause.iter().any(|clause| clause.id == *of) {
            faults.push(format!("a row of no clause: {of}"));
        }
        if row.steps.iter().all(|step| step.then.is_none()) {
            faults.push(format!("{of}: {says}: it expects nothing"));
        }
        let fault = (1..=M::SEEDS).find_map(|seed| holds::<M>(row, seed).err());
        faults.extend(fault.map(|fault| format!("{of}: {says}: {fault}")));
    }
    faults
}

/// The table holds.
pub fn hold<M: Machine>(name: &str, text: &str) {
    let faults = report::<M>(text);
    assert!(faults.is_empty(), "{name}.toml:\n{}", faults.join("\n"));
}

/// The row as it is with one expectation turned round, for each word that it expects and each step that expects none.
fn turned<M: Machine>(row: &Row) -> Vec<Row> {
    let mut all = Vec::new();
    for (n, step) in row.steps.iter().enumerate() {
        let Some(then) = &step.then else { continue };
        let mut with = |then: Vec<String>| {
            let mut row = row.clone();
            row.steps[n].then = Some(then);
            all.push(row);
        };
        for (k, word) in then.iter().enumerate() {
            let mut other = then.clone();
            other[k] = M::contrary(word);
            with(other.clone());
            other.remove(k);
            with(other);
        }
        if then.is_empty() {
            with(vec![M::contrary("")]);
        }
    }
    all
}

/// Each row fails, with every seed, once any word that it expects says the contrary or is left out.
pub fn turn_round<M: Machine>(name: &str, text: &str) {
    let sheet = read(text).expect("a table");
    let mut turns = 0;
    for row in &sheet.row {
        let all = turned::<M>(row);
        turns += all.len();
        for seed in 1..=M::SEEDS {
            let played = play(M::new(row.given.clone(), seed).expect("a situation"), row);
            let held = all.iter().find(|other| judge(other, &played).is_ok());
            assert!(
                held.is_none(),
                "{name}.toml, {}: {}: passes turned round (seed {seed})",
                row.of,
                row.says
            );
        }
    }
    println!("{name}.toml: {} clauses, {} rows, {turns} turned round", sheet.clause.len(), sheet.row.len());
}
