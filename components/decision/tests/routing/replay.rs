//! Replays a load over daemons that choose and engines that read, in virtual time.

use super::engine::{Engine, Room, Run};
use decision::Millis;
use decision::routing::{
    Candidate, Demand, Distance, InFlightId, Lane, LoadTable, Outcome, Placement, PlacementConfig,
    Prompt,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two looks at the engines, in milliseconds.
const TICK: u64 = 5;
/// Time between two exchanges of loads between daemons, in milliseconds.
const EXCHANGE: u64 = 400;
/// Time to the first event that requests allow.
const OBJECTIVE: Millis = Millis(2_000);
/// Time after the last arrival in which answers may end, in milliseconds.
const TAIL: u64 = 8_000;

/// A request of a load.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, in milliseconds.
    pub at: u64,
    /// The rank.
    pub rank: u8,
    /// The lane.
    pub lane: Lane,
    /// The prompt.
    pub prompt: Prompt,
}

/// A fleet and the terms of its choices.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: usize,
    /// The engines.
    pub engines: usize,
    /// The engines that never answer.
    pub silent: usize,
    /// What each engine holds.
    pub room: Room,
    /// The terms.
    pub terms: PlacementConfig,
    /// Whether daemons exchange loads.
    pub exchanges: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            daemons: 7,
            engines: 12,
            silent: 0,
            room: Room::default(),
            terms: PlacementConfig::default(),
            exchanges: true,
        }
    }
}

/// What a replay showed.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// The ends of requests by their number; nothing for one that did not end.
    pub runs: Vec<Option<Run>>,
    /// Requests that were not placed.
    pub refused: Vec<usize>,
    /// Requests that an engine had no room for.
    pub rejected: Vec<usize>,
    /// Prompt tokens read by all engines.
    pub read: u64,
}

/// Plays a load whose arrivals are in order.
pub fn play(fleet: &Fleet, requests: &[Request], seed: u64) -> Outcomes {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ids: Vec<String> = (0..fleet.engines).map(|n| format!("engine-{n}")).collect();
    let mut tables = vec![LoadTable::new(fleet.terms); fleet.daemons];
    let mut engines: Vec<Engine> =
        (0..fleet.engines).map(|n| Engine::new(n < fleet.silent, fleet.room)).collect();
    let mut leases: Vec<Option<(usize, usize, InFlightId)>> = vec![None; requests.len()];
    let mut outcomes = Outcomes { runs: vec![None; requests.len()], ..Outcomes::default() };
    let mut next = 0;
    let end = requests.last().map_or(0, |r| r.at) + TAIL;
    for now in (0..end).step_by(TICK as usize) {
        for (at, engine) in engines.iter_mut().enumerate() {
            let (begun, ended) = engine.run_until(now as f64);
            for number in begun {
                if let Some((daemon, _, lease)) = leases[number] {
                    let prompt = Some(&requests[number].prompt);
                    tables[daemon].record_first_byte(&ids[at], lease, prompt, Millis(now));
                }
            }
            for run in ended {
                if let Some((daemon, _, lease)) = leases[run.number].take() {
                    tables[daemon].end(&ids[at], lease, Outcome::Answered, Millis(now));
                }
                let number = run.number;
                outcomes.runs[number] = Some(run);
            }
        }
        if fleet.exchanges && now % EXCHANGE == 0 {
            exchange(&mut tables, Millis(now));
        }
        while requests.get(next).is_some_and(|r| r.at <= now) {
            let request = &requests[next];
            let daemon = rng.random_range(0..fleet.daemons);
            let candidates = ids.iter().map(|id| Candidate {
                id,
                distance: Distance::DataCentre,
                slots: fleet.room.slots as u32,
                cache_tokens: 243_776,
                fetch_rate: 0,
            });
            let demand = Demand {
                prompt: Some(&request.prompt),
                lane: request.lane,
                priority: request.rank,
                wait_budget: OBJECTIVE,
                tie_breaker: rng.random(),
            };
            match tables[daemon].choose(candidates, &demand, Millis(now)) {
                Placement::Send(choice) => {
                    let lease = tables[daemon].start(&choice, &demand, Millis(now));
                    let at = ids.iter().position(|id| *id == choice.id).unwrap();
                    if engines[at].take(next, request.rank, &request.prompt) {
                        leases[next] = Some((daemon, at, lease));
                    } else {
                        tables[daemon].end(&ids[at], lease, Outcome::Full, Millis(now));
                        outcomes.rejected.push(next);
                    }
                }
                Placement::Saturated(_) | Placement::NoEndpoint => outcomes.refused.push(next),
            }
            next += 1;
        }
    }
    outcomes.read = engines.iter().map(|engine| engine.read).sum();
    outcomes
}

fn exchange(tables: &mut [LoadTable], now: Millis) {
    let own: Vec<_> = tables.iter().map(LoadTable::own_loads).collect();
    for (at, table) in tables.iter_mut().enumerate() {
        let others = own.iter().enumerate().filter(|(other, _)| *other != at);
        let rows: Vec<_> = others.flat_map(|(_, rows)| rows.clone()).collect();
        table.set_peer_loads(&rows, now);
    }
}
