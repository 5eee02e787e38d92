//! Route lookup by host and longest path prefix, and weighted choice of a target.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_config::route::Route;

/// The routes of a document, sorted by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    document: Option<Arc<Document>>,
    order: Vec<u32>,
}

impl RouteTable {
    /// Indexes the routes of a document.
    pub fn new(document: &Arc<Document>) -> RouteTable {
        let mut order: Vec<u32> = (0..document.routes.len() as u32).collect();
        order.sort_by_key(|i| sort_key(&document.routes[*i as usize]));
        RouteTable { document: Some(document.clone()), order }
    }

    /// Returns the table for another document, without sorting if its routes are the same.
    pub fn for_document(&self, document: &Arc<Document>) -> RouteTable {
        match &self.document {
            Some(former) if former.routes == document.routes => {
                RouteTable { document: Some(document.clone()), order: self.order.clone() }
            }
            _ => RouteTable::new(document),
        }
    }

    /// Finds the route of a host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let document = self.document.as_ref()?;
        let route = |i: &u32| &document.routes[*i as usize];
        // Prefixes end with a slash, so only parts of the path up to a slash can match.
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        for (end, _) in slashes {
            let key = (host, &path[..=end]);
            if let Ok(at) = self.order.binary_search_by(|i| sort_key(route(i)).cmp(&key)) {
                return Some(route(&self.order[at]));
            }
        }
        None
    }
}

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// Chooses the service of a route in proportion to the weights. `draw` is a uniform random number
/// from 0 to below 1. Returns `None` if all weights are 0.
pub fn pick_target(route: &Route, draw: f64) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut remaining = draw * total as f64;
    for target in route.targets.iter().filter(|t| t.weight > 0) {
        remaining -= f64::from(target.weight);
        if remaining < 0.0 {
            return Some(&target.service);
        }
    }
    route.targets.iter().rfind(|t| t.weight > 0).map(|t| t.service.as_str())
}
