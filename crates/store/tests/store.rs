//! The store with its threads, on real files.

use mothproxy_store::disk::Disk;
use mothproxy_store::sim::{Faults, Rng, SimDisk};
use mothproxy_store::{
    Batch, BatchError, DamagedRecords, MAX_KEY, MAX_VALUE, OpenedWriter, Operation, Options, Store,
    StoreError, SyncMode, WriteResult, open_reader, open_writer,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time to live of what must not expire during a test.
const HOUR: Duration = Duration::from_secs(3600);

fn small() -> Options {
    Options { segment_bytes: 8 << 10, ..Options::default() }
}

fn all(store: &Store) -> Vec<(Vec<u8>, Vec<u8>)> {
    store.snapshot().iter_from(&[]).collect::<Result<_, _>>().expect("sound records")
}

#[test]
fn contents_survive_a_restart_in_every_sync_mode() {
    let dir = tempfile::tempdir().expect("a folder");
    let keys: [&[u8]; 5] = [b"\0", b"plain", &[0xff; 300], "\u{443}\u{448}".as_bytes(), &[7; MAX_KEY]];
    for mode in [SyncMode::Always, SyncMode::Interval(Duration::from_millis(5)), SyncMode::Never] {
        let path = dir.path().join(format!("{mode:?}"));
        let options = Options { sync: mode, ..small() };
        let (store, _) = Store::open(&path, options).expect("it opens");
        for (n, key) in keys.iter().enumerate() {
            store.write(Batch::new().put(*key, vec![n as u8; n * 1000])).expect("written");
        }
        store.write(Batch::new().delete(keys[1]).put("late", "x")).expect("written");
        let before = all(&store);
        assert_eq!(before.len(), 5);
        assert_eq!(store.get(keys[0]).expect("read"), Some(Vec::new()), "a value of 0 bytes is a value");
        store.close().expect("closed");
        let (store, recovery) = Store::open(&path, options).expect("it opens again");
        assert_eq!((all(&store), recovery.damage.len(), recovery.torn_bytes), (before, 0, 0));
    }
}

#[test]
fn a_batch_out_of_bounds_is_refused_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(dir.path(), small()).expect("it opens");
    let cases = [
        (Batch::new().put("a", "1").put("", "2"), BatchError::EmptyKey),
        (Batch::new().put("a", "1").put(vec![1; MAX_KEY + 1], "2"), BatchError::KeyTooLong(MAX_KEY + 1)),
        (
            Batch::new().put("a", "1").put("b", vec![0; MAX_VALUE + 1]),
            BatchError::ValueTooLong(MAX_VALUE + 1),
        ),
    ];
    for (batch, expected) in cases {
        match store.write(batch) {
            Err(StoreError::Invalid(why)) => assert_eq!(why, expected),
            other => panic!("{expected}: {other:?}"),
        }
    }
    assert_eq!(all(&store), []);
}

#[test]
fn a_second_process_is_locked_out_and_another_version_is_refused() {
    let dir = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(dir.path(), small()).expect("it opens");
    store.write(Batch::new().put("a", "1")).expect("written");
    assert!(matches!(Store::open(dir.path(), small()), Err(StoreError::Locked(_))));
    assert!(matches!(open_reader(dir.path()), Err(StoreError::Locked(_))));
    store.close().expect("closed");
    let reader = open_reader(dir.path()).expect("readable");
    assert!(
        matches!(Store::open(dir.path(), small()), Err(StoreError::Locked(_))),
        "a reader keeps writers out"
    );
    drop(reader);
    // Both copies of the header say version 2, with sound checksums.
    let file = dir.path().join("000000000001-000000000001.seg");
    let mut bytes = std::fs::read(&file).expect("the segment");
    for copy in [0, 64] {
        bytes[copy + 8] = 2;
        let sum = crc32fast::hash(&bytes[copy..copy + 56]);
        bytes[copy + 56..copy + 60].copy_from_slice(&sum.to_le_bytes());
    }
    std::fs::write(&file, &bytes).expect("written");
    assert!(matches!(Store::open(dir.path(), small()), Err(StoreError::Version { found: 2, known: 1, .. })));
    assert_eq!(std::fs::read(&file).expect("the segment"), bytes, "it was left as it is");
}

#[test]
fn expiry_follows_a_clock_that_never_goes_back() {
    let disk = SimDisk::new(3);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small()).expect("it opens");
    store
        .write(
            Batch::new()
                .put_with_ttl("short", "1", Duration::from_millis(30))
                .put_with_ttl("long", "2", HOUR),
        )
        .expect("written");
    std::thread::sleep(Duration::from_millis(40));
    assert_eq!(store.get(b"short").expect("read"), None);
    store.close().expect("closed");
    // A process whose clock was an hour ahead wrote last; then the clock was set right.
    let ahead = {
        let OpenedWriter { mut writer, shared, written_at: stamp, .. } =
            open_writer(Arc::new(disk.clone()), small()).expect("it opens");
        let op = Operation {
            key: b"stamp".to_vec(),
            value: Some(b"3".to_vec()),
            expires_at: Some(stamp + 3_600_500),
        };
        writer.commit(&shared, &[&[op]], stamp + 3_600_000).expect("written");
        stamp + 3_600_000
    };
    let (store, _) = Store::open_on(Arc::new(disk.copy()), small()).expect("it opens");
    assert!(store.now() >= ahead, "the clock fell back");
    assert_eq!(store.get(b"short").expect("read"), None, "what had run out came back");
    assert_eq!(store.get(b"stamp").expect("read"), Some(b"3".to_vec()));
    std::thread::sleep(Duration::from_millis(510));
    assert_eq!(store.get(b"stamp").expect("read"), None, "the clock stood still");
    store.write(Batch::new().put_with_ttl("long", "2", HOUR)).expect("written");
    assert_eq!(store.compact(DamagedRecords::Refuse).expect("compacted").records, 1);
    assert_eq!(store.get(b"long").expect("read"), Some(b"2".to_vec()), "a compaction keeps the time to live");
}

#[test]
fn snapshots_stay_as_they_were_under_writes_and_compaction() {
    let dir = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(dir.path(), small()).expect("it opens");
    let key = |n: u64| format!("key-{n:03}");
    (0..200).for_each(|n| store.write(Batch::new().put(key(n), vec![1; 100])).expect("written"));
    let snapshot = store.snapshot();
    (0..200).for_each(|n| store.write(Batch::new().put(key(n), vec![2; 100])).expect("written"));
    (0..200).filter(|n| n % 2 == 0).for_each(|n| store.write(Batch::new().delete(key(n))).expect("written"));
    let stat = store.compact(DamagedRecords::Refuse).expect("compacted");
    let old: Vec<_> = snapshot.iter_from(b"key-100").collect::<Result<Vec<_>, _>>().expect("sound");
    assert_eq!(old.len(), 100);
    assert!(old.iter().all(|(_, value)| *value == vec![1; 100]), "a snapshot changed");
    assert_eq!(stat.records, 100);
    assert!(
        stat.bytes as f64 <= 1.5 * stat.live_bytes as f64,
        "{} bytes for {} of live data",
        stat.bytes,
        stat.live_bytes
    );
}

#[test]
fn concurrent_writers_share_syncs_and_each_is_answered() {
    let dir = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(dir.path(), small()).expect("it opens");
    std::thread::scope(|scope| {
        for writer in 0..16 {
            let store = &store;
            scope.spawn(move || {
                for n in 0..40 {
                    store.write(Batch::new().put(format!("{writer}/{n}"), "x")).expect("written");
                }
            });
        }
    });
    let called = Arc::new(AtomicU64::new(0));
    for n in 0..100 {
        let called = called.clone();
        let done = Box::new(move |result: WriteResult| {
            assert!(result.is_ok(), "{result:?}");
            called.fetch_add(1, Ordering::SeqCst);
        });
        store.submit(Batch::new().put(format!("later/{n}"), "x"), done).expect("taken");
    }
    let metrics = store.metrics();
    assert!(metrics.groups < metrics.batches, "{} groups for {} batches", metrics.groups, metrics.batches);
    let count = all(&store).len();
    assert!(count >= 640);
    store.close().expect("closed");
    assert_eq!(called.load(Ordering::SeqCst), 100, "a close answers what waits");
    let (store, _) = Store::open(dir.path(), small()).expect("it opens");
    assert_eq!(all(&store).len(), 740);
}

#[test]
fn a_full_disk_fails_writes_until_there_is_room_and_loses_nothing() {
    let disk = SimDisk::new(5);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small()).expect("it opens");
    let mut kept = Vec::new();
    let (mut failed, mut rng) = (0, Rng::new(1));
    for n in 0..300 {
        if n == 100 {
            disk.set_room(
                disk.list()
                    .expect("files")
                    .iter()
                    .filter_map(|f| disk.bytes(f))
                    .map(|b| b.len() as u64)
                    .sum::<u64>()
                    + 500,
            );
        } else if n == 200 {
            disk.set_room(u64::MAX);
        }
        let key = format!("{n:03}");
        let value: Vec<u8> = (0..60).map(|_| rng.next_u64() as u8).collect();
        match store.write(Batch::new().put(key.clone(), value.clone()).put(format!("{n:03}b"), "y")) {
            Ok(()) => {
                kept.extend([(key.into_bytes(), value), (format!("{n:03}b").into_bytes(), b"y".to_vec())]);
            }
            Err(StoreError::Failing(why)) => {
                failed += 1;
                assert!(why.to_string().contains("No space left"), "{why}");
                assert!(store.last_failure().is_some(), "the failure shows");
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!((50..=100).contains(&failed), "{failed} failed");
    assert!(store.last_failure().is_none(), "writing resumed by itself");
    assert_eq!(all(&store), kept);
    drop(store);
    let (store, recovery) = Store::open_on(Arc::new(disk.reboot(1)), small()).expect("it opens");
    assert_eq!((all(&store), recovery.damage), (kept, vec![]));
}

#[test]
fn a_failed_sync_fails_its_writers_and_the_next_write_counts() {
    let disk = SimDisk::new(6);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small()).expect("it opens");
    store.write(Batch::new().put("a", "1")).expect("written");
    disk.set_faults(Faults { sync: 1, ..Faults::default() });
    assert!(store.write(Batch::new().put("a", "2")).is_err());
    assert_eq!(store.get(b"a").expect("read"), Some(b"1".to_vec()), "a failed write shows");
    disk.set_faults(Faults::default());
    store.write(Batch::new().put("b", "3")).expect("written");
    for seed in 0..50 {
        let (again, _) = Store::open_on(Arc::new(disk.reboot(seed)), small()).expect("it opens");
        let expected = [(b"a".to_vec(), b"1".to_vec()), (b"b".to_vec(), b"3".to_vec())];
        assert_eq!(all(&again), expected, "seed {seed}: nothing unsynced may be believed");
    }
}
