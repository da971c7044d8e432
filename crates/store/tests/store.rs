//! The store with its threads, on real files and on the simulated disk.

use mothproxy_store::disk::Disk;
use mothproxy_store::sim::{Faults, Rng, SimDisk};
use mothproxy_store::{
    Batch, BatchError, DamagedRecords, MAX_KEY, MAX_VALUE, OpenedWriter, Operation, Options, Store,
    StoreError, SyncMode, WriteResult, open_reader, open_writer,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time to live of records that must not expire during a test.
const HOUR: Duration = Duration::from_secs(3600);

fn small_segments() -> Options {
    Options { segment_bytes: 8 << 10, ..Options::default() }
}

fn all_records(store: &Store) -> Vec<(Vec<u8>, Vec<u8>)> {
    store.snapshot().iter_from(&[]).collect::<Result<_, _>>().expect("readable records")
}

#[test]
fn contents_survive_a_restart_in_every_sync_mode() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let keys: [&[u8]; 5] = [b"\0", b"plain", &[0xff; 300], "\u{443}\u{448}".as_bytes(), &[7; MAX_KEY]];
    for mode in [SyncMode::Always, SyncMode::Interval(Duration::from_millis(5)), SyncMode::Never] {
        let path = dir.path().join(format!("{mode:?}"));
        let options = Options { sync: mode, ..small_segments() };
        let (store, _) = Store::open(&path, options).expect("store opens");
        for (n, key) in keys.iter().enumerate() {
            store.write(Batch::new().put(*key, vec![n as u8; n * 1000])).expect("write succeeds");
        }
        store.write(Batch::new().delete(keys[1]).put("late", "x")).expect("write succeeds");
        let before = all_records(&store);
        assert_eq!(before.len(), 5);
        assert_eq!(
            store.get(keys[0]).expect("key can be read"),
            Some(Vec::new()),
            "an empty value is not a missing one"
        );
        store.close().expect("store closes");
        let (store, recovery) = Store::open(&path, options).expect("store opens again");
        assert_eq!((all_records(&store), recovery.damage.len(), recovery.torn_bytes), (before, 0, 0));
    }
}

#[test]
fn a_batch_out_of_bounds_is_rejected_as_a_whole() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let (store, _) = Store::open(dir.path(), small_segments()).expect("store opens");
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
    assert_eq!(all_records(&store), []);
}

#[test]
fn a_locked_directory_and_another_format_version_are_rejected() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let (store, _) = Store::open(dir.path(), small_segments()).expect("store opens");
    store.write(Batch::new().put("a", "1")).expect("write succeeds");
    assert!(matches!(Store::open(dir.path(), small_segments()), Err(StoreError::Locked(_))));
    assert!(matches!(open_reader(dir.path()), Err(StoreError::Locked(_))));
    store.close().expect("store closes");
    let reader = open_reader(dir.path()).expect("reader opens");
    assert!(
        matches!(Store::open(dir.path(), small_segments()), Err(StoreError::Locked(_))),
        "a reader excludes writers"
    );
    drop(reader);
    // Set version 2 in both copies of the header, with valid checksums.
    let file = dir.path().join("000000000001-000000000001.seg");
    let mut bytes = std::fs::read(&file).expect("segment file");
    for copy in [0, 64] {
        bytes[copy + 8] = 2;
        let sum = crc32fast::hash(&bytes[copy..copy + 56]);
        bytes[copy + 56..copy + 60].copy_from_slice(&sum.to_le_bytes());
    }
    std::fs::write(&file, &bytes).expect("write succeeds");
    assert!(matches!(
        Store::open(dir.path(), small_segments()),
        Err(StoreError::Version { found: 2, known: 1, .. })
    ));
    assert_eq!(std::fs::read(&file).expect("segment file"), bytes, "the rejected segment was changed");
}

#[test]
fn expiry_follows_a_clock_that_never_goes_back() {
    let disk = SimDisk::new(3);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small_segments()).expect("store opens");
    store
        .write(
            Batch::new()
                .put_with_ttl("short", "1", Duration::from_millis(30))
                .put_with_ttl("long", "2", HOUR),
        )
        .expect("write succeeds");
    std::thread::sleep(Duration::from_millis(40));
    assert_eq!(store.get(b"short").expect("key can be read"), None);
    store.close().expect("store closes");
    // The last writer was a process whose clock was an hour ahead. Then the clock was corrected.
    let ahead = {
        let OpenedWriter { mut writer, shared, written_at: last_written_at, .. } =
            open_writer(Arc::new(disk.clone()), small_segments()).expect("store opens");
        let op = Operation {
            key: b"stamp".to_vec(),
            value: Some(b"3".to_vec()),
            expires_at: Some(last_written_at + 3_600_500),
        };
        writer.commit(&shared, &[&[op]], last_written_at + 3_600_000).expect("write succeeds");
        last_written_at + 3_600_000
    };
    let (store, _) = Store::open_on(Arc::new(disk.copy()), small_segments()).expect("store opens");
    assert!(store.now() >= ahead, "the store's clock went back");
    assert_eq!(store.get(b"short").expect("key can be read"), None, "an expired record is visible again");
    assert_eq!(store.get(b"stamp").expect("key can be read"), Some(b"3".to_vec()));
    std::thread::sleep(Duration::from_millis(510));
    assert_eq!(store.get(b"stamp").expect("key can be read"), None, "the store's clock does not advance");
    store.write(Batch::new().put_with_ttl("long", "2", HOUR)).expect("write succeeds");
    assert_eq!(store.compact(DamagedRecords::Refuse).expect("compaction succeeds").records, 1);
    assert_eq!(
        store.get(b"long").expect("key can be read"),
        Some(b"2".to_vec()),
        "a compaction keeps the time to live"
    );
}

#[test]
fn snapshots_do_not_change_during_writes_and_compaction() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let (store, _) = Store::open(dir.path(), small_segments()).expect("store opens");
    let key = |n: u64| format!("key-{n:03}");
    (0..200).for_each(|n| store.write(Batch::new().put(key(n), vec![1; 100])).expect("write succeeds"));
    let snapshot = store.snapshot();
    (0..200).for_each(|n| store.write(Batch::new().put(key(n), vec![2; 100])).expect("write succeeds"));
    (0..200)
        .filter(|n| n % 2 == 0)
        .for_each(|n| store.write(Batch::new().delete(key(n))).expect("write succeeds"));
    let stat = store.compact(DamagedRecords::Refuse).expect("compaction succeeds");
    let old: Vec<_> =
        snapshot.iter_from(b"key-100").collect::<Result<Vec<_>, _>>().expect("readable records");
    assert_eq!(old.len(), 100);
    assert!(old.iter().all(|(_, value)| *value == vec![1; 100]), "the snapshot changed");
    assert_eq!(stat.records, 100);
    assert!(
        stat.bytes as f64 <= 1.5 * stat.live_bytes as f64,
        "{} bytes on disk for {} bytes of live data",
        stat.bytes,
        stat.live_bytes
    );
}

#[test]
fn concurrent_writers_share_syncs_and_each_gets_its_result() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let (store, _) = Store::open(dir.path(), small_segments()).expect("store opens");
    std::thread::scope(|scope| {
        for writer in 0..16 {
            let store = &store;
            scope.spawn(move || {
                for n in 0..40 {
                    store.write(Batch::new().put(format!("{writer}/{n}"), "x")).expect("write succeeds");
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
        store.submit(Batch::new().put(format!("later/{n}"), "x"), done).expect("batch queued");
    }
    let metrics = store.metrics();
    assert!(metrics.groups < metrics.batches, "{} groups for {} batches", metrics.groups, metrics.batches);
    let count = all_records(&store).len();
    assert!(count >= 640);
    store.close().expect("store closes");
    assert_eq!(called.load(Ordering::SeqCst), 100, "close calls the callbacks of queued batches");
    let (store, _) = Store::open(dir.path(), small_segments()).expect("store opens");
    assert_eq!(all_records(&store).len(), 740);
}

#[test]
fn a_full_disk_fails_writes_until_there_is_space_and_loses_nothing() {
    let disk = SimDisk::new(5);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small_segments()).expect("store opens");
    let mut kept = Vec::new();
    let (mut failed, mut rng) = (0, Rng::new(1));
    for n in 0..300 {
        if n == 100 {
            disk.set_capacity(
                disk.list()
                    .expect("list of files")
                    .iter()
                    .filter_map(|f| disk.bytes(f))
                    .map(|b| b.len() as u64)
                    .sum::<u64>()
                    + 500,
            );
        } else if n == 200 {
            disk.set_capacity(u64::MAX);
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
                assert!(store.last_failure().is_some(), "last_failure is not set");
            }
            Err(other) => panic!("{other}"),
        }
    }
    assert!((50..=100).contains(&failed), "{failed} writes failed, not 50 to 100");
    assert!(store.last_failure().is_none(), "last_failure is still set after successful writes");
    assert_eq!(all_records(&store), kept);
    drop(store);
    let (store, recovery) = Store::open_on(Arc::new(disk.reboot(1)), small_segments()).expect("store opens");
    assert_eq!((all_records(&store), recovery.damage), (kept, vec![]));
}

#[test]
fn a_failed_sync_fails_its_writes_and_the_next_write_is_durable() {
    let disk = SimDisk::new(6);
    let (store, _) = Store::open_on(Arc::new(disk.clone()), small_segments()).expect("store opens");
    store.write(Batch::new().put("a", "1")).expect("write succeeds");
    disk.set_faults(Faults { sync: 1, ..Faults::default() });
    assert!(store.write(Batch::new().put("a", "2")).is_err());
    assert_eq!(store.get(b"a").expect("key can be read"), Some(b"1".to_vec()), "a failed write is visible");
    disk.set_faults(Faults::default());
    store.write(Batch::new().put("b", "3")).expect("write succeeds");
    for seed in 0..50 {
        let (again, _) = Store::open_on(Arc::new(disk.reboot(seed)), small_segments()).expect("store opens");
        let expected = [(b"a".to_vec(), b"1".to_vec()), (b"b".to_vec(), b"3".to_vec())];
        assert_eq!(all_records(&again), expected, "seed {seed}: an unsynced write was recovered");
    }
}
