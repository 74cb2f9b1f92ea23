use std::collections::BTreeMap;

/// Buckets of a distribution; each is wider than the previous one by the square root of two.
const BUCKETS: usize = 32;

/// The factor by which older weights decay when a response is added.
const DECAY: f32 = 0.98;

/// The expected length before any response was observed.
const DEFAULT_LENGTH_TOKENS: u32 = 256;

/// The total weight from which an account's own distribution is used.
const MIN_ACCOUNT_WEIGHT: f32 = 10.0;

/// An exponentially decaying histogram of response lengths.
#[derive(Clone, Debug, Default)]
pub(super) struct LengthDistribution {
    counts: [f32; BUCKETS],
    total: f32,
}

fn bucket(tokens: u32) -> usize {
    let log = 2.0 * f64::from(tokens.max(1)).log2();
    (log as usize).min(BUCKETS - 1)
}

/// Returns the middle of a bucket, in tokens.
fn bucket_middle(bucket: usize) -> u32 {
    2f64.powf((bucket as f64 + 0.5) / 2.0) as u32
}

impl LengthDistribution {
    /// Adds the length of a response, in tokens.
    pub(super) fn add(&mut self, tokens: u32) {
        self.counts.iter_mut().for_each(|c| *c *= DECAY);
        self.total = self.total * DECAY + 1.0;
        self.counts[bucket(tokens)] += 1.0;
    }

    /// Returns a quantile of the tokens that follow after `generated` tokens.
    pub(super) fn remaining(&self, generated: u32, quantile: f32) -> u32 {
        let first = bucket(generated.max(1));
        let total: f32 = self.counts[first..].iter().sum();
        if total <= 0.0 {
            return (generated / 2).max(16);
        }
        let mut left = total * quantile;
        for (index, count) in self.counts.iter().enumerate().skip(first) {
            left -= count;
            if left <= 0.0 {
                return bucket_middle(index).saturating_sub(generated).max(1);
            }
        }
        bucket_middle(BUCKETS - 1).saturating_sub(generated).max(1)
    }
}

/// Response lengths by class, and by class of each account.
#[derive(Clone, Debug, Default)]
pub(super) struct LengthEstimator {
    classes: BTreeMap<String, LengthDistribution>,
    accounts: BTreeMap<String, BTreeMap<String, LengthDistribution>>,
}

impl LengthEstimator {
    /// Adds the length of a response, in tokens.
    pub(super) fn add(&mut self, class: &str, account: &str, tokens: u32) {
        distribution_of(&mut self.classes, class).add(tokens);
        let classes = match self.accounts.get_mut(account) {
            Some(classes) => classes,
            None => self.accounts.entry(account.to_string()).or_default(),
        };
        distribution_of(classes, class).add(tokens);
    }

    /// Returns a quantile of the remaining tokens; uses the account's own lengths if there are
    /// enough, else those of the class.
    pub(super) fn remaining(
        &self,
        class: &str,
        account: &str,
        generated: u32,
        quantile: f32,
    ) -> u32 {
        let own = self.accounts.get(account).and_then(|classes| classes.get(class));
        let own = own.filter(|lengths| lengths.total >= MIN_ACCOUNT_WEIGHT);
        match own.or_else(|| self.classes.get(class)) {
            Some(lengths) => lengths.remaining(generated, quantile),
            None => DEFAULT_LENGTH_TOKENS.saturating_sub(generated).max(16),
        }
    }
}

fn distribution_of<'a>(
    classes: &'a mut BTreeMap<String, LengthDistribution>,
    class: &str,
) -> &'a mut LengthDistribution {
    if !classes.contains_key(class) {
        classes.insert(class.to_string(), LengthDistribution::default());
    }
    classes.get_mut(class).expect("inserted above")
}
