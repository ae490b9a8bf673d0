//! Index of route matches: finds the first matching route without a scan of all routes.

use crate::config::RouteMatch;
use std::collections::{BTreeSet, HashMap};

/// Positions of routes in the file, by class, tenant and path prefix. A search of a prefix index takes one hash lookup for
/// each distinct prefix length.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteIndex {
    by_class: HashMap<String, TenantIndex>,
    any_class: TenantIndex,
}

/// The prefix indexes of the routes for one class, by tenant.
#[derive(Debug, Clone, Default)]
struct TenantIndex {
    by_tenant: HashMap<String, PrefixIndex>,
    any_tenant: PrefixIndex,
}

/// The first position of each path prefix, and the lengths of all prefixes.
#[derive(Debug, Clone, Default)]
struct PrefixIndex {
    lengths: BTreeSet<usize>,
    first_position: HashMap<String, usize>,
}

impl PrefixIndex {
    /// The first position whose prefix is a prefix of `path`.
    fn first(&self, path: &str) -> Option<usize> {
        let prefixes = self.lengths.iter().map_while(|length| path.as_bytes().get(..*length));
        let positions =
            prefixes.filter_map(|prefix| self.first_position.get(std::str::from_utf8(prefix).ok()?));
        positions.min().copied()
    }
}

impl RouteIndex {
    /// Adds a route's match under its position in the file.
    pub(crate) fn insert(&mut self, matches: &RouteMatch, position: usize) {
        let tenants = match &matches.class {
            Some(class) => self.by_class.entry(class.clone()).or_default(),
            None => &mut self.any_class,
        };
        let prefixes = match &matches.tenant {
            Some(tenant) => tenants.by_tenant.entry(tenant.clone()).or_default(),
            None => &mut tenants.any_tenant,
        };
        let path = matches.path.clone().unwrap_or_default();
        prefixes.lengths.insert(path.len());
        prefixes.first_position.entry(path).or_insert(position);
    }

    /// The first position that matches a request, or that covers all requests of another match.
    pub(crate) fn first(&self, class: Option<&str>, tenant: Option<&str>, path: &str) -> Option<usize> {
        let of_class = class.and_then(|class| self.by_class.get(class));
        let tenants = [of_class, Some(&self.any_class)].into_iter().flatten();
        let prefixes = tenants.flat_map(|tenants| {
            let of_tenant = tenant.and_then(|tenant| tenants.by_tenant.get(tenant));
            [of_tenant, Some(&tenants.any_tenant)].into_iter().flatten()
        });
        prefixes.filter_map(|prefixes| prefixes.first(path)).min()
    }
}
