use crate::table::Table;
use decision::routing::{Account, Catalog, Configuration, ConfigurationChange, Repeat, Route};
use miniz_oxide::deflate::compress_to_vec;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

/// Data centres among which the daemons are divided.
const DATA_CENTRES: usize = 6;
/// Routes before the change.
const FIRST_ROUTES: usize = 50;
/// The deflate level of the gateway.
const DEFLATE_LEVEL: u8 = 3;
/// Maximum size of a piece, and followers that receive pieces at the same time, in the gateway.
const PIECE_BYTES: usize = 16 << 10;
const CONCURRENT_RESPONSES: usize = 4;
/// What a response has beside a piece, with the request: loads and headers.
const RESPONSE_BYTES: usize = 600;
/// Round trip between two daemons of a data centre.
const ROUND_TRIP_SECONDS: f64 = 0.002;

/// The cost of one change of the configuration for a reader with its followers.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateCost {
    /// Bytes of the whole configuration as JSON, which earlier builds send to each follower.
    pub whole_bytes: usize,
    /// Bytes of the whole configuration, deflated, for a daemon that starts.
    pub packed_bytes: usize,
    /// Bytes of the change, deflated.
    pub change_bytes: usize,
    /// Bytes on the link of the reader for all followers, whole and as a change.
    pub link_bytes: (usize, usize),
    /// Time that the link needs for the whole configuration to all followers, without time limits.
    pub whole_seconds: f64,
    /// Time until the last follower has the change.
    pub change_seconds: f64,
    /// Processor time to make and pack the change, once for all followers, in milliseconds.
    pub pack_ms: f64,
    /// Processor time of each follower to apply it, in milliseconds.
    pub apply_ms: f64,
}

/// A name that shares nothing with others, as generated names do.
fn name(number: usize) -> String {
    let hash = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..8).map(|at| char::from(b'a' + (hash >> (at * 8)) as u8 % 26)).collect()
}

fn configuration(version: u64, routes: usize) -> Configuration {
    let route = |number: usize| Route {
        name: format!("r-{}", name(number)),
        host: format!("{}.example", name(number % 5)),
        path_prefix: format!("/{}/", name(number)),
        repeat: Repeat::Idempotent,
        attempts: 2,
        ..Route::default()
    };
    let account = |number: usize| Account {
        name: name(number),
        keys: vec![format!("{}{}", name(number), name(number + 1_000))],
        ..Account::default()
    };
    Configuration {
        version,
        routes: (0..routes).map(route).collect(),
        accounts: Some((0..24).map(account).collect()),
        ..Configuration::default()
    }
}

fn pack(change: &ConfigurationChange) -> Vec<u8> {
    let encoded = rmp_serde::to_vec_named(change).expect("a change can be encoded");
    compress_to_vec(&encoded, DEFLATE_LEVEL)
}

/// The time until the last of `followers` has an update, in pieces to a few of them at a time, over
/// a link that all share.
fn send_in_pieces(bytes: usize, followers: usize, bytes_per_second: f64) -> f64 {
    let mut waiting: VecDeque<usize> = std::iter::repeat_n(bytes, followers).collect();
    // When each of the followers that are being served asks for its next piece, and what it lacks.
    let mut served: Vec<(f64, usize)> = Vec::new();
    let (mut link_free_at, mut now) = (0.0_f64, 0.0_f64);
    loop {
        while served.len() < CONCURRENT_RESPONSES
            && let Some(lacks) = waiting.pop_front()
        {
            served.push((now, lacks));
        }
        let Some(next) = (0..served.len()).min_by(|a, b| served[*a].0.total_cmp(&served[*b].0))
        else {
            return now;
        };
        let (asks_at, lacks) = served.swap_remove(next);
        let piece = lacks.min(PIECE_BYTES);
        let time = (piece + RESPONSE_BYTES) as f64 / bytes_per_second;
        link_free_at = link_free_at.max(asks_at) + time;
        let arrives_at = link_free_at + ROUND_TRIP_SECONDS;
        now = now.max(arrives_at);
        if lacks > piece {
            served.push((arrives_at, lacks - piece));
        }
    }
}

/// Measures the change by which `added` routes are added, with a reader whose link carries
/// `megabits` a second, in a fleet of `daemons`.
pub fn measure_update(added: usize, daemons: usize, megabits: f64) -> UpdateCost {
    let before = configuration(1, FIRST_ROUTES);
    let after = configuration(2, FIRST_ROUTES + added);
    let started = Instant::now();
    let packed = pack(&ConfigurationChange::between(Some(&before), &after, 2));
    let pack_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let change = ConfigurationChange::between(Some(&before), &after, 2);
    let started = Instant::now();
    let applied = change.apply(Some(&before)).expect("the change fits");
    black_box(Catalog::new(applied));
    let apply_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let whole = serde_json::to_string(&after).expect("a configuration can be encoded").len();
    let followers = daemons.div_ceil(DATA_CENTRES).max(2) - 1;
    let bytes_per_second = megabits * 125_000.0;
    UpdateCost {
        whole_bytes: whole,
        packed_bytes: pack(&ConfigurationChange::between(None, &after, 2)).len(),
        change_bytes: packed.len(),
        link_bytes: (whole * followers, packed.len() * followers),
        whole_seconds: (whole * followers) as f64 / bytes_per_second,
        change_seconds: send_in_pieces(packed.len(), followers, bytes_per_second),
        pack_ms,
        apply_ms,
    }
}

/// The numbers of added routes and of daemons, with the narrowest links of deployments of that size,
/// in megabits a second.
const ADDED_ROUTES: [usize; 4] = [20, 1_400, 2_800, 4_200];
const FLEETS: [(usize, f64); 4] = [(7, 1_000.0), (80, 10.0), (300, 20.0), (1_000, 20.0)];

/// The costs of changes of different sizes in fleets of different sizes.
pub fn update_table() -> Table {
    let header = [
        "routes added",
        "daemons",
        "link, Mbit/s",
        "whole, KB",
        "whole, deflated, KB",
        "change, KB",
        "link, whole, MB",
        "link, change, MB",
        "whole, s",
        "change, s",
        "packing, ms",
        "applying, ms",
    ];
    let mut table =
        Table::new("A change of the configuration at a reader and its followers", &header);
    for added in ADDED_ROUTES {
        for (daemons, megabits) in FLEETS {
            let cost = measure_update(added, daemons, megabits);
            let kilobytes = |bytes: usize| format!("{:.1}", bytes as f64 / 1e3);
            let megabytes = |bytes: usize| format!("{:.2}", bytes as f64 / 1e6);
            table.row(&[
                added.to_string(),
                daemons.to_string(),
                megabits.to_string(),
                kilobytes(cost.whole_bytes),
                kilobytes(cost.packed_bytes),
                kilobytes(cost.change_bytes),
                megabytes(cost.link_bytes.0),
                megabytes(cost.link_bytes.1),
                format!("{:.2}", cost.whole_seconds),
                format!("{:.2}", cost.change_seconds),
                format!("{:.1}", cost.pack_ms),
                format!("{:.1}", cost.apply_ms),
            ]);
        }
    }
    table
}
