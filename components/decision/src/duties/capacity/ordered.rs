use crate::Millis;

/// Time beyond the boot time after which an order that was not carried out counts as refused.
const ORDER_GRACE: Millis = Millis(6_000);
/// The same for an order that may have been reduced.
const UNCERTAIN_GRACE: Millis = Millis(2_000);

/// The endpoints of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ordered {
    /// The number that is expected to serve.
    pub(super) count: u32,
    /// The greatest number that may be ordered at the platform: an order without a response may be
    /// in force, and one whose endpoints were reclaimed or refused may be carried out later.
    pub(super) standing: u32,
    /// Whether the latest order may or may not be in force.
    pub(super) is_uncertain: bool,
    /// When the count was last set or equal to the number of registered endpoints.
    pub(super) at: Millis,
    /// When it was last changed.
    pub(super) changed_at: Millis,
}

impl Ordered {
    pub(super) fn new(count: u32, now: Millis) -> Ordered {
        Ordered { count, standing: count, is_uncertain: false, at: now, changed_at: now }
    }

    /// Records the registered endpoints. If their number differs from the ordered one, it replaces it:
    /// at once if the former holder may have ordered them (`is_first`), otherwise after the time in
    /// which an order takes effect. Returns whether endpoints that were ordered have not come.
    pub(super) fn observe(
        &mut self,
        registered: u32,
        is_first: bool,
        boot: Millis,
        now: Millis,
    ) -> bool {
        let is_missing = registered < self.count;
        let timeout = match is_missing {
            _ if is_first => Millis(0),
            true if self.is_uncertain => UNCERTAIN_GRACE,
            true => boot + ORDER_GRACE,
            false => boot,
        };
        if registered == self.count {
            self.at = now;
            return false;
        }
        if now.since(self.at) < timeout {
            return false;
        }
        let was_certain = !self.is_uncertain;
        self.count = registered;
        self.standing = self.standing.max(registered);
        self.at = now;
        is_missing && was_certain && !is_first
    }
}
