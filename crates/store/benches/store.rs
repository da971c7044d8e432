//! `cargo bench -p mothproxy-store`: the parts of the store that do not wait for a disk. `mothproxy store bench` measures
//! those that do, and compares them with plain writes of the same bytes.

#![allow(missing_docs, reason = "the function that criterion_group! makes has no doc comment")]

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use mothproxy_store::sim::SimDisk;
use mothproxy_store::{OpenedWriter, Operation, Options, SharedView, Writer, open_writer, view_of};
use std::hint::black_box;
use std::sync::Arc;

fn operation(n: u64) -> Operation {
    let key = format!("key-{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into_bytes();
    Operation { key, value: Some(vec![n as u8; 200]), expires_at: None }
}

fn filled_store(records: u64) -> (SimDisk, Writer, SharedView) {
    let disk = SimDisk::new(1);
    let options = Options { seed: 1, ..Options::default() };
    let OpenedWriter { mut writer, shared, .. } =
        open_writer(Arc::new(disk.clone()), options).expect("store opens on an empty disk");
    for group in 0..records / 100 {
        let ops: Vec<Operation> = (group * 100..group * 100 + 100).map(operation).collect();
        writer.commit(&shared, &[&ops], 1).expect("disk without faults");
    }
    (disk, writer, shared)
}

fn store(c: &mut Criterion) {
    let (disk, mut writer, shared) = filled_store(50_000);
    let mut group = c.benchmark_group("store");
    group.sample_size(20);
    let (view, mut n) = (view_of(&shared), 0);
    group.bench_function("look-up of one key among 50,000", |b| {
        b.iter(|| {
            n = (n + 7919) % 50_000;
            black_box(view.get(&operation(n).key, 1).expect("disk without damage"))
        });
    });
    drop(view);
    group.throughput(Throughput::Elements(50_000));
    group.bench_function("recovery of 50,000 records from memory", |b| {
        b.iter(|| {
            black_box(
                open_writer(Arc::new(disk.copy()), Options::default())
                    .expect("disk without damage")
                    .recovery
                    .keys,
            )
        });
    });
    group.bench_function("walk over 50,000 records in order", |b| {
        b.iter(|| black_box(view_of(&shared).walk(&[]).count()));
    });
    group.throughput(Throughput::Elements(32));
    let mut at = 1 << 30;
    group.bench_function("group of 32 written to memory", |b| {
        b.iter(|| {
            let ops: Vec<Operation> = (at..at + 32).map(operation).collect();
            at += 32;
            writer.commit(&shared, &[&ops], 1).expect("disk without faults");
        });
    });
    group.finish();
}

criterion_group!(benches, store);
criterion_main!(benches);
