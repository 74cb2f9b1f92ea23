/// Divides the connections that an endpoint accepts from all daemons together.
///
/// An endpoint resets connections beyond its limit, and a request that was sent on one may have run,
/// so it cannot always be repeated. Idle connections count towards the limit, so each daemon keeps
/// few of them where the limit is small.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionBudget {
    /// Requests that all daemons together may have in flight at the endpoint.
    pub running: u32,
    /// Idle connections to the endpoint that one daemon may keep.
    pub idle: u32,
}

impl ConnectionBudget {
    /// Divides `limit` among `daemons`; a limit of 0 means that there is none. About half of it is
    /// left to idle connections.
    pub fn new(limit: u32, daemons: usize) -> ConnectionBudget {
        if limit == 0 {
            return ConnectionBudget { running: u32::MAX, idle: u32::MAX };
        }
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        let idle = (limit / daemons.saturating_mul(2)).max(1);
        let remainder = limit.saturating_sub(idle.saturating_mul(daemons));
        ConnectionBudget { running: remainder.max(limit.div_ceil(2)), idle }
    }
}
