//! Matches requests to routes by path prefix, host and method.

use crate::config::{Route, Tables};
use std::sync::Arc;

/// The routes of a configuration, ordered so that the first match is the most specific one.
#[derive(Clone, Debug, Default)]
pub struct Router {
    /// Sorted by descending path length, so that a longer prefix precedes a shorter one.
    routes: Vec<Arc<Route>>,
}

impl Router {
    /// Returns a router for the routes of `tables`.
    pub fn new(tables: &Tables) -> Self {
        let mut routes: Vec<Arc<Route>> = tables.routes.iter().cloned().map(Arc::new).collect();
        // Among paths of equal length, a route that names a host precedes one that matches any
        // host, then likewise for methods. The name makes the order deterministic.
        routes.sort_by(|a, b| {
            b.path
                .len()
                .cmp(&a.path.len())
                .then(b.host.is_some().cmp(&a.host.is_some()))
                .then(a.methods.is_empty().cmp(&b.methods.is_empty()))
                .then(a.name.cmp(&b.name))
        });
        Router { routes }
    }

    /// Returns the most specific route that matches a request, or `None` if none does.
    ///
    /// `host` is the request's host with or without port; `path` is its path without the query.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Route>> {
        let host = strip_port(host);
        self.routes.iter().find(|r| {
            matches_path(&r.path, path)
                && r.host.as_deref().is_none_or(|h| h.eq_ignore_ascii_case(host))
                && (r.methods.is_empty() || r.methods.iter().any(|m| &**m == method))
        })
    }

    /// Returns all routes, most specific first.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

/// Returns whether `path` equals `prefix` or continues it at a segment boundary.
fn matches_path(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
