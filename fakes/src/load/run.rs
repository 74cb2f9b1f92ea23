use fakes::{Caller, ChatResponse};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::sync::Barrier;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Significant digits of a measured time.
const DIGITS: u8 = 3;

const PROMPT: &str = "Plan the visits of the day around the closed road.";

/// What one run sends.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Streams at once.
    pub streams: usize,
    /// Requests of each stream, one after the other.
    pub rounds: usize,
    /// Requests of each stream before those that count.
    pub warm_up: usize,
    /// Tokens of an answer at most.
    pub max_tokens: u64,
}

/// The median and the 99th percentile of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// The result of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Streams at once.
    pub streams: usize,
    /// Requests that were sent.
    pub attempted: usize,
    /// Answers that were whole and the request's own.
    pub answered: usize,
    /// Honest refusals.
    pub refused: usize,
    /// From the call to the first token of whole answers.
    pub first_token: Times,
    /// Between two tokens of whole answers.
    pub between_tokens: Times,
    /// The time that the counted requests took together, in seconds.
    pub seconds: f64,
}

/// Opens the streams at once and waits for all answers.
pub fn run(caller: &Caller, plan: &Plan) -> Measured {
    let (tx, rx) = channel();
    let (warm, count) = (Barrier::new(plan.streams), Barrier::new(plan.streams + 1));
    let seconds = thread::scope(|scope| {
        for stream in 0..plan.streams {
            let (tx, warm, count) = (tx.clone(), &warm, &count);
            scope.spawn(move || {
                warm.wait();
                (0..plan.warm_up).for_each(|round| drop(send(caller, plan, stream, round)));
                count.wait();
                for round in 0..plan.rounds {
                    // The receiver lives until every stream has ended.
                    let _ = tx.send(send(caller, plan, stream, plan.warm_up + round));
                }
                count.wait();
            });
        }
        count.wait();
        let started = Instant::now();
        count.wait();
        started.elapsed().as_secs_f64()
    });
    drop(tx);
    let answers: Vec<ChatResponse> = rx.iter().collect();
    Measured { streams: plan.streams, seconds, ..measure(&answers, plan.max_tokens) }
}

fn send(caller: &Caller, plan: &Plan, stream: usize, round: usize) -> ChatResponse {
    let request = format!("load-{}-{stream}-{round}", plan.streams);
    caller.chat(&request, PROMPT, plan.max_tokens)
}

fn measure(answers: &[ChatResponse], max_tokens: u64) -> Measured {
    let whole: Vec<&ChatResponse> = answers.iter().filter(|a| a.is_complete(max_tokens)).collect();
    Measured {
        attempted: answers.len(),
        answered: whole.len(),
        refused: answers.iter().filter(|a| a.is_valid_refusal(max_tokens)).count(),
        first_token: times(whole.iter().filter_map(|a| a.first_token)),
        between_tokens: times(whole.iter().flat_map(|a| a.between_tokens.iter().copied())),
        ..Measured::default()
    }
}

fn times(durations: impl Iterator<Item = Duration>) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, DIGITS) else {
        return Times::default();
    };
    for duration in durations {
        histogram.saturating_record(duration.as_micros() as u64);
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Times { median_ms: at(0.5), p99_ms: at(0.99) }
}
