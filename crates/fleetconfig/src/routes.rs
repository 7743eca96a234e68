//! Finds the route of a request.

use crate::{FleetConfig, Route, Service};
use std::collections::HashMap;

/// The routes of a configuration, by host and prefix.
pub struct RouteTable {
    config: FleetConfig,
    by_host: HashMap<String, HashMap<String, usize>>,
}

/// The route and service of a request.
#[derive(Clone, Copy)]
pub struct Routed<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service, drawn from the route's shares.
    pub service: &'a Service,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().insert(route.path_prefix.clone(), index);
        }
        RouteTable { config, by_host }
    }

    /// The configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The route with the longest prefix of the path, and one of its services by weight; `draw` is a uniform random number
    /// in [0, 1). None where no route matches.
    pub fn find(&self, host: &str, path: &str, draw: f64) -> Option<Routed<'_>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash, so the candidates are the prefixes of the path up to each of its slashes.
        let ends = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(at, _)| at + 1);
        let mut ends: Vec<usize> = ends.collect();
        ends.reverse();
        let index = ends.into_iter().find_map(|end| prefixes.get(&path[..end]))?;
        let route = &self.config.routes[*index];
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        let mut drawn = None;
        for share in route.shares.iter().filter(|share| share.weight > 0.0) {
            drawn = Some(share.service);
            if left < share.weight {
                break;
            }
            left -= share.weight;
        }
        Some(Routed { route, service: &self.config.services[drawn?] })
    }
}
