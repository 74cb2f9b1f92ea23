use crate::notice_fleet::{NoticeFleet, STEP};
use decision::Millis;
use decision::routing::NoticeId;
use messages::feed::{DepartureNotice, Notice};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Time after which the fleet is steady and an endpoint says that it leaves.
const STATED_AT: Millis = Millis(5_000);
const DURATION: Millis = Millis(30_000);

/// Measures the time until all daemons know that an endpoint leaves, which it says to one of them;
/// `None` if that takes longer than the simulation. With `loses_readers`, the store readers of two
/// data centres, one of them the first of its region, are lost at the same time.
pub fn measure_departure(daemons: usize, loses_readers: bool, seed: u64) -> Option<Millis> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut fleet = NoticeFleet::new(daemons);
    let mut id = None;
    let mut now = Millis(0);
    while now < DURATION {
        if now == STATED_AT {
            if loses_readers {
                fleet.kill_reader(0, now);
                fleet.kill_reader(3, now);
            }
            let up: Vec<usize> = (0..daemons).filter(|n| fleet.is_up(*n)).collect();
            let observer = up[rng.random_range(0..up.len())];
            id = fleet.publish(observer, departure(), now);
        }
        fleet.step(now);
        if id.is_some_and(|id| is_known(&fleet, daemons, id, now)) {
            return Some(now - STATED_AT);
        }
        now = now + STEP;
    }
    None
}

fn is_known(fleet: &NoticeFleet, daemons: usize, id: NoticeId, now: Millis) -> bool {
    let mut up = (0..daemons).filter(|n| fleet.is_up(*n));
    up.all(|n| fleet.daemons[n].board.get(id, now).is_some())
}

fn departure() -> Notice {
    let address = String::from("10.0.0.1:80");
    let departure = DepartureNotice { endpoint: String::from("i-1"), started: 1, address };
    Notice {
        origin: 0,
        sequence: 0,
        age_ms: 0,
        crash: None,
        completion: None,
        limit: None,
        departure: Some(departure),
        holder: None,
    }
}
