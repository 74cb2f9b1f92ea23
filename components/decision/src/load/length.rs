use std::collections::BTreeMap;

/// Buckets of a distribution; each is wider than the one before by the square root of two.
const BUCKETS: usize = 32;

/// The weight that older answers keep when one is added.
const KEEP: f32 = 0.98;

/// The tokens expected before any answer was seen.
const UNKNOWN_LENGTH: u32 = 256;

/// The weight of answers from which an account's own distribution is used.
const ENOUGH: f32 = 10.0;

/// A distribution of answer lengths in which old answers fade.
#[derive(Clone, Debug, Default)]
pub(super) struct Lengths {
    counts: [f32; BUCKETS],
    total: f32,
}

fn bucket(tokens: u32) -> usize {
    let log = 2.0 * f64::from(tokens.max(1)).log2();
    (log as usize).min(BUCKETS - 1)
}

/// Returns the middle of a bucket, in tokens.
fn middle(bucket: usize) -> u32 {
    2f64.powf((bucket as f64 + 0.5) / 2.0) as u32
}

impl Lengths {
    /// Adds the length of an answer.
    pub(super) fn add(&mut self, tokens: u32) {
        self.counts.iter_mut().for_each(|c| *c *= KEEP);
        self.total = self.total * KEEP + 1.0;
        self.counts[bucket(tokens)] += 1.0;
    }

    /// Returns the quantile of the tokens still to come when `generated` have.
    pub(super) fn remaining(&self, generated: u32, quantile: f32) -> u32 {
        let first = bucket(generated.max(1));
        let total: f32 = self.counts[first..].iter().sum();
        if total <= 0.0 {
            return (generated / 2).max(16);
        }
        let mut left = total * quantile;
        for (at, count) in self.counts.iter().enumerate().skip(first) {
            left -= count;
            if left <= 0.0 {
                return middle(at).saturating_sub(generated).max(1);
            }
        }
        middle(BUCKETS - 1).saturating_sub(generated).max(1)
    }
}

/// Answer lengths by class and by account.
#[derive(Clone, Debug, Default)]
pub(super) struct LengthBook {
    classes: BTreeMap<String, Lengths>,
    accounts: BTreeMap<String, BTreeMap<String, Lengths>>,
}

impl LengthBook {
    /// Adds the length of an answer.
    pub(super) fn add(&mut self, class: &str, account: &str, tokens: u32) {
        of(&mut self.classes, class).add(tokens);
        let classes = match self.accounts.get_mut(account) {
            Some(classes) => classes,
            None => self.accounts.entry(account.to_string()).or_default(),
        };
        of(classes, class).add(tokens);
    }

    /// Returns the quantile of the tokens still to come.
    pub(super) fn remaining(
        &self,
        class: &str,
        account: &str,
        generated: u32,
        quantile: f32,
    ) -> u32 {
        let own = self.accounts.get(account).and_then(|classes| classes.get(class));
        let own = own.filter(|lengths| lengths.total >= ENOUGH);
        match own.or_else(|| self.classes.get(class)) {
            Some(lengths) => lengths.remaining(generated, quantile),
            None => UNKNOWN_LENGTH.saturating_sub(generated).max(16),
        }
    }
}

fn of<'a>(classes: &'a mut BTreeMap<String, Lengths>, class: &str) -> &'a mut Lengths {
    if !classes.contains_key(class) {
        classes.insert(class.to_string(), Lengths::default());
    }
    classes.get_mut(class).expect("inserted above")
}
