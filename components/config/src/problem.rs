use snafu::Snafu;

/// An error in one of the two files.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {}{problem}", prefix(key)))]
pub struct ListError {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The key with its tables, joined by dots.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with a key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Problem {
    /// The text is not TOML, or a value has another type than the key asks for.
    #[snafu(display("{text}"))]
    Syntax {
        /// What the parser says.
        text: String,
    },
    /// A name cannot be used in a header.
    #[snafu(display(
        "the name {name:?} is not made of 1 to 63 lower-case letters, digits and inner hyphens"
    ))]
    Name {
        /// The name.
        name: String,
    },
    /// A client account holds a plan that the second list lacks.
    #[snafu(display("unknown plan {plan:?}"))]
    UnknownPlan {
        /// The plan.
        plan: String,
    },
    /// A plan grants a class that the second list lacks.
    #[snafu(display("unknown class {class:?}"))]
    UnknownClass {
        /// The class.
        class: String,
    },
    /// A pool answers no class.
    #[snafu(display("no class is answered by {pool:?}"))]
    UnknownPool {
        /// The pool.
        pool: String,
    },
    /// A digest is not one.
    #[snafu(display("not a SHA-256 of 64 lower-case hexadecimal digits: {digest:?}"))]
    Digest {
        /// The text given as a digest.
        digest: String,
    },
    /// Two client accounts have one key.
    #[snafu(display("client account {account:?} has the same key"))]
    SharedKey {
        /// The other client account.
        account: String,
    },
    /// A class names no model and no plain service, or both.
    #[snafu(display("either model or service must be set"))]
    Serves,
    /// A model's answers can be had again, so nothing records that one was made.
    #[snafu(display("a class that a model answers must be repeatable"))]
    NotRepeatable,
    /// A class lacks a target.
    #[snafu(display("the target is missing; it must be at least 1 ms"))]
    NoTarget,
    /// An answer would have to end before it begins.
    #[snafu(display("finish_ms = {finish_ms} is below first_token_ms = {first_token_ms}"))]
    TargetOrder {
        /// The time for the whole answer.
        finish_ms: u64,
        /// The time for the first token.
        first_token_ms: u64,
    },
    /// A tier is out of range.
    #[snafu(display("tier {tier} is not between 1 and 4"))]
    Tier {
        /// The tier.
        tier: u8,
    },
    /// A limit grants nothing.
    #[snafu(display("the limit must be at least 1"))]
    NoLimit,
    /// A floor is no share.
    #[snafu(display("floor {floor} is not between 0 and 1 in steps of 0.001"))]
    Floor {
        /// The floor.
        floor: String,
    },
    /// The share of a data centre is no share.
    #[snafu(display("share {share} is not above 0 and at most 1 in steps of 0.001"))]
    Share {
        /// The share.
        share: String,
    },
    /// The data centres together would grant more than the limits.
    #[snafu(display("the shares add up to {thousandths} thousandths, more than 1000"))]
    Shares {
        /// The sum of all shares, in thousandths.
        thousandths: u64,
    },
    /// A floor is a share of something unknown.
    #[snafu(display("the floor needs {limit} in pools.{pool}"))]
    NoCapacity {
        /// The pool.
        pool: String,
        /// The key that is missing.
        limit: &'static str,
    },
    /// The limits of higher tiers and the floors exceed the pool.
    #[snafu(display(
        "no room for the floor: the limits of the tiers above {tier} and the floors need {needed} \
         of {pool} a minute, which has {capacity}"
    ))]
    NoRoom {
        /// The lowest tier in which the class is granted.
        tier: u8,
        /// The pool.
        pool: String,
        /// What limits and floors add up to, a minute.
        needed: u64,
        /// What the pool can do, a minute.
        capacity: u64,
    },
}

/// A problem of a whole file has no key.
fn prefix(key: &str) -> String {
    if key.is_empty() { String::new() } else { format!("{key}: ") }
}
