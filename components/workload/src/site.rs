/// A request class of a workload.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name, as in the arrivals that daemons see.
    pub name: &'static str,
    /// Priority; 1 is the highest.
    pub tier: u8,
    /// Target for the time to the first token.
    pub first_token_ms: u64,
    /// Target for the time to the complete response.
    pub finish_ms: u64,
    /// Guaranteed share of the pool, 0 to 1.
    pub floor: f64,
    /// Mean length of a prompt.
    pub mean_prompt_tokens: f64,
    /// Mean length of a response.
    pub mean_response_tokens: f64,
}

/// The installation of one user: instances, client accounts and request classes.
#[derive(Clone, Debug)]
pub struct Site {
    /// Short name of the user.
    pub name: &'static str,
    /// Data centres in the order of their indices.
    pub data_centres: Vec<DataCentre>,
    /// Concurrent streams per engine.
    pub slots: u32,
    /// Number of client accounts.
    pub accounts: usize,
    /// Fraction of the traffic that the three largest client accounts send.
    pub large_account_share: f64,
    /// Request classes in the order of their indices.
    pub classes: Vec<ClassSpec>,
}

/// A data centre of a site.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Name, as in the gossip between daemons.
    pub name: &'static str,
    /// Index of the region, 0 or 1.
    pub region: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
}

const fn class(
    name: &'static str,
    tier: u8,
    targets_ms: (u64, u64),
    floor: f64,
    mean_tokens: (f64, f64),
) -> ClassSpec {
    let (first_token_ms, finish_ms) = targets_ms;
    let (mean_prompt_tokens, mean_response_tokens) = mean_tokens;
    ClassSpec {
        name,
        tier,
        first_token_ms,
        finish_ms,
        floor,
        mean_prompt_tokens,
        mean_response_tokens,
    }
}

fn three_data_centres(names: [&'static str; 3]) -> Vec<DataCentre> {
    let sizes = [(0, 3, 4), (0, 2, 4), (1, 2, 4)];
    let of = |(name, (region, daemons, engines))| DataCentre { name, region, daemons, engines };
    names.into_iter().zip(sizes).map(of).collect()
}

impl Site {
    /// Empresa Municipal de Servicios de Medellín Sur.
    pub fn medellin() -> Site {
        Site {
            name: "medellin",
            data_centres: three_data_centres(["aburra-norte", "aburra-sur", "rionegro"]),
            slots: 16,
            accounts: 10,
            large_account_share: 0.7,
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
            data_centres: three_data_centres(["squamish", "pemberton", "nelson"]),
            classes: vec![
                class("hazard_chat", 1, (1_000, 15_000), 0.0, (600.0, 120.0)),
                class("last_entry", 2, (2_000, 20_000), 0.0, (1_200.0, 100.0)),
                class("season_digest", 3, (20_000, 40_000), 0.05, (2_500.0, 250.0)),
                class("scan_cleanup", 4, (25_000, 45_000), 0.05, (1_200.0, 200.0)),
            ],
            ..Site::medellin()
        }
    }

    /// The largest size that the system is designed for, with the classes of Medellín Sur.
    pub fn full() -> Site {
        let of = |name, region| DataCentre { name, region, daemons: 90, engines: 232 };
        Site {
            name: "full",
            data_centres: vec![of("west-1", 0), of("west-2", 0), of("east-1", 1), of("east-2", 1)],
            slots: 100,
            accounts: 7_800,
            ..Site::medellin()
        }
    }

    /// Response tokens per second of all engines with full batches.
    pub fn capacity_tokens_per_second(&self) -> f64 {
        let engines: usize = self.data_centres.iter().map(|d| d.engines).sum();
        engines as f64 * crate::engine::tokens_per_second(self.slots)
    }
}
