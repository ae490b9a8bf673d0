//! The route table: match order, index, standard limits, and stable budget identifiers.

use super::*;
use crate::config::RouteMatch;

/// Class, tenant and path of a route's match.
type MatchParts<'a> = (Option<&'a str>, Option<&'a str>, Option<&'a str>);

/// A configuration with routes that are named after their positions.
fn config(routes: &[MatchParts]) -> RoutesConfig {
    let route = |(n, (class, tenant, path)): (usize, &MatchParts)| RouteConfig {
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

/// A route without settings must have the same effect as no route.
#[test]
fn route_without_settings_has_standard_limits() {
    let table = RouteTable::unchecked(&config(&[(Some("log"), None, None)]), &mut BudgetIds::default());
    assert_eq!(*table.routes[0].limits, Limits::STANDARD);
    assert_eq!(table.routes[0].hedge, HedgePolicy::Never);
}

#[test]
fn first_matching_route_is_selected() {
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

/// Compares the index with a linear scan of random routes.
#[test]
fn index_lookup_equals_linear_scan() {
    let mut random = fastrand::Rng::with_seed(7);
    let paths = ["", "/", "/a", "/a/b", "/a/b/c", "/b", "/é"];
    for _ in 0..300 {
        let pick = |random: &mut fastrand::Rng, choices: &[&'static str]| {
            Some(choices[random.usize(0..choices.len())]).filter(|_| random.bool())
        };
        let routes: Vec<_> = (0..random.usize(0..12))
            .map(|_| {
                let path = pick(&mut random, &paths);
                (pick(&mut random, &["a", "b"]), pick(&mut random, &["t", "u"]), path)
            })
            .collect();
        let table = RouteTable::unchecked(&config(&routes), &mut BudgetIds::default());
        for _ in 0..20 {
            let class = ["a", "b", "c"][random.usize(0..3)];
            let tenant = [Some("t"), Some("u"), None][random.usize(0..3)];
            let path = ["/a", "/a/b/c/d", "/é/x", "/c", ""][random.usize(0..5)];
            let scan = routes.iter().position(|(c, t, p)| {
                c.is_none_or(|c| c == class)
                    && t.is_none_or(|t| Some(t) == tenant)
                    && p.is_none_or(|p| path.starts_with(p))
            });
            let found = table.lookup(class, tenant, path).map(|route| route.name.clone());
            assert_eq!(found, scan.map(|n| n.to_string()), "{routes:?} {class} {tenant:?} {path}");
        }
    }
}

#[test]
fn budget_ids_are_stable_across_reloads() {
    let mut ids = BudgetIds::default();
    let mut config = config(&[(None, None, None)]);
    let budget = Some(RetryBudgetConfig { ratio: 0.1, burst: 3.0 });
    config.routes[0].retry_budget = budget;
    config.routes[0].max_queued = Some(4);
    let id = |table: &RouteTable| table.routes[0].limits.retry_budgets[0].id;
    let first = id(&RouteTable::unchecked(&config, &mut ids));
    assert_ne!(first, 0);
    let mut other = config.clone();
    other.routes[0].name = "other".into();
    assert_ne!(id(&RouteTable::unchecked(&other, &mut ids)), first);
    assert_eq!(id(&RouteTable::unchecked(&config, &mut ids)), first);
}
