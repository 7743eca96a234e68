//! Resource types.

/// A resource type, in make-before-break order: referenced types precede the types that refer to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// CDS.
    Cluster,
    /// EDS.
    Endpoint,
    /// LDS.
    Listener,
    /// RDS.
    Route,
}

impl ResourceType {
    /// All types in make-before-break order.
    pub const ALL: [ResourceType; 4] =
        [ResourceType::Cluster, ResourceType::Endpoint, ResourceType::Listener, ResourceType::Route];

    /// The type URL.
    pub fn url(self) -> &'static str {
        match self {
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Endpoint => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The type with this URL.
    pub fn from_url(url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|kind| kind.url() == url)
    }

    /// Whether a state-of-the-world response must hold all subscribed resources, so that a missing one counts as
    /// removed. Responses of the other types may be partial (xDS protocol, "Grouping Resources into Responses").
    pub fn requires_full_state(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
