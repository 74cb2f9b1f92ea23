use decision::load::Mechanisms;

/// Policies that switch off one mechanism of the scheduler each.
pub const ABLATIONS: [&str; 14] = [
    "no_preemption",
    "no_pause",
    "no_floors",
    "no_early_refusal",
    "no_fairness",
    "no_exchange",
    "no_affinity",
    "no_observation",
    "no_slow_reentry",
    "no_spill",
    "no_spill_limit",
    "no_retry_budget",
    "no_lengths",
    "no_limits",
];

/// The mechanisms of `chervilspur`, which has all of them, or of an ablation; `None` for other
/// names.
pub fn mechanisms(name: &str) -> Option<Mechanisms> {
    let all = Mechanisms::default();
    let found = match name {
        "chervilspur" => all,
        "no_preemption" => Mechanisms { preemption: false, ..all },
        "no_pause" => Mechanisms { pause: false, ..all },
        "no_floors" => Mechanisms { floors: false, ..all },
        "no_early_refusal" => Mechanisms { early_refusal: false, ..all },
        "no_fairness" => Mechanisms { fairness: false, ..all },
        "no_exchange" => Mechanisms { exchange: false, ..all },
        "no_affinity" => Mechanisms { affinity: false, ..all },
        "no_observation" => Mechanisms { observation: false, ..all },
        "no_slow_reentry" => Mechanisms { slow_start: false, ..all },
        "no_spill" => Mechanisms { spill: false, ..all },
        "no_spill_limit" => Mechanisms { link_budget: false, ..all },
        "no_retry_budget" => Mechanisms { retry_budget: false, ..all },
        "no_lengths" => Mechanisms { lengths: false, ..all },
        "no_limits" => Mechanisms { limits: false, ..all },
        _ => return None,
    };
    Some(found)
}
