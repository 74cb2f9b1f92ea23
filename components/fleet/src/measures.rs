use decision::Millis;
use std::time::Duration;

/// Samples of a duration.
#[derive(Clone, Debug, Default)]
pub struct Times {
    times: Vec<Millis>,
}

impl Times {
    /// Adds a sample.
    pub fn push(&mut self, time: Millis) {
        self.times.push(time);
    }

    /// Adds the samples of `other`.
    pub fn extend(&mut self, other: &Times) {
        self.times.extend(&other.times);
    }

    /// Number of samples.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    /// The sample at a percentile from 0 to 100; 0 ms without samples.
    pub fn percentile(&self, percent: usize) -> Millis {
        let mut times = self.times.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        times.get(last * percent / 100).copied().unwrap_or_default()
    }
}

/// Packets sent by the fleet and the processor time of its nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Packets sent.
    pub packets: u64,
    /// Bytes sent, including UDP and IP headers.
    pub bytes: u64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
    /// Size of the largest packet in bytes, without UDP and IP headers.
    pub largest: usize,
    /// Time spent on received packets: opening them, handling them and sealing the packets sent in
    /// response.
    pub packet_time: Duration,
    /// Time spent in ticks, including sealing the packets that they send.
    pub tick_time: Duration,
    /// Number of ticks.
    pub ticks: u64,
}
