use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The time over which rejected requests are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How many requests an endpoint runs at a time, and what happens to further ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// The requests that run at a time; further ones are rejected as not run.
    pub slots: usize,
    /// How long each runs.
    pub work: Duration,
    /// The rejections in a second after which the next one makes the endpoint fall over; it states
    /// this number in its responses. `None` if it bears any number.
    pub max_rejections: Option<usize>,
    /// The time from a fall to the restart.
    pub restart_after: Duration,
}

/// What becomes of a request that arrives at an endpoint with limited room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Arrival {
    Runs,
    Rejected,
    /// The endpoint falls over.
    Falls,
}

/// The requests that an endpoint runs, and those that it rejected lately.
#[derive(Debug, Default)]
pub(super) struct Occupancy {
    running: usize,
    rejections: VecDeque<Instant>,
}

impl Occupancy {
    pub(super) fn arrive(&mut self, room: &Room, now: Instant) -> Arrival {
        if self.running < room.slots {
            self.running += 1;
            return Arrival::Runs;
        }
        self.rejections.retain(|at| now.duration_since(*at) < REJECTION_WINDOW);
        self.rejections.push_back(now);
        match room.max_rejections {
            Some(max) if self.rejections.len() > max => {
                self.rejections.clear();
                Arrival::Falls
            }
            _ => Arrival::Rejected,
        }
    }

    pub(super) fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
