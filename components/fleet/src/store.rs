use decision::Millis;
use decision::cluster::StoreCall;

/// Time after which a watch without a change expires.
pub const WATCH_LIMIT: Millis = Millis(30_000);

/// A simulated object API with one object, which counts its calls.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Version of the object, 0 if it doesn't exist.
    pub version: u64,
    /// Revision of the lists in the object.
    pub revision: u64,
    /// Text of both lists.
    pub text: String,
    /// Whether calls fail, as in an outage.
    pub is_down: bool,
    /// Number of calls, including failed ones.
    pub calls: u64,
    /// Open watches: node, its incarnation and the deadline.
    pub watches: Vec<(usize, u64, Millis)>,
}

impl Store {
    /// Replaces the lists and increments the version.
    pub fn put(&mut self, revision: u64, text: String) {
        self.version += 1;
        self.revision = revision;
        self.text = text;
    }

    /// Whether the response to a call needs no wait for a change.
    pub fn responds_at_once(&self, call: StoreCall) -> bool {
        match call {
            StoreCall::Read => true,
            StoreCall::Watch { after } => after != self.version,
        }
    }
}

/// Lists of `accounts` client accounts as text. `edition` selects the account whose plan differs
/// from the others, and that plan.
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
