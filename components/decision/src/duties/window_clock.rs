use crate::Millis;

/// Assigns points in time to usage windows. Window `k` begins `k` window lengths after the Unix epoch.
///
/// The wall clock is read once, and the clock that counts suspension is followed from then on, so that a
/// jump of the wall clock moves no request to another window.
#[derive(Clone, Copy, Debug)]
pub struct WindowClock {
    /// Unix time of the reading.
    unix: Millis,
    /// The same point on the clock of this daemon.
    read_at: Millis,
    /// Length of a window, above zero.
    length: Millis,
}

impl WindowClock {
    /// Creates a clock from a reading `unix` of the wall clock, in Unix time, at `now`. `length` is the
    /// length of a window, at least 1 ms.
    pub fn new(unix: Millis, now: Millis, length: Millis) -> WindowClock {
        WindowClock { unix, read_at: now, length: length.max(Millis(1)) }
    }

    /// The number of the window that includes `now`.
    pub fn window(&self, now: Millis) -> u64 {
        let unix = match now >= self.read_at {
            true => self.unix + now.since(self.read_at),
            false => self.unix - self.read_at.since(now),
        };
        unix.0 / self.length.0
    }

    /// When a window begins, on the clock of this daemon; zero if that was before the clock started.
    pub fn start(&self, window: u64) -> Millis {
        (self.read_at + Millis(window.saturating_mul(self.length.0))) - self.unix
    }

    /// When a window ends, on the clock of this daemon.
    pub fn end(&self, window: u64) -> Millis {
        self.start(window.saturating_add(1))
    }
}
