use crate::table::Table;
use decision::Millis;
use decision::routing::{Directory, NoticeBoard, NoticeSource, Registration};
use messages::feed::{CrashNotice, EndpointChange, Notice};
use miniz_oxide::deflate::compress_to_vec;
use std::collections::BTreeSet;

/// Data centres among which the daemons are divided.
const DATA_CENTRES: usize = 6;
/// The deflate level of the gateway.
const DEFLATE_LEVEL: u8 = 3;
/// Notices that all daemons know, of endpoints that crashed.
const NOTICES: u64 = 400;
/// Time between polls of a follower, and for which a notice is reported.
const POLL_MS: u64 = 400;
const REPORT_MS: u64 = 5_000;
/// Daemons, endpoints, and the narrowest links of deployments of that size, in megabits a second.
const FLEETS: [(usize, usize, f64); 4] =
    [(7, 15, 1_000.0), (80, 90, 10.0), (300, 166, 20.0), (360, 930, 20.0)];
/// Endpoints that left and were not known to all followers before the succession.
const DEPARTURES: [usize; 2] = [0, 22];

/// Bytes that the link of a new reader carries for its followers, in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuccessionCost {
    /// If each follower gets a complete copy and all notices, and reports all of its own with each
    /// poll, as daemons without digests do.
    pub whole_bytes: usize,
    /// If both exchange what differs.
    pub difference_bytes: usize,
    /// The same as times on the link, in seconds.
    pub whole_seconds: f64,
    /// The time of the differences.
    pub difference_seconds: f64,
}

fn registration(number: usize) -> (String, Registration) {
    let id = format!("i-{:010x}", (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24);
    let registration = Registration {
        service: String::from("modelo-agenda"),
        address: format!("10.{}.64.{}:8406", number / 200, number % 200),
        data_centre: String::from("aburra-norte"),
        slots: 64,
        software_version: String::from("v1"),
        started: 1_780_000_000_000 + number as u64,
        ..Registration::default()
    };
    (id, registration)
}

fn directory(endpoints: usize) -> Directory {
    let mut directory = Directory::default();
    for (id, registration) in (0..endpoints).map(registration) {
        directory.put(&id, registration);
    }
    directory
}

fn notices() -> NoticeBoard {
    let mut board = NoticeBoard::new(1);
    for sequence in 0..NOTICES {
        let crash = CrashNotice {
            service: String::from("modelo-agenda"),
            endpoint: registration(sequence as usize).0,
            parts: vec![sequence, sequence + 1, sequence + 2],
            proven: Vec::new(),
            request: Some(sequence),
            has_begun: true,
            ran_ms: 100,
        };
        let notice = Notice {
            origin: sequence % 40,
            sequence,
            age_ms: REPORT_MS,
            crash: Some(crash),
            completion: None,
            limit: None,
            departure: None,
            holder: None,
        };
        board.receive(&notice, NoticeSource::Peer, Millis(REPORT_MS));
    }
    board
}

/// The size of endpoints as the gateway sends them: registrations as JSON in MessagePack, deflated.
fn packed_bytes(directory: &mut Directory, groups: Option<&BTreeSet<u32>>) -> usize {
    let change = |id: &str, registration: &Registration| EndpointChange {
        endpoint: id.to_owned(),
        registration: serde_json::to_string(registration).ok(),
    };
    let endpoints: Vec<EndpointChange> =
        directory.copy(groups).map(|copied| change(copied.id, copied.registration)).collect();
    compress_to_vec(&encode(&endpoints), DEFLATE_LEVEL).len()
}

fn encode<T: serde::Serialize + ?Sized>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("a message can be encoded")
}

/// Measures what a new reader of one data centre and its followers exchange, in a fleet of `daemons`
/// with a registry of `endpoints`, of which the last `departures` left without the followers' knowing.
pub fn measure_succession(
    daemons: usize,
    endpoints: usize,
    departures: usize,
    megabits: f64,
) -> SuccessionCost {
    let followers = daemons.div_ceil(DATA_CENTRES).max(2) - 1;
    let (mut reader, follower) = (directory(endpoints), directory(endpoints));
    for (id, registration) in (endpoints.saturating_sub(departures)..endpoints).map(registration) {
        reader.put(&id, Registration { draining: true, ..registration });
    }
    let board = notices();
    let all_notices = encode(&board.all(Millis(REPORT_MS))).len();
    let reports = (REPORT_MS / POLL_MS) as usize;
    let whole = packed_bytes(&mut reader, None) + all_notices * (1 + reports);
    let groups = reader.digest().differing(follower.digest().groups());
    let digests = encode(follower.digest().groups()).len() + encode(board.digest().groups()).len();
    let difference = digests + packed_bytes(&mut reader, Some(&groups));
    let seconds = |bytes: usize| (bytes * followers) as f64 / (megabits * 125_000.0);
    SuccessionCost {
        whole_bytes: whole * followers,
        difference_bytes: difference * followers,
        whole_seconds: seconds(whole),
        difference_seconds: seconds(difference),
    }
}

/// The costs of successions in fleets of different sizes.
pub fn succession_table() -> Table {
    let header = [
        "daemons",
        "endpoints",
        "link, Mbit/s",
        "departures",
        "whole, KB",
        "whole, s",
        "differences, KB",
        "differences, s",
    ];
    let mut table = Table::new("A new reader and its followers, with 400 notices", &header);
    for (daemons, endpoints, megabits) in FLEETS {
        for departures in DEPARTURES {
            let cost = measure_succession(daemons, endpoints, departures, megabits);
            let kilobytes = |bytes: usize| format!("{:.1}", bytes as f64 / 1e3);
            table.row(&[
                daemons.to_string(),
                endpoints.to_string(),
                megabits.to_string(),
                departures.min(endpoints).to_string(),
                kilobytes(cost.whole_bytes),
                format!("{:.3}", cost.whole_seconds),
                kilobytes(cost.difference_bytes),
                format!("{:.3}", cost.difference_seconds),
            ]);
        }
    }
    table
}
