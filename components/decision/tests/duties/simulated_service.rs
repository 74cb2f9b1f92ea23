//! A small model of a service whose endpoints are ordered: one queue of prompts, a rate at which
//! endpoints read them, and streams that share the remaining time.

use decision::Millis;
use decision::duties::{
    CapacityPlanner, DataCentreDemand, EndpointCounts, EndpointKind, Order, OrderOutcome,
    ServiceDemand, ServiceScaling, Work,
};
use decision::routing::Scaling;
use rand::RngExt;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

pub const SERVICE: &str = "huvo11a";
pub const DATA_CENTRES: [&str; 6] =
    ["aburra-norte", "aburra-sur", "centro", "pemberton", "quay", "ridge"];
/// The time that the simulation advances at once, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Prompt tokens that an endpoint reads per millisecond.
const READ_RATE: f64 = 42.6;
/// The time of a step of an endpoint and of each running request in it, in milliseconds.
const STEP_MS: f64 = 5.55;
const STEP_REQUEST_MS: f64 = 0.029;
/// The time of a step that reads a chunk of a prompt, in milliseconds.
const CHUNK_MS: f64 = 96.0;
/// Time in which new endpoints fill their caches and read at half the rate, in milliseconds.
const COLD_MS: u64 = 2_000;
/// Ticks until the number of running streams is that of a steady load.
const STEADY_TICKS: u64 = 200;
const BOOT_MS: u64 = 4_000;
/// How much the counts of a second of the callers of a data centre vary.
const REPORT_NOISE: RangeInclusive<f64> = 0.85..=1.15;
const EVENT_TOKENS: f64 = 4.0;

/// Requests of one kind.
struct Class {
    per_second: f64,
    prompt_tokens: f64,
    held_tokens: f64,
    response_tokens: f64,
    objective_ms: f64,
}

const CLASSES: [Class; 3] = [
    Class {
        per_second: 155.0,
        prompt_tokens: 2_890.0,
        held_tokens: 9_216.0,
        response_tokens: 52.0,
        objective_ms: 2_500.0,
    },
    Class {
        per_second: 145.0,
        prompt_tokens: 1_800.0,
        held_tokens: 2_380.0,
        response_tokens: 24.0,
        objective_ms: 800.0,
    },
    Class {
        per_second: 79.0,
        prompt_tokens: 543.0,
        held_tokens: 855.0,
        response_tokens: 280.0,
        objective_ms: 500.0,
    },
];

/// The ordered endpoints of one kind in a data centre.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    pub desired: u32,
    /// When each serves, in order.
    pub serves_at: Vec<u64>,
}

impl Endpoints {
    fn present(count: u32) -> Endpoints {
        Endpoints { desired: count, serves_at: vec![0; count as usize] }
    }

    fn order(&mut self, count: u32, now: u64) {
        self.desired = count;
        self.serves_at.resize(count as usize, now + BOOT_MS);
    }

    pub fn serving(&self, now: u64) -> u32 {
        self.serves_at.iter().filter(|at| **at <= now).count() as u32
    }

    /// The endpoints that they are worth, as those with cold caches read more.
    fn effective(&self, now: u64) -> f64 {
        let worth = |at: &u64| match now {
            _ if *at > now => 0.0,
            _ if *at > 0 && now < *at + COLD_MS => 0.5,
            _ => 1.0,
        };
        self.serves_at.iter().map(worth).sum()
    }
}

/// One data centre of the model.
#[derive(Clone, Debug)]
pub struct DataCentre {
    pub ordinary: Endpoints,
    pub spot: Endpoints,
    pub has_spot: bool,
    /// Spot endpoints that are about to leave.
    pub reclaimed: u32,
    pub is_silent: bool,
    pub daemons: u32,
    /// The share of the callers.
    pub callers: f64,
}

/// The service, its callers, the platform and the planner, in virtual time.
pub struct Simulation {
    pub now: u64,
    pub scaling: ServiceScaling,
    pub planner: CapacityPlanner,
    pub data_centres: BTreeMap<&'static str, DataCentre>,
    /// The load as a multiple of the usual one.
    pub load: f64,
    pub orders: Vec<(u64, Order, OrderOutcome)>,
    /// Tokens of the prompts that wait.
    backlog: f64,
    /// Running streams by class.
    pub streams: [f64; 3],
    begun: f64,
    late: f64,
    /// The share of orders whose response is lost; half of these are in force.
    pub lost_share: f64,
    /// Prompt tokens that an endpoint reads per millisecond.
    pub read_rate: f64,
    /// Whether the planner runs.
    pub is_planned: bool,
    /// Varies the counts of the reports.
    rng: Pcg32,
    /// The longest time to a first event as a share of the objective, since it was last reset.
    pub longest_wait: f64,
    /// The longest time that prompts waited for others, in milliseconds, since it was last reset.
    pub longest_queue_ms: f64,
    /// The time in which requests waited beyond their objective, in milliseconds.
    pub late_ms: u64,
    /// The price of all endpoint-seconds so far.
    pub cost: f64,
}

pub fn usual_scaling() -> ServiceScaling {
    ServiceScaling {
        scaling: Scaling {
            minimum: 1,
            maximum: 30,
            boot: Millis(BOOT_MS),
            spot_price: Some(0.15),
            ..Scaling::default()
        },
        slots: 48,
        cache_tokens: 247_867,
        prefill_tokens_per_ms: 40.0,
    }
}

impl Simulation {
    /// Starts with 15 ordinary endpoints in each data centre and a new holder.
    pub fn new(scaling: ServiceScaling) -> Simulation {
        let data_centre = DataCentre {
            ordinary: Endpoints::present(15.min(scaling.scaling.maximum)),
            spot: Endpoints::default(),
            has_spot: true,
            reclaimed: 0,
            is_silent: false,
            daemons: 2,
            callers: 1.0 / DATA_CENTRES.len() as f64,
        };
        let mut simulation = Simulation {
            now: 0,
            scaling,
            planner: CapacityPlanner::new(Millis(0)),
            data_centres: DATA_CENTRES.map(|name| (name, data_centre.clone())).into(),
            load: 1.0,
            orders: Vec::new(),
            backlog: 0.0,
            streams: [0.0; 3],
            begun: 0.0,
            late: 0.0,
            lost_share: 0.0,
            read_rate: READ_RATE,
            is_planned: true,
            rng: Pcg32::new(7, 1),
            longest_wait: 0.0,
            longest_queue_ms: 0.0,
            late_ms: 0,
            cost: 0.0,
        };
        (0..STEADY_TICKS).for_each(|_| simulation.tick());
        simulation.reset_waits();
        (simulation.begun, simulation.late, simulation.cost) = (0.0, 0.0, 0.0);
        simulation
    }

    pub fn reset_waits(&mut self) {
        (self.longest_wait, self.longest_queue_ms, self.late_ms) = (0.0, 0.0, 0);
    }

    /// Advances the time; the planner runs each second.
    pub fn run(&mut self, seconds: u64) {
        let until = self.now + seconds * 1_000;
        while self.now < until {
            if self.is_planned && self.now.is_multiple_of(1_000) {
                self.plan();
            }
            self.tick();
            self.now += TICK_MS;
        }
    }

    /// The number of serving endpoints of a kind.
    pub fn serving(&self, kind: EndpointKind) -> u32 {
        let all = self.data_centres.values();
        all.map(|data_centre| data_centre.of(kind).serving(self.now)).sum()
    }

    /// The endpoints that are billed at present, in prices of ordinary ones.
    pub fn price(&self) -> f64 {
        let price = |data_centre: &DataCentre| {
            f64::from(data_centre.ordinary.desired)
                + f64::from(data_centre.spot.desired)
                    * self.scaling.scaling.spot_price.unwrap_or(0.0)
        };
        self.data_centres.values().map(price).sum()
    }

    /// The platform takes all spot endpoints of a data centre away and has no others. The order stays
    /// if `is_order_kept`, so that it is carried out when there are some again.
    pub fn reclaim(&mut self, name: &str, is_order_kept: bool) {
        let now = self.now;
        let data_centre = self.data_centre(name);
        data_centre.has_spot = false;
        data_centre.reclaimed = data_centre.spot.serving(now);
        data_centre.spot.serves_at.clear();
        if !is_order_kept {
            data_centre.spot.desired = 0;
        }
    }

    /// The platform has spot endpoints again.
    pub fn restore_spot(&mut self, name: &str) {
        let now = self.now;
        let data_centre = self.data_centre(name);
        data_centre.has_spot = true;
        data_centre.reclaimed = 0;
        let desired = data_centre.spot.desired;
        data_centre.spot.order(desired, now);
    }

    pub fn data_centre(&mut self, name: &str) -> &mut DataCentre {
        self.data_centres.get_mut(name).expect("the data centre exists")
    }

    /// The orders since a time.
    pub fn orders_since(&self, since: u64) -> impl Iterator<Item = &Order> {
        self.orders.iter().filter(move |(at, ..)| *at >= since).map(|(_, order, _)| order)
    }

    fn plan(&mut self) {
        let demand = self.demand();
        (self.begun, self.late) = (0.0, 0.0);
        // A refused order is followed by another at once.
        for _ in 0..5 {
            let orders = self.planner.plan(&demand, &self.scaling, usize::MAX, Millis(self.now));
            for order in orders {
                let outcome = self.carry_out(&order);
                self.planner.record(&order, outcome, Millis(self.now));
                self.orders.push((self.now, order, outcome));
            }
        }
    }

    fn carry_out(&mut self, order: &Order) -> OrderOutcome {
        let now = self.now;
        let limits = self.scaling.scaling.clone();
        let is_lost = self.rng.random_bool(self.lost_share);
        let is_in_force = !is_lost || self.rng.random_bool(0.5);
        let data_centre = self.data_centre(&order.data_centre);
        let (before, expected_before) = (data_centre.desired(), data_centre.expected());
        if order.kind == EndpointKind::Spot && !data_centre.has_spot && order.count > 0 {
            return OrderOutcome::Unavailable;
        }
        if !is_in_force {
            return OrderOutcome::Unknown;
        }
        match order.kind {
            EndpointKind::Ordinary => data_centre.ordinary.order(order.count, now),
            EndpointKind::Spot => data_centre.spot.order(order.count, now),
        }
        let (total, expected) = (data_centre.desired(), data_centre.expected());
        assert!(expected >= limits.minimum.min(expected_before), "{order:?} leaves {expected}");
        assert!(total <= limits.maximum.max(before), "{order:?} makes {total}");
        if is_lost { OrderOutcome::Unknown } else { OrderOutcome::Accepted }
    }

    pub fn demand(&mut self) -> ServiceDemand {
        let work = self.work();
        let mut rng = self.rng.clone();
        let _: u32 = self.rng.random();
        let demands = self.data_centres.iter().map(|(name, data_centre)| {
            let reporting = if data_centre.is_silent { 0 } else { data_centre.daemons };
            let demand = DataCentreDemand {
                daemons: data_centre.daemons,
                reporting,
                work: if data_centre.is_silent {
                    Work::default()
                } else {
                    scaled(&work, data_centre.callers * rng.random_range(REPORT_NOISE))
                },
                endpoints: EndpointCounts {
                    ordinary: data_centre.ordinary.serving(self.now),
                    spot: data_centre.spot.serving(self.now),
                    reclaimed: data_centre.reclaimed,
                },
            };
            ((*name).to_owned(), demand)
        });
        ServiceDemand {
            service: SERVICE.to_owned(),
            daemons: 0,
            confirmed_at: Millis(self.now),
            data_centres: demands.collect(),
        }
    }

    fn work(&self) -> Work {
        let sum = |value: fn(&Class) -> f64| -> f64 {
            CLASSES.iter().map(|class| class.per_second * value(class)).sum::<f64>() * self.load
        };
        let held = CLASSES.iter().zip(self.streams).map(|(class, n)| class.held_tokens * n);
        Work {
            placed: sum(|_| 1.0),
            prompt_tokens: sum(|class| class.prompt_tokens),
            begun: self.begun,
            begun_late: self.late,
            in_flight: self.streams.iter().sum::<f64>() + self.backlog / 2_000.0,
            held_tokens: held.sum(),
            unread_tokens: self.backlog,
            ..Work::default()
        }
    }

    fn endpoints(&self) -> f64 {
        let worth = |data_centre: &DataCentre| {
            data_centre.ordinary.effective(self.now) + data_centre.spot.effective(self.now)
        };
        self.data_centres.values().map(worth).sum()
    }

    fn tick(&mut self) {
        let endpoints = self.endpoints().max(0.1);
        let tick_ms = TICK_MS as f64;
        let capacity = endpoints * self.read_rate * tick_ms;
        let arrived: f64 = CLASSES
            .iter()
            .map(|class| class.per_second * class.prompt_tokens * self.load * tick_ms / 1_000.0)
            .sum();
        self.backlog += arrived;
        let read = self.backlog.min(capacity);
        let waiting = self.backlog;
        self.backlog -= read;
        let share = read / capacity;
        let streams: f64 = self.streams.iter().sum();
        let step_ms = STEP_MS + STEP_REQUEST_MS * (streams / endpoints).min(48.0);
        let full = (48.0 * endpoints / streams.max(1.0)).min(1.0);
        let steps_per_ms = ((1.0 - share) / step_ms + share / CHUNK_MS) * full;
        let queue_ms = self.backlog / (endpoints * self.read_rate);
        self.longest_queue_ms = self.longest_queue_ms.max(queue_ms);
        for (class, running) in CLASSES.iter().zip(&mut self.streams) {
            let begun = class.per_second * self.load * tick_ms / 1_000.0 * read / waiting.max(1.0);
            *running += begun;
            *running -= (*running * steps_per_ms * tick_ms / class.response_tokens).min(*running);
            let wait_ms = queue_ms
                + class.prompt_tokens / self.read_rate
                + EVENT_TOKENS / steps_per_ms.max(1e-6);
            let wait = wait_ms / class.objective_ms;
            self.longest_wait = self.longest_wait.max(wait);
            self.begun += begun;
            if wait > 0.5 {
                self.late += begun;
            }
            if wait > 1.0 {
                self.late_ms += TICK_MS;
            }
        }
        self.cost += self.price() * tick_ms / 1_000.0;
    }
}

impl DataCentre {
    /// The endpoints that are ordered.
    fn desired(&self) -> u32 {
        self.ordinary.desired + self.spot.desired
    }

    /// The ordered endpoints that serve or will.
    fn expected(&self) -> u32 {
        (self.ordinary.serves_at.len() + self.spot.serves_at.len()) as u32
    }

    pub fn of(&self, kind: EndpointKind) -> &Endpoints {
        match kind {
            EndpointKind::Ordinary => &self.ordinary,
            EndpointKind::Spot => &self.spot,
        }
    }
}

fn scaled(work: &Work, share: f64) -> Work {
    Work {
        placed: work.placed * share,
        prompt_tokens: work.prompt_tokens * share,
        refused: work.refused * share,
        begun: work.begun * share,
        begun_late: work.begun_late * share,
        in_flight: work.in_flight * share,
        queued: work.queued * share,
        held_tokens: work.held_tokens * share,
        unread_tokens: work.unread_tokens * share,
    }
}
