//! Routes' lives in words, for `bellcroft check --explain`.

use crate::check::{classes_of, Platform};
use crate::config::{HedgePolicy, RouteConfig, RoutesConfig};
use crate::timeline::AttemptTimeline;
use crate::words;
use bellcroft_balancer::{DedupScope, RetrySafety};
use std::fmt::Write;

/// Each route's worst life, for each class that it can be of: when each attempt can be decided and arrive at the
/// latest, against the window and the deadline.
pub fn explain(config: &RoutesConfig, platform: &Platform) -> String {
    let mut text = String::new();
    for route in &config.routes {
        for class in classes_of(route, platform) {
            one(&mut text, route, class, platform);
        }
    }
    text
}

fn one(text: &mut String, route: &RouteConfig, class: usize, platform: &Platform) {
    let name = &platform.classes[class];
    let class = &platform.settings.classes[class];
    let timeline = AttemptTimeline::of(route, class, platform);
    let (what, window) = match class.retry_safety {
        RetrySafety::Idempotent => ("safe to repeat".to_owned(), None),
        RetrySafety::AtMostOnce => ("must not run twice".to_owned(), None),
        RetrySafety::Deduplicated { scope: group, window } => {
            let who = match group {
                DedupScope::All => "all servers",
                DedupScope::Zone => "servers of one zone",
                DedupScope::Group => "servers of one cell",
            };
            (format!("{who} drop repeats for {}", words(window)), Some(window))
        }
    };
    // Writing to a text cannot fail.
    let _ = writeln!(text, "\nroute {:?}, {name}: {what}", route.name);
    let _ = writeln!(text, "  {:>9}  attempt 1 is decided", "0s");
    let mut lines = Vec::new();
    for (n, step) in (1..).zip(&timeline.steps) {
        let repeat = if n == 1 { "" } else { ", a repeat" };
        if n > 1 {
            lines.push((step.latest, format!("attempt {n} is decided, at the latest")));
        }
        lines.push((step.arrives, format!("the first byte of attempt {n}{repeat} arrives, at the latest")));
    }
    match route.hedge {
        HedgePolicy::Never => {}
        HedgePolicy::After(after) => {
            lines.push((after, "a second copy goes out, if nothing has come".into()))
        }
        HedgePolicy::Percentile(p) => {
            let line =
                format!("a second copy goes out after the p{p} of recent answers, if nothing has come");
            lines.push((timeline.attempt, line));
        }
    }
    lines.push((timeline.deadline, "the client has its answer, at the latest".into()));
    if let Some(window) = window {
        lines.push((window, "servers drop repeats no longer".into()));
    }
    lines.sort_by_key(|(at, _)| *at);
    for (at, line) in lines {
        let _ = writeln!(text, "  {:>9}  {line}", words(at));
    }
    if let (Some(window), Some(arrives)) = (window, timeline.last_repeat()) {
        let _ = match arrives <= window {
            true => writeln!(
                text,
                "  {} to spare before repeats would run",
                words(window.saturating_sub(arrives))
            ),
            false => writeln!(text, "  the module sends no repeat after {}", words(window)),
        };
    }
}
