//! Measures applying a complete read of the upstream table, compared with entries one by one:
//! `cargo run --release -p catkin-decisions --example whole_read`.

use catkin_decisions::{
    Instant, StoreEra, StorePosition, TableRow, UpstreamDirectory, UpstreamEntry, UpstreamTable,
    rendezvous_score,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant as Clock},
};

const SIZES: [u32; 4] = [150, 450, 900, 3_000];

fn main() {
    println!("entries  first read  read again  one by one  shared table");
    for count in SIZES {
        let entries = (0..count).map(entry).collect::<Vec<_>>();
        let mut directory = UpstreamDirectory::default();
        let first = time(|| directory.apply_snapshot(entries.clone(), at(0)));
        let again = time(|| directory.apply_snapshot(entries.clone(), at(1000)));
        let singly = time(|| {
            for entry in &entries {
                directory.apply_entry(entry.clone());
            }
        });
        let rows = entries
            .iter()
            .map(|entry| TableRow {
                key: entry.id.as_str().into(),
                written: 1,
                entry: Some(entry.clone()),
            })
            .collect::<Vec<_>>();
        let mut table = UpstreamTable::default();
        table.apply_read(&rows, true, StorePosition::new(StoreEra(0), 1));
        let shared = time(|| table.apply_read(&rows, true, StorePosition::new(StoreEra(0), 2)));
        println!("{count:7}  {first:10?}  {again:10?}  {singly:10?}  {shared:12?}");
    }
}

fn entry(n: u32) -> UpstreamEntry {
    let id = format!("u-{:016x}", rendezvous_score("upstream", &n.to_string()));
    let port = u16::try_from(8000 + n).expect("a port");
    UpstreamEntry {
        id: id.parse().expect("a valid id"),
        service: "engines".parse().expect("a valid id"),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "a".parse().expect("a valid name"),
        slots: 12,
        leaving: false,
        version: None,
    }
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn time<T>(work: impl FnOnce() -> T) -> Duration {
    let start = Clock::now();
    let done = work();
    let took = start.elapsed();
    drop(done);
    took
}
