use fakes::{Caller, ChatResponse};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::sync::Barrier;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The largest time of the histogram; longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// The precision of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

const PROMPT: &str = "Plan the visits of the day around the closed road.";

/// The requests of a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// The number of concurrent streams.
    pub streams: usize,
    /// Measured requests per stream, sent one after another.
    pub rounds: usize,
    /// Unmeasured requests per stream before the measured ones.
    pub warm_up: usize,
    /// The maximum number of tokens of a completion.
    pub max_tokens: u64,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// The median, in milliseconds.
    pub median_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// The result of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measurement {
    /// The number of concurrent streams.
    pub streams: usize,
    /// Measured requests.
    pub attempted: usize,
    /// Complete responses with the text expected for their request.
    pub answered: usize,
    /// Refusals that name a verdict and a reason.
    pub refused: usize,
    /// The time from sending a request to its first token, over complete responses.
    pub first_token: Times,
    /// The time between two tokens, over complete responses.
    pub between_tokens: Times,
    /// The duration of the measured part of the run, in seconds.
    pub seconds: f64,
}

/// Sends the requests over concurrent streams and waits for all responses.
pub fn run(caller: &Caller, cfg: &LoadConfig) -> Measurement {
    let (tx, rx) = channel();
    let (warm_up, measured) = (Barrier::new(cfg.streams), Barrier::new(cfg.streams + 1));
    let seconds = thread::scope(|scope| {
        for stream in 0..cfg.streams {
            let (tx, warm_up, measured) = (tx.clone(), &warm_up, &measured);
            scope.spawn(move || {
                warm_up.wait();
                (0..cfg.warm_up).for_each(|round| drop(send(caller, cfg, stream, round)));
                measured.wait();
                for round in 0..cfg.rounds {
                    // The receiver outlives every stream.
                    let _ = tx.send(send(caller, cfg, stream, cfg.warm_up + round));
                }
                measured.wait();
            });
        }
        measured.wait();
        let started = Instant::now();
        measured.wait();
        started.elapsed().as_secs_f64()
    });
    drop(tx);
    let responses: Vec<ChatResponse> = rx.iter().collect();
    Measurement { streams: cfg.streams, seconds, ..measure(&responses, cfg.max_tokens) }
}

fn send(caller: &Caller, cfg: &LoadConfig, stream: usize, round: usize) -> ChatResponse {
    let request = format!("load-{}-{stream}-{round}", cfg.streams);
    caller.chat(&request, PROMPT, cfg.max_tokens)
}

fn measure(responses: &[ChatResponse], max_tokens: u64) -> Measurement {
    let complete: Vec<&ChatResponse> =
        responses.iter().filter(|a| a.is_complete(max_tokens)).collect();
    Measurement {
        attempted: responses.len(),
        answered: complete.len(),
        refused: responses.iter().filter(|a| a.is_valid_refusal(max_tokens)).count(),
        first_token: times(complete.iter().filter_map(|a| a.first_token)),
        between_tokens: times(complete.iter().flat_map(|a| a.between_tokens.iter().copied())),
        ..Measurement::default()
    }
}

fn times(durations: impl Iterator<Item = Duration>) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
    else {
        return Times::default();
    };
    for duration in durations {
        histogram.saturating_record(duration.as_micros() as u64);
    }
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Times { median_ms: quantile_ms(0.5), p99_ms: quantile_ms(0.99) }
}
