use snafu::Snafu;

/// An error in one of the two list files.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {}{problem}", key_prefix(key)))]
pub struct ListError {
    /// The name of the file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The full key with its tables, joined by dots; empty for an error that has no key.
    pub key: String,
    /// What is wrong with the key.
    pub problem: Problem,
}

/// What is wrong with a key of a list file.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Problem {
    /// The text is not TOML, or a value does not have the type of its key.
    #[snafu(display("{text}"))]
    Syntax {
        /// The message of the parser.
        text: String,
    },
    /// A name cannot be sent in a header.
    #[snafu(display(
        "the name {name:?} is not made of 1 to 63 lower-case letters, digits and inner hyphens"
    ))]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// A client account holds a plan that the grants do not define.
    #[snafu(display("unknown plan {plan:?}"))]
    UnknownPlan {
        /// The name of the plan.
        plan: String,
    },
    /// A plan grants a class that the grants do not define.
    #[snafu(display("unknown class {class:?}"))]
    UnknownClass {
        /// The name of the class.
        class: String,
    },
    /// A pool is the model or plain service of no class.
    #[snafu(display("no class has {pool:?} as its model or service"))]
    UnusedPool {
        /// The name of the pool.
        pool: String,
    },
    /// The digest of a client account key is malformed.
    #[snafu(display("not a SHA-256 of 64 lower-case hexadecimal digits: {digest:?}"))]
    InvalidDigest {
        /// The rejected text.
        digest: String,
    },
    /// Two client accounts have the same key.
    #[snafu(display("client account {account:?} has the same key"))]
    SharedKey {
        /// The other client account.
        account: String,
    },
    /// A class names neither a model nor a plain service, or both.
    #[snafu(display("exactly one of model and service must be set"))]
    ModelOrService,
    /// Calls to a model are not recorded, since its response can be generated again; the class
    /// must therefore be repeatable.
    #[snafu(display("a class with a model must be repeatable"))]
    NotRepeatable,
    /// A target of a class is missing or 0.
    #[snafu(display("the target is missing; it must be at least 1 ms"))]
    MissingTarget,
    /// A response would have to end before its first token.
    #[snafu(display("finish_ms = {finish_ms} is below first_token_ms = {first_token_ms}"))]
    TargetOrder {
        /// The target for the complete response.
        finish_ms: u64,
        /// The target for the first token.
        first_token_ms: u64,
    },
    /// A tier is out of range.
    #[snafu(display("tier {tier} is not between 1 and 4"))]
    InvalidTier {
        /// The rejected tier.
        tier: u8,
    },
    /// A limit is missing or 0.
    #[snafu(display("the limit must be at least 1"))]
    MissingLimit,
    /// A floor is out of range or not a multiple of 0.001.
    #[snafu(display("floor {floor} is not between 0 and 1 in steps of 0.001"))]
    InvalidFloor {
        /// The rejected floor.
        floor: String,
    },
    /// The share of a data centre is out of range or not a multiple of 0.001.
    #[snafu(display("share {share} is not above 0 and at most 1 in steps of 0.001"))]
    InvalidShare {
        /// The rejected share.
        share: String,
    },
    /// The data centres together would grant more than the account limits.
    #[snafu(display("the shares add up to {thousandths} thousandths, more than 1000"))]
    SharesExceedWhole {
        /// The sum of all shares, in thousandths.
        thousandths: u64,
    },
    /// A class has a floor, but the capacity of its pool is not set.
    #[snafu(display("the floor needs {limit} in pools.{pool}"))]
    MissingCapacity {
        /// The name of the pool.
        pool: String,
        /// The missing key of the pool.
        limit: &'static str,
    },
    /// The limits of higher tiers and the floors exceed the capacity of the pool.
    #[snafu(display(
        "the floor exceeds the capacity of its pool: the limits of the tiers above {tier} and the \
         floors need {needed_per_minute} per minute, {pool} has {capacity_per_minute}"
    ))]
    InsufficientCapacity {
        /// The lowest tier in which the class is granted.
        tier: u8,
        /// The name of the pool.
        pool: String,
        /// The sum of limits and floors, in tokens or requests per minute.
        needed_per_minute: u64,
        /// The capacity of the pool, in tokens or requests per minute.
        capacity_per_minute: u64,
    },
}

fn key_prefix(key: &str) -> String {
    if key.is_empty() { String::new() } else { format!("{key}: ") }
}
