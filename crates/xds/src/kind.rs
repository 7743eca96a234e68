//! The types of resources.

/// A type of resource, in make-before-break order: what is referred to comes before what refers to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// CDS.
    Cluster,
    /// EDS.
    Endpoint,
    /// LDS.
    Listener,
    /// RDS.
    Route,
}

impl Kind {
    /// All, in make-before-break order.
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoint, Kind::Listener, Kind::Route];

    /// Its type URL.
    pub fn url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoint => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The type with this URL.
    pub fn from_url(url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.url() == url)
    }

    /// Whether a state-of-the-world answer must hold all that is subscribed, so that what is missing is gone;
    /// the other types may be answered in part (xDS protocol, "Grouping Resources into Responses").
    pub fn whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
