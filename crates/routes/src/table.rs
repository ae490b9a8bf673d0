//! What the agent looks up for each request.

use crate::check::{check, Diagnostic, Platform};
use crate::config::{HedgePolicy, RetryBudgetConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig};
use bellcroft_balancer::{ConcurrencyLimit, Limits, Micros, RetryBudget, RetryOn};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Names of budgets and bounds that a process has given out; they stay with a route's or a pool's name over reloads,
/// so that a reload neither fills a budget up nor forgets what is out.
#[derive(Debug, Clone, Default)]
pub struct BudgetIds {
    given: HashMap<String, u32>,
}

impl BudgetIds {
    fn of(&mut self, name: String) -> u32 {
        // 0 is the budget of requests without a route.
        let next = self.given.len() as u32 + 1;
        *self.given.entry(name).or_insert(next)
    }
}

/// What a request's route gives it.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What the decisions go by.
    pub limits: Arc<Limits>,
    /// From the decision to send an attempt to an open connection.
    pub connect_timeout: Option<Micros>,
    /// From the request's hand-over to an open connection to the end of the answer's head.
    pub first_byte_timeout: Option<Micros>,
    /// When a second copy goes out.
    pub hedge: HedgePolicy,
}

/// All routes of a file.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<Arc<Route>>,
    index: Index,
}

impl RouteTable {
    /// Checks a file's routes and makes the table of them.
    ///
    /// # Errors
    ///
    /// All that [`check`] refuses.
    pub fn compile(
        config: &RoutesConfig,
        platform: &Platform,
        ids: &mut BudgetIds,
    ) -> Result<Self, Vec<Diagnostic>> {
        let refusals = check(config, platform);
        if !refusals.is_empty() {
            return Err(refusals);
        }
        Ok(Self::unchecked(config, ids))
    }

    /// The table of routes that may break a rule, for tests that show so.
    pub fn unchecked(config: &RoutesConfig, ids: &mut BudgetIds) -> Self {
        let mut index = Index::default();
        let mut routes = Vec::with_capacity(config.routes.len());
        for (place, route) in config.routes.iter().enumerate() {
            index.insert(&route.matches, place);
            routes.push(Arc::new(made(route, config, ids)));
        }
        RouteTable { routes, index }
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The first route that matches a request.
    pub fn lookup(&self, class: &str, tenant: Option<&str>, path: &str) -> Option<&Arc<Route>> {
        if self.routes.is_empty() {
            return None;
        }
        self.index.first(Some(class), tenant, path).map(|place| &self.routes[place])
    }
}

fn made(route: &RouteConfig, config: &RoutesConfig, ids: &mut BudgetIds) -> Route {
    let pool = route.pool.as_ref().and_then(|name| config.pools.iter().find(|pool| pool.name == *name));
    let standard = Limits::STANDARD;
    let mut limits = Limits {
        timeout: route.timeout.unwrap_or(standard.timeout),
        attempt_timeout: route.attempt_timeout.unwrap_or(standard.attempt_timeout),
        queue_timeout: route.queue_timeout.unwrap_or(standard.queue_timeout),
        max_attempts: route.attempts.unwrap_or(standard.max_attempts),
        retry_on: route.retry_on.unwrap_or(RetryOn::ALL),
        same_zone: route.retry_within == Some(RetryScope::Zone),
        ..standard
    };
    let mut owners = vec![(
        format!("route {}", route.name),
        route.retry_budget,
        route.max_hedge_ratio,
        route.max_in_flight,
        route.max_queued,
    )];
    if let Some(p) = pool {
        owners.push((
            format!("pool {}", p.name),
            p.retry_budget,
            p.max_hedge_ratio,
            p.max_in_flight,
            p.max_queued,
        ));
    }
    for (owner, retries, copies, in_flight, held) in owners {
        if let Some(RetryBudgetConfig { ratio, burst }) = retries {
            limits.budgets.push(RetryBudget {
                id: ids.of(format!("{owner} retries")),
                ratio,
                burst,
                strict: true,
            });
        }
        if let Some(ratio) = copies {
            // One is saved up, or a share below a half could never begin.
            let id = ids.of(format!("{owner} copies"));
            limits.hedge_budgets.push(RetryBudget { id, ratio, burst: 1.0, strict: true });
        }
        if in_flight.is_some() || held.is_some() {
            let (in_flight, held) = (in_flight.unwrap_or(u32::MAX), held.unwrap_or(u32::MAX));
            limits.concurrency_limits.push(ConcurrencyLimit {
                id: ids.of(format!("{owner} bounds")),
                max_in_flight: in_flight,
                max_queued: held,
            });
        }
    }
    Route {
        name: route.name.clone(),
        limits: Arc::new(limits),
        connect_timeout: route.connect_timeout,
        first_byte_timeout: route.first_byte_timeout,
        hedge: route.hedge,
    }
}

/// Finds the first of many matches without looking at each: by class and tenant, then by each length that a path's
/// prefix has in the file.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    classes: HashMap<String, Tenants>,
    any_class: Tenants,
}

#[derive(Debug, Clone, Default)]
struct Tenants {
    tenants: HashMap<String, Prefixes>,
    any_tenant: Prefixes,
}

/// The first place of each prefix.
#[derive(Debug, Clone, Default)]
struct Prefixes {
    lengths: BTreeSet<usize>,
    first: HashMap<String, usize>,
}

impl Prefixes {
    /// The first place whose prefix this path begins with.
    fn first(&self, path: &str) -> Option<usize> {
        let heads = self.lengths.iter().map_while(|length| path.as_bytes().get(..*length));
        let places = heads.filter_map(|head| self.first.get(std::str::from_utf8(head).ok()?));
        places.min().copied()
    }
}

impl Index {
    pub(crate) fn insert(&mut self, matches: &RouteMatch, place: usize) {
        let tenants = match &matches.class {
            Some(class) => self.classes.entry(class.clone()).or_default(),
            None => &mut self.any_class,
        };
        let prefixes = match &matches.tenant {
            Some(tenant) => tenants.tenants.entry(tenant.clone()).or_default(),
            None => &mut tenants.any_tenant,
        };
        let path = matches.path.clone().unwrap_or_default();
        prefixes.lengths.insert(path.len());
        prefixes.first.entry(path).or_insert(place);
    }

    /// The first place that matches a request, or everything that another match does.
    pub(crate) fn first(&self, class: Option<&str>, tenant: Option<&str>, path: &str) -> Option<usize> {
        let of_class = class.and_then(|class| self.classes.get(class));
        let tenants = [of_class, Some(&self.any_class)].into_iter().flatten();
        let prefixes = tenants.flat_map(|tenants| {
            let of_tenant = tenant.and_then(|tenant| tenants.tenants.get(tenant));
            [of_tenant, Some(&tenants.any_tenant)].into_iter().flatten()
        });
        prefixes.filter_map(|prefixes| prefixes.first(path)).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Class, tenant, path.
    type Matched<'a> = (Option<&'a str>, Option<&'a str>, Option<&'a str>);

    fn config(routes: &[Matched]) -> RoutesConfig {
        let route = |(n, (class, tenant, path)): (usize, &Matched)| RouteConfig {
            name: n.to_string(),
            matches: RouteMatch {
                class: class.map(str::to_owned),
                tenant: tenant.map(str::to_owned),
                path: path.map(str::to_owned),
            },
            ..RouteConfig::default()
        };
        RoutesConfig { routes: routes.iter().enumerate().map(route).collect(), pools: Vec::new() }
    }

    /// A route that sets nothing is no route: the digest of actions is the same with a file of defaults.
    #[test]
    fn a_route_that_sets_nothing_has_the_standard_limits() {
        let table = RouteTable::unchecked(&config(&[(Some("log"), None, None)]), &mut BudgetIds::default());
        assert_eq!(*table.routes[0].limits, Limits::STANDARD);
        assert_eq!(table.routes[0].hedge, HedgePolicy::Never);
    }

    #[test]
    fn the_first_that_matches_is_the_route() {
        let table = RouteTable::unchecked(
            &config(&[
                (Some("log"), Some("acme"), None),
                (Some("log"), None, Some("/log/urgent")),
                (None, Some("acme"), None),
                (None, None, Some("/read/é")),
                (Some("log"), None, None),
            ]),
            &mut BudgetIds::default(),
        );
        for (class, tenant, path, name) in [
            ("log", Some("acme"), "/log/urgent", Some("0")),
            ("log", Some("other"), "/log/urgent/1", Some("1")),
            ("log", None, "/log/urgen", Some("4")),
            ("read", Some("acme"), "/read/é", Some("2")),
            ("read", None, "/read/é/x", Some("3")),
            ("read", None, "/read/e", None),
        ] {
            let found = table.lookup(class, tenant, path).map(|route| route.name.as_str());
            assert_eq!(found, name, "{class} {tenant:?} {path}");
        }
    }

    /// The index against a plain walk through the list.
    #[test]
    fn the_index_finds_what_a_walk_through_all_would() {
        let mut random = fastrand::Rng::with_seed(7);
        let words = ["", "/", "/a", "/a/b", "/a/b/c", "/b", "/é"];
        for _ in 0..300 {
            let pick = |random: &mut fastrand::Rng, words: &[&'static str]| {
                Some(words[random.usize(0..words.len())]).filter(|_| random.bool())
            };
            let routes: Vec<_> = (0..random.usize(0..12))
                .map(|_| {
                    let path = pick(&mut random, &words);
                    (pick(&mut random, &["a", "b"]), pick(&mut random, &["t", "u"]), path)
                })
                .collect();
            let table = RouteTable::unchecked(&config(&routes), &mut BudgetIds::default());
            for _ in 0..20 {
                let class = ["a", "b", "c"][random.usize(0..3)];
                let tenant = [Some("t"), Some("u"), None][random.usize(0..3)];
                let path = ["/a", "/a/b/c/d", "/é/x", "/c", ""][random.usize(0..5)];
                let walk = routes.iter().position(|(c, t, p)| {
                    c.is_none_or(|c| c == class)
                        && t.is_none_or(|t| Some(t) == tenant)
                        && p.is_none_or(|p| path.starts_with(p))
                });
                let found = table.lookup(class, tenant, path).map(|route| route.name.clone());
                assert_eq!(found, walk.map(|n| n.to_string()), "{routes:?} {class} {tenant:?} {path}");
            }
        }
    }

    #[test]
    fn budgets_keep_their_names_over_reloads() {
        let mut ids = BudgetIds::default();
        let mut config = config(&[(None, None, None)]);
        let budget = Some(RetryBudgetConfig { ratio: 0.1, burst: 3.0 });
        config.routes[0].retry_budget = budget;
        config.routes[0].max_queued = Some(4);
        let id = |table: &RouteTable| table.routes[0].limits.budgets[0].id;
        let first = id(&RouteTable::unchecked(&config, &mut ids));
        assert_ne!(first, 0);
        let mut other = config.clone();
        other.routes[0].name = "other".into();
        assert_ne!(id(&RouteTable::unchecked(&other, &mut ids)), first);
        assert_eq!(id(&RouteTable::unchecked(&config, &mut ids)), first);
    }
}
