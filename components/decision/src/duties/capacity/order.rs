use crate::duties::DutyCall;

/// How the endpoints of an order are billed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndpointKind {
    /// The full price; the platform does not reclaim them.
    #[default]
    Ordinary,
    /// A lower price; the platform may reclaim all those of a data centre at once.
    Spot,
}

/// The number of endpoints of one kind that a service is to have in a data centre.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// The kind of the endpoints; each kind is counted separately.
    pub kind: EndpointKind,
    /// The number of endpoints.
    pub count: u32,
}

/// How the platform responded to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order is in force.
    Accepted,
    /// No endpoints of the kind are available in the data centre at present.
    Unavailable,
    /// There was no usable response, so the order may or may not be in force.
    Unknown,
}

/// The number of endpoints that are ordered at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderedCount<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre.
    pub data_centre: &'a str,
    /// The kind of the endpoints.
    pub kind: EndpointKind,
    /// The number of endpoints.
    pub count: u32,
}

impl Order {
    /// Returns the call to the platform that gives the order.
    pub fn call(&self) -> DutyCall {
        DutyCall::Scale {
            service: self.service.clone(),
            data_centre: self.data_centre.clone(),
            desired_count: self.count,
            spot: self.kind == EndpointKind::Spot,
        }
    }
}

impl EndpointKind {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointKind::Ordinary => "ordinary",
            EndpointKind::Spot => "spot",
        }
    }
}
