//! Random histories of operations and faults on the simulated disk, compared with a model. `STORE_HISTORIES` sets their
//! number, `STORE_SEED` runs a single one.

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

/// The contents that the store may have after a crash: the durable ones, and some of the later groups, each as a whole.
#[derive(Default)]
struct Model {
    durable: Contents,
    /// Later groups, the oldest first, each with whether it failed. The others were acknowledged without a sync.
    pending: Vec<(bool, Vec<Operation>)>,
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
    /// Whether the store may have these contents after a crash. The acknowledged groups in them are a prefix of
    /// all acknowledged ones. Any failed group may be in them as a whole.
    fn allows(&self, found: &Contents) -> bool {
        let mut possible = BTreeSet::from([self.durable.clone()]);
        for (failed, group) in &self.pending {
            if possible.contains(found) {
                return true;
            }
            let with = possible.iter().cloned().map(|mut state| {
                apply(&mut state, group);
                state
            });
            let with: BTreeSet<Contents> = with.collect();
            if *failed { possible.extend(with) } else { possible = with }
        }
        possible.contains(found)
    }
}

fn contents(shared: &SharedView) -> Result<Contents, StoreError> {
    let (view, mut all) = (view_of(shared), Contents::new());
    for step in view.walk(&[]) {
        assert!(step.hidden_by.is_none(), "a key is in doubt although nothing is damaged");
        if let Some(value) = step.hit.read(&step.key)? {
            all.insert(step.key, value);
        }
    }
    Ok(all)
}

fn random_operation(rng: &mut Rng) -> Operation {
    let key = format!("key-{}", rng.below(12)).into_bytes();
    let len = [0, 3, 40, 700][rng.below(4) as usize];
    let value = (!rng.once_in(4)).then(|| (0..len).map(|_| rng.next_u64() as u8).collect());
    Operation { key, value, expires_at: None }
}

fn open(disk: &SimDisk, options: Options) -> Result<(Writer, SharedView), StoreError> {
    let OpenedWriter { writer, shared, recovery, .. } = open_writer(Arc::new(disk.clone()), options)?;
    assert_eq!(recovery.damage, [], "recovery reports damage after a crash");
    Ok((writer, shared))
}

/// Runs one history: operations, compactions, faults, and crashes at any call. Compares the contents after each crash.
fn history(seed: u64) {
    let mut rng = Rng::new(seed);
    let mut disk = SimDisk::new(rng.next_u64());
    let mode = [SyncMode::Always, SyncMode::Always, SyncMode::Interval(Duration::from_millis(10))]
        [rng.below(3) as usize];
    let options =
        Options { segment_bytes: 600 + rng.below(3000) as u32, sync: mode, seed, ..Options::default() };
    let mut model = Model::default();
    for _ in 0..1 + rng.below(5) {
        let Ok((writer, shared)) = open(&disk, options) else {
            panic!("seed {seed}: the store cannot be opened")
        };
        let found = contents(&shared).expect("readable records");
        assert!(
            model.allows(&found),
            "seed {seed}: the contents after the crash, of {} keys, do not result from the writes before it",
            found.len()
        );
        let reads = found.clone();
        model = Model { durable: found, pending: Vec::new() };
        inject_faults(&disk, &mut rng);
        let mut store = OpenStore { writer, shared, mode, model, reads };
        for step in 0..rng.below(40) {
            store.step(&mut rng, step, seed);
        }
        model = store.model;
        // Either the power is cut, or the process ends and the files stay as they are.
        let keeps_files = rng.once_in(4) && mode == SyncMode::Always;
        disk = if keeps_files { disk.copy() } else { disk.reboot(rng.next_u64()) };
    }
}

fn inject_faults(disk: &SimDisk, rng: &mut Rng) {
    if rng.once_in(2) {
        let rate = |rng: &mut Rng| if rng.once_in(2) { 3 + rng.below(30) } else { 0 };
        let (short, full, io_error, sync) = (rate(rng), rate(rng), rate(rng), rate(rng));
        disk.set_faults(Faults { short, full, io_error, sync });
    }
    if rng.once_in(2) {
        disk.cut_after(1 + rng.below(60));
    }
}

/// A store from its opening to a crash.
struct OpenStore {
    writer: Writer,
    shared: SharedView,
    mode: SyncMode,
    model: Model,
    /// The contents that readers must see.
    reads: Contents,
}

impl OpenStore {
    fn step(&mut self, rng: &mut Rng, step: u64, seed: u64) {
        match rng.below(10) {
            0 if rng.once_in(2) => {
                if self.compact_all(step).is_err() {
                    return;
                }
            }
            0 => self.compact_some(step),
            1 if self.writer.sync(&self.shared, step).is_ok() => {
                self.model.durable = self.reads.clone();
                // The sync may have had nothing to do. Failed groups can reappear until a later write succeeds.
                self.model.pending.retain(|(failed, _)| *failed);
            }
            _ => self.commit(rng, step),
        }
        // Acknowledged writes can be read even after others have failed.
        if rng.once_in(6) {
            let found = contents(&self.shared).expect("readable records");
            assert_eq!(found, self.reads, "seed {seed}: readers do not see the acknowledged writes");
        }
    }

    /// Compacts all segments. Fails if the active segment cannot be sealed first.
    fn compact_all(&mut self, step: u64) -> Result<(), StoreError> {
        self.writer.seal(&self.shared, step)?;
        let compaction = self.writer.plan_full_compaction(&view_of(&self.shared), step);
        self.carry_out(compaction);
        Ok(())
    }

    /// Compacts the segments for which it pays off.
    fn compact_some(&mut self, step: u64) {
        let compaction = self.writer.plan_compaction(&view_of(&self.shared), step);
        self.carry_out(compaction);
    }

    fn carry_out(&mut self, compaction: Option<Compaction>) {
        if let Some(compaction) = compaction
            && let Ok(merged) = compaction.run(DamagedRecords::Refuse)
        {
            let _ = self.writer.install(&self.shared, merged); // a failed installation must not lose data
        }
    }

    fn commit(&mut self, rng: &mut Rng, step: u64) {
        let batches: Vec<Vec<Operation>> = (0..1 + rng.below(3))
            .map(|_| (0..1 + rng.below(3)).map(|_| random_operation(rng)).collect())
            .collect();
        let group: Vec<Operation> = batches.iter().flatten().cloned().collect();
        let slices: Vec<&[Operation]> = batches.iter().map(Vec::as_slice).collect();
        if self.writer.commit(&self.shared, &slices, step).is_err() {
            self.model.pending.push((true, group));
            return;
        }
        apply(&mut self.reads, &group);
        if self.mode == SyncMode::Always {
            self.model.durable = self.reads.clone();
            self.model.pending.clear();
        } else {
            self.model.pending.push((false, group));
        }
    }
}

#[test]
fn seeded_histories_match_the_model() {
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
                    assert!(!failed, "history {seed} failed; STORE_SEED={seed} runs it alone");
                }
            });
        }
    });
    println!("histories: {count}");
}

/// A store after 120 batches of writes and deletions with a compaction between them, and its contents after each batch.
fn store_with_history(sealed: bool) -> (SimDisk, Vec<Contents>) {
    let (disk, mut rng) = (SimDisk::new(1), Rng::new(99));
    let options = Options { segment_bytes: 2500, seed: 7, ..Options::default() };
    let (mut writer, shared) = open(&disk, options).expect("store opens on an empty disk");
    let (mut current, mut states) = (Contents::new(), vec![Contents::new()]);
    for step in 0..120 {
        let batch: Vec<Operation> = (0..1 + rng.below(4)).map(|_| random_operation(&mut rng)).collect();
        let batch: Vec<Operation> = batch
            .into_iter()
            .map(|op| Operation { value: op.value.map(|v| v[..v.len().min(60)].to_vec()), ..op })
            .collect();
        writer.commit(&shared, &[&batch], step).expect("disk without faults");
        apply(&mut current, &batch);
        states.push(current.clone());
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

/// The readable contents of a store that may be damaged, the number of keys that cannot be read, and whether recovery found
/// no damage.
fn read_damaged(disk: &SimDisk) -> Result<(Contents, usize, bool), StoreError> {
    let OpenedWriter { shared, recovery, .. } = open_writer(Arc::new(disk.clone()), Options::default())?;
    let (view, mut all, mut unreadable) = (view_of(&shared), Contents::new(), 0);
    for step in view.walk(&[]) {
        match step.hit.read(&step.key) {
            _ if step.hidden_by.is_some() => unreadable += 1,
            Ok(Some(value)) => drop(all.insert(step.key, value)),
            Ok(None) => {}
            Err(StoreError::Damaged { .. }) => unreadable += 1,
            Err(error) => return Err(error),
        }
    }
    Ok((all, unreadable, recovery.damage.is_empty()))
}

#[test]
fn truncation_at_any_byte_leaves_only_whole_records() {
    for sealed in [false, true] {
        let (disk, states) = store_with_history(sealed);
        let names = disk.list().expect("files");
        let last = names.iter().filter(|n| n.ends_with(".seg")).max().expect("a segment").clone();
        for name in names.iter().filter(|n| n.ends_with(".seg")) {
            let bytes = disk.bytes(name).expect("a file");
            for len in 0..bytes.len() {
                let cut = disk.copy();
                cut.replace(name, bytes[..len].to_vec());
                let (found, _, is_undamaged) = read_damaged(&cut).expect("store opens");
                if *name == last {
                    // The end of the last segment may be torn: the contents are those after some batch.
                    assert!(
                        states.contains(&found),
                        "{name} truncated to {len} bytes: not the contents after any batch"
                    );
                } else {
                    let newest = states.last().expect("at least one state");
                    assert!(
                        !is_undamaged || found == *newest,
                        "{name} truncated to {len} bytes: the damage is not reported"
                    );
                    for (key, value) in &found {
                        assert_eq!(
                            newest.get(key),
                            Some(value),
                            "{name} truncated to {len} bytes: an older value is read"
                        );
                    }
                }
            }
        }
    }
}

#[test]
fn bit_flip_in_any_byte_is_reported_and_never_reveals_an_older_value() {
    for sealed in [true, false] {
        let (disk, states) = store_with_history(sealed);
        let newest = states.last().expect("at least one state");
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
                        panic!("{name} at {at}: a bit flip is reported as an unsupported format version")
                    }
                    Err(error) => panic!("{name} at {at}: {error}"),
                };
                let older = |(key, value): &(&Vec<u8>, &Vec<u8>)| newest.get(*key) != Some(*value);
                if sealed {
                    assert_eq!(
                        found.iter().find(older),
                        None,
                        "{name} at {at}: a wrong or older value is read"
                    );
                    let report = verify(&flipped).expect("verify reads the store").recovery;
                    assert!(!report.damage.is_empty(), "{name} at {at}: verify reports no damage");
                } else if found.iter().any(|kv| older(&kv)) {
                    // If the store was not closed, damage to the last batch cannot be told from a torn write.
                    assert!(
                        states[states.len() - 2] == found,
                        "{name} at {at}: a wrong or older value is read"
                    );
                }
                kept += found.len();
                cases += 1;
            }
        }
        let share = kept as f64 / (cases * newest.len()) as f64;
        println!("sealed {sealed}: {cases} flips, {share:.3} of the records readable on average");
        assert!(share > 0.8, "only {share:.3} of the records are readable, not above 0.8");
    }
}

#[test]
fn power_cut_at_any_call_of_a_compaction_loses_nothing() {
    let (disk, states) = store_with_history(true);
    let newest = states.last().expect("at least one state");
    let (mut cuts, options) = (0, Options { segment_bytes: 2500, seed: 9, ..Options::default() });
    loop {
        let torn = disk.copy();
        let (mut writer, shared) = open(&torn, options).expect("disk without faults");
        torn.cut_after(cuts);
        let view = view_of(&shared);
        let merge = writer.plan_full_compaction(&view, 1).expect("segments to merge");
        let done = merge.run(DamagedRecords::Refuse).and_then(|merged| writer.install(&shared, merged));
        for seed in 0..6 {
            let (_, again) = open(&torn.reboot(cuts * 31 + seed), options).expect("store opens");
            assert_eq!(
                contents(&again).expect("readable records"),
                *newest,
                "power cut at call {cuts}, seed {seed}"
            );
        }
        cuts += 1;
        if done.is_ok() && cuts > 4 && torn.calls() < cuts {
            break;
        }
    }
    println!("power cut at {cuts} calls of a compaction");
    assert!(cuts > 8);
}
