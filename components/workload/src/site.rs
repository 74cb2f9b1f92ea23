/// A request class of a workload.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// The name.
    pub name: &'static str,
    /// The tier; 1 is the highest.
    pub tier: u8,
    /// The target for the first token, in milliseconds.
    pub first_token: u64,
    /// The target for the end of the answer, in milliseconds.
    pub finish: u64,
    /// The floor, as a share of the pool.
    pub floor: f64,
    /// Tokens of a prompt on average.
    pub prompt: f64,
    /// Tokens of an answer on average.
    pub answer: f64,
}

/// Where a user's system runs.
#[derive(Clone, Debug)]
pub struct Site {
    /// The user.
    pub name: &'static str,
    /// Data centres, each with the number of its region, its daemons and its runners.
    pub data_centres: Vec<DataCentre>,
    /// Streams of a runner.
    pub slots: u32,
    /// Client accounts.
    pub accounts: usize,
    /// The part of the traffic that the three largest accounts send.
    pub large_part: f64,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
}

/// A data centre of a site.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// The name.
    pub name: &'static str,
    /// The number of the region.
    pub region: usize,
    /// Daemons.
    pub daemons: usize,
    /// Runners.
    pub runners: usize,
}

const fn class(
    name: &'static str,
    tier: u8,
    targets: (u64, u64),
    floor: f64,
    tokens: (f64, f64),
) -> ClassSpec {
    let (first_token, finish) = targets;
    let (prompt, answer) = tokens;
    ClassSpec { name, tier, first_token, finish, floor, prompt, answer }
}

fn three(names: [&'static str; 3]) -> Vec<DataCentre> {
    let sizes = [(0, 3, 4), (0, 2, 4), (1, 2, 4)];
    let of = |(name, (region, daemons, runners))| DataCentre { name, region, daemons, runners };
    names.into_iter().zip(sizes).map(of).collect()
}

impl Site {
    /// Empresa Municipal de Servicios de Medellín Sur.
    pub fn medellin() -> Site {
        Site {
            name: "medellin",
            data_centres: three(["aburra-norte", "aburra-sur", "rionegro"]),
            slots: 16,
            accounts: 10,
            large_part: 0.7,
            classes: vec![
                class("route_plan", 1, (2_000, 30_000), 0.0, (1_500.0, 250.0)),
                class("staff_chat", 2, (1_000, 15_000), 0.0, (600.0, 100.0)),
                class("visit_digest", 3, (20_000, 40_000), 0.05, (2_000.0, 200.0)),
                class("refusal_summary", 4, (25_000, 45_000), 0.05, (1_500.0, 150.0)),
            ],
        }
    }

    /// Coast Range Bothy Trust.
    pub fn trust() -> Site {
        Site {
            name: "trust",
            data_centres: three(["squamish", "pemberton", "nelson"]),
            classes: vec![
                class("hazard_chat", 1, (1_000, 15_000), 0.0, (600.0, 120.0)),
                class("last_entry", 2, (2_000, 20_000), 0.0, (1_200.0, 100.0)),
                class("season_digest", 3, (20_000, 40_000), 0.05, (2_500.0, 250.0)),
                class("scan_cleanup", 4, (25_000, 45_000), 0.05, (1_200.0, 200.0)),
            ],
            ..Site::medellin()
        }
    }

    /// The size to design for, with the classes of Medellín Sur.
    pub fn full() -> Site {
        let of = |name, region| DataCentre { name, region, daemons: 90, runners: 232 };
        Site {
            name: "full",
            data_centres: vec![of("west-1", 0), of("west-2", 0), of("east-1", 1), of("east-2", 1)],
            slots: 100,
            accounts: 7_800,
            ..Site::medellin()
        }
    }

    /// The tokens a second of all runners.
    pub fn capacity(&self) -> f64 {
        let runners: usize = self.data_centres.iter().map(|d| d.runners).sum();
        runners as f64 * crate::engine::capacity(self.slots)
    }
}
