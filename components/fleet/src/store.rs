use decision::Millis;
use decision::cluster::StoreCall;

/// The time that a watch waits for a change.
pub const WATCH_LIMIT: Millis = Millis(30_000);

/// The object API as the fleet sees it: one object, calls counted.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// The version of the object.
    pub version: u64,
    /// The revision that its value names.
    pub revision: u64,
    /// Both lists.
    pub text: String,
    /// Whether calls fail.
    pub is_down: bool,
    /// Calls taken, those that failed too.
    pub calls: u64,
    /// Watches that wait: the node, its incarnation and the deadline.
    pub waiting: Vec<(usize, u64, Millis)>,
}

impl Store {
    /// Replaces the lists.
    pub fn put(&mut self, revision: u64, text: String) {
        self.version += 1;
        self.revision = revision;
        self.text = text;
    }

    /// Returns whether a call is answered at once.
    pub fn answers(&self, call: StoreCall) -> bool {
        match call {
            StoreCall::Read => true,
            StoreCall::Watch { after } => after != self.version,
        }
    }
}

/// Returns lists of `accounts` client accounts as text; `edition` tells one account's plan.
pub fn lists_text(accounts: usize, edition: u64) -> String {
    let mut text = String::from("{\"plans\":{\"accounts\":{");
    let changed = edition.wrapping_mul(7_919) as usize % accounts.max(1);
    for i in 0..accounts {
        let plan = if i == changed { edition } else { 0 };
        let key = (i as u128 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let comma = if i == 0 { "" } else { "," };
        text.push_str(&format!(
            "{comma}\"account-{i:05}\":{{\"plan\":\"plan-{plan}\",\"key_sha256\":\"{key:032x}{:032x}\"}}",
            key.rotate_left(64)
        ));
    }
    text.push_str("}}}");
    text
}
