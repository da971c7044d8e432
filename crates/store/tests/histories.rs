//! Seeded histories over the simulated disk, held against a model. `STORE_HISTORIES` says how many, `STORE_SEED` replays one.

use mothproxy_store::disk::Disk;
use mothproxy_store::sim::{Faults, Rng, SimDisk};
use mothproxy_store::{
    Compaction, DamagedRecords, OpenedWriter, Operation, Options, SharedView, StoreError, SyncMode, Writer,
    open_writer, verify, view_of,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

type Contents = BTreeMap<Vec<u8>, Vec<u8>>;

/// What the store must hold: all that was acknowledged, and the groups since then that may be there in part, each whole.
#[derive(Default)]
struct Model {
    sure: Contents,
    /// Groups since then, oldest first: those that failed, and those that were acknowledged without a sync.
    perhaps: Vec<(bool, Vec<Operation>)>,
}

fn apply(contents: &mut Contents, ops: &[Operation]) {
    for op in ops {
        match &op.value {
            Some(value) => drop(contents.insert(op.key.clone(), value.clone())),
            None => drop(contents.remove(&op.key)),
        }
    }
}

impl Model {
    /// After a crash a first part of what was acknowledged is there; of what failed, any group may be, whole.
    fn allows(&self, found: &Contents) -> bool {
        let mut now = BTreeSet::from([self.sure.clone()]);
        for (failed, group) in &self.perhaps {
            if now.contains(found) {
                return true;
            }
            let with = now.iter().cloned().map(|mut state| {
                apply(&mut state, group);
                state
            });
            let with: BTreeSet<Contents> = with.collect();
            if *failed { now.extend(with) } else { now = with }
        }
        now.contains(found)
    }
}

fn contents(shared: &SharedView) -> Result<Contents, StoreError> {
    let (view, mut all) = (view_of(shared), Contents::new());
    for step in view.walk(&[]) {
        assert!(step.hidden_by.is_none(), "a doubt without damage");
        if let Some(value) = step.hit.read(&step.key)? {
            all.insert(step.key, value);
        }
    }
    Ok(all)
}

fn random_op(rng: &mut Rng) -> Operation {
    let key = format!("key-{}", rng.below(12)).into_bytes();
    let len = [0, 3, 40, 700][rng.below(4) as usize];
    let value = (!rng.once_in(4)).then(|| (0..len).map(|_| rng.next_u64() as u8).collect());
    Operation { key, value, expires_at: None }
}

fn open(disk: &SimDisk, options: Options) -> Result<(Writer, SharedView), StoreError> {
    let OpenedWriter { writer, shared, recovery, .. } = open_writer(Arc::new(disk.clone()), options)?;
    assert_eq!(recovery.damage, [], "recovery takes a crash for damage");
    Ok((writer, shared))
}

/// One history: operations, compactions, faults, and crashes at any call; the contents are compared after each crash.
fn history(seed: u64) {
    let mut rng = Rng::new(seed);
    let mut disk = SimDisk::new(rng.next_u64());
    let mode = [SyncMode::Always, SyncMode::Always, SyncMode::Interval(Duration::from_millis(10))]
        [rng.below(3) as usize];
    let options =
        Options { segment_bytes: 600 + rng.below(3000) as u32, sync: mode, seed, ..Options::default() };
    let mut model = Model::default();
    for _ in 0..1 + rng.below(5) {
        let Ok((writer, shared)) = open(&disk, options) else { panic!("seed {seed}: cannot open") };
        let found = contents(&shared).expect("sound records");
        assert!(
            model.allows(&found),
            "seed {seed}: found {} keys that no order of writes gives",
            found.len()
        );
        let reads = found.clone();
        model = Model { sure: found, perhaps: Vec::new() };
        inject_faults(&disk, &mut rng);
        let mut life = Life { writer, shared, mode, model, reads };
        for step in 0..rng.below(40) {
            life.step(&mut rng, step, seed);
        }
        model = life.model;
        // Either the power goes, or the process ends and the files stay as they are.
        let keeps_files = rng.once_in(4) && mode == SyncMode::Always;
        disk = if keeps_files { disk.copy() } else { disk.reboot(rng.next_u64()) };
    }
}

fn inject_faults(disk: &SimDisk, rng: &mut Rng) {
    if rng.once_in(2) {
        let rate = |rng: &mut Rng| if rng.once_in(2) { 3 + rng.below(30) } else { 0 };
        let (short, full, broken, sync) = (rate(rng), rate(rng), rate(rng), rate(rng));
        disk.set_faults(Faults { short, full, broken, sync });
    }
    if rng.once_in(2) {
        disk.cut_after(1 + rng.below(60));
    }
}

/// A store from its opening to a crash.
struct Life {
    writer: Writer,
    shared: SharedView,
    mode: SyncMode,
    model: Model,
    /// What must be read.
    reads: Contents,
}

impl Life {
    fn step(&mut self, rng: &mut Rng, step: u64, seed: u64) {
        match rng.below(10) {
            0 if rng.once_in(2) => {
                if self.compact_all(step).is_err() {
                    return;
                }
            }
            0 => self.compact_some(step),
            1 if self.writer.sync(&self.shared, step).is_ok() => {
                self.model.sure = self.reads.clone();
                // It may have had nothing to do: what failed is gone for sure only once something is written.
                self.model.perhaps.retain(|(failed, _)| *failed);
            }
            _ => self.commit(rng, step),
        }
        // What was acknowledged reads back, whatever failed since.
        if rng.once_in(6) {
            let found = contents(&self.shared).expect("sound records");
            assert_eq!(found, self.reads, "seed {seed}: reads differ");
        }
    }

    /// Compacts all there is; an error where it cannot be sealed first.
    fn compact_all(&mut self, step: u64) -> Result<(), StoreError> {
        self.writer.seal(&self.shared, step)?;
        let compaction = self.writer.plan_full_compaction(&view_of(&self.shared), step);
        self.carry_out(compaction);
        Ok(())
    }

    /// Compacts what pays off.
    fn compact_some(&mut self, step: u64) {
        let compaction = self.writer.plan_compaction(&view_of(&self.shared), step);
        self.carry_out(compaction);
    }

    fn carry_out(&mut self, compaction: Option<Compaction>) {
        if let Some(compaction) = compaction
            && let Ok(merged) = compaction.run(DamagedRecords::Refuse)
        {
            let _ = self.writer.install(&self.shared, merged); // a failure must cost nothing
        }
    }

    fn commit(&mut self, rng: &mut Rng, step: u64) {
        let batches: Vec<Vec<Operation>> =
            (0..1 + rng.below(3)).map(|_| (0..1 + rng.below(3)).map(|_| random_op(rng)).collect()).collect();
        let group: Vec<Operation> = batches.iter().flatten().cloned().collect();
        let slices: Vec<&[Operation]> = batches.iter().map(Vec::as_slice).collect();
        if self.writer.commit(&self.shared, &slices, step).is_err() {
            self.model.perhaps.push((true, group));
            return;
        }
        apply(&mut self.reads, &group);
        if self.mode == SyncMode::Always {
            self.model.sure = self.reads.clone();
            self.model.perhaps.clear();
        } else {
            self.model.perhaps.push((false, group));
        }
    }
}

#[test]
fn seeded_histories_keep_to_the_model() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("STORE_SEED") {
        return history(seed);
    }
    let count = number("STORE_HISTORIES").unwrap_or(4_000);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(8);
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (0..count).filter(|seed| seed % threads == thread) {
                    let failed = std::panic::catch_unwind(|| history(seed)).is_err();
                    assert!(!failed, "history {seed} fails; replay it with STORE_SEED={seed}");
                }
            });
        }
    });
    println!("histories: {count}");
}

/// A store of some hundred records with overwrites, deletes, batches and a compaction in the middle of its life.
fn lived_in(sealed: bool) -> (SimDisk, Vec<Contents>) {
    let (disk, mut rng) = (SimDisk::new(1), Rng::new(99));
    let options = Options { segment_bytes: 2500, seed: 7, ..Options::default() };
    let (mut writer, shared) = open(&disk, options).expect("an empty disk");
    let (mut now, mut states) = (Contents::new(), vec![Contents::new()]);
    for step in 0..120 {
        let batch: Vec<Operation> = (0..1 + rng.below(4)).map(|_| random_op(&mut rng)).collect();
        let batch: Vec<Operation> = batch
            .into_iter()
            .map(|op| Operation { value: op.value.map(|v| v[..v.len().min(60)].to_vec()), ..op })
            .collect();
        writer.commit(&shared, &[&batch], step).expect("a sound disk");
        apply(&mut now, &batch);
        states.push(now.clone());
        if step == 70 {
            let merge = writer.plan_full_compaction(&view_of(&shared), step).expect("segments to merge");
            writer.install(&shared, merge.run(DamagedRecords::Refuse).expect("merged")).expect("installed");
        }
    }
    if sealed {
        writer.seal(&shared, 200).expect("sealed");
    }
    (disk.copy(), states)
}

/// What a damaged store gives out: each key's value, or nothing for keys that are gone or in doubt.
fn read_damaged(disk: &SimDisk) -> Result<(Contents, usize, bool), StoreError> {
    let OpenedWriter { shared, recovery, .. } = open_writer(Arc::new(disk.clone()), Options::default())?;
    let (view, mut all, mut refused) = (view_of(&shared), Contents::new(), 0);
    for step in view.walk(&[]) {
        match step.hit.read(&step.key) {
            _ if step.hidden_by.is_some() => refused += 1,
            Ok(Some(value)) => drop(all.insert(step.key, value)),
            Ok(None) => {}
            Err(StoreError::Damaged { .. }) => refused += 1,
            Err(error) => return Err(error),
        }
    }
    Ok((all, refused, recovery.damage.is_empty()))
}

#[test]
fn a_cut_at_every_byte_brings_back_whole_records_only() {
    for sealed in [false, true] {
        let (disk, states) = lived_in(sealed);
        let names = disk.list().expect("files");
        let last = names.iter().filter(|n| n.ends_with(".seg")).max().expect("a segment").clone();
        for name in names.iter().filter(|n| n.ends_with(".seg")) {
            let bytes = disk.bytes(name).expect("a file");
            for len in 0..bytes.len() {
                let cut = disk.copy();
                cut.replace(name, bytes[..len].to_vec());
                let (found, _, whole) = read_damaged(&cut).expect("it opens");
                if *name == last {
                    // The tail is torn: some earlier state, in full.
                    assert!(states.contains(&found), "{name} cut at {len}: a state that never was");
                } else {
                    let newest = states.last().expect("states");
                    assert!(!whole || found == *newest, "{name} cut at {len}: not noticed");
                    for (key, value) in &found {
                        assert_eq!(
                            newest.get(key),
                            Some(value),
                            "{name} cut at {len}: an older value is back"
                        );
                    }
                }
            }
        }
    }
}

#[test]
fn a_flip_of_any_byte_is_seen_and_never_brings_back_what_is_older() {
    for sealed in [true, false] {
        let (disk, states) = lived_in(sealed);
        let newest = states.last().expect("states");
        let (mut kept, mut cases) = (0, 0);
        for name in disk.list().expect("files").iter().filter(|n| n.ends_with(".seg")) {
            let bytes = disk.bytes(name).expect("a file");
            for at in 0..bytes.len() {
                let flipped = disk.copy();
                let mut other = bytes.clone();
                other[at] ^= 1 << (at % 8);
                flipped.replace(name, other);
                let (found, _, _) = match read_damaged(&flipped) {
                    Ok(read) => read,
                    Err(StoreError::Version { .. }) => {
                        panic!("{name} at {at}: a flip passes for another version")
                    }
                    Err(error) => panic!("{name} at {at}: {error}"),
                };
                let older = |(key, value): &(&Vec<u8>, &Vec<u8>)| newest.get(*key) != Some(*value);
                if sealed {
                    assert_eq!(found.iter().find(older), None, "{name} at {at}: invented or older");
                    let report = verify(&flipped).expect("it can be read").recovery;
                    assert!(!report.damage.is_empty(), "{name} at {at}: verify sees nothing");
                } else if found.iter().any(|kv| older(&kv)) {
                    // Only the very end of a store that was not closed may pass for a torn write.
                    assert!(states[states.len() - 2] == found, "{name} at {at}: invented or older");
                }
                kept += found.len();
                cases += 1;
            }
        }
        let share = kept as f64 / (cases * newest.len()) as f64;
        println!("sealed {sealed}: {cases} flips, {share:.3} of the records given out on average");
        assert!(share > 0.8, "damage costs too much: {share:.3}");
    }
}

#[test]
fn power_cut_at_every_call_of_a_compaction_costs_nothing() {
    let (disk, states) = lived_in(true);
    let newest = states.last().expect("states");
    let (mut cuts, options) = (0, Options { segment_bytes: 2500, seed: 9, ..Options::default() });
    loop {
        let torn = disk.copy();
        let (mut writer, shared) = open(&torn, options).expect("a sound disk");
        torn.cut_after(cuts);
        let view = view_of(&shared);
        let merge = writer.plan_full_compaction(&view, 1).expect("segments to merge");
        let done = merge.run(DamagedRecords::Refuse).and_then(|merged| writer.install(&shared, merged));
        for seed in 0..6 {
            let (_, again) = open(&torn.reboot(cuts * 31 + seed), options).expect("it opens");
            assert_eq!(contents(&again).expect("sound records"), *newest, "cut at call {cuts}, seed {seed}");
        }
        cuts += 1;
        if done.is_ok() && cuts > 4 && torn.calls() < cuts {
            break;
        }
    }
    println!("cut at {cuts} calls of a compaction");
    assert!(cuts > 8);
}
