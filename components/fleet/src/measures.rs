use decision::Millis;
use std::time::Duration;

/// Times of one kind.
#[derive(Clone, Debug, Default)]
pub struct Times {
    times: Vec<Millis>,
}

impl Times {
    /// Adds a time.
    pub fn push(&mut self, time: Millis) {
        self.times.push(time);
    }

    /// Adds the times of another.
    pub fn extend(&mut self, other: &Times) {
        self.times.extend(&other.times);
    }

    /// Returns how many times there are.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns whether there is no time.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    /// Returns the time that a share of all, in percent, does not exceed.
    pub fn percentile(&self, percent: usize) -> Millis {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        times.get(last * percent / 100).copied().unwrap_or_default()
    }
}

/// What the fleet sent and what it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Packets sent.
    pub packets: u64,
    /// Bytes sent, with the headers of UDP and IP.
    pub bytes: u64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
    /// Bytes of the largest packet.
    pub largest: usize,
    /// Processor time of sealing, opening and handling packets.
    pub packet_time: Duration,
    /// Processor time of ticks.
    pub tick_time: Duration,
    /// Ticks.
    pub ticks: u64,
}
