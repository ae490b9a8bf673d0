//! Worst-case timelines of routes as text, for `bellcroft check --explain`.

use crate::check::matching_classes;
use crate::config::{HedgePolicy, RouteConfig, RoutesConfig};
use crate::duration::format_duration;
use crate::platform::Platform;
use crate::timeline::AttemptTimeline;
use bellcroft_balancer::{DedupScope, Micros, RetrySafety};
use std::fmt::Write;

/// Formats the worst-case timeline of each route for each class that it can match: the latest send decision and arrival of
/// each attempt, the dedup window and the deadline.
pub fn explain(config: &RoutesConfig, platform: &Platform) -> String {
    let mut text = String::new();
    for route in &config.routes {
        for class in matching_classes(route, platform) {
            explain_class(&mut text, route, class, platform);
        }
    }
    text
}

fn explain_class(text: &mut String, route: &RouteConfig, class: usize, platform: &Platform) {
    let name = &platform.classes[class];
    let class = &platform.settings.classes[class];
    let timeline = AttemptTimeline::new(route, class, platform);
    let (safety, window) = describe_retry_safety(class.retry_safety);
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "\nroute {:?}, {name}: {safety}", route.name);
    let _ = writeln!(text, "  {:>9}  attempt 1 is decided", "0s");
    for (at, event) in timeline_events(route, &timeline, window) {
        let _ = writeln!(text, "  {:>9}  {event}", format_duration(at));
    }
    if let (Some(window), Some(arrival)) = (window, timeline.latest_retry_arrival()) {
        let _ = if arrival <= window {
            let margin = format_duration(window.saturating_sub(arrival));
            writeln!(text, "  {margin} to spare before repeats would run")
        } else {
            writeln!(text, "  the module sends no repeat after {}", format_duration(window))
        };
    }
}

/// Describes a class's retry safety; also returns its dedup window, if it has one.
fn describe_retry_safety(retry_safety: RetrySafety) -> (String, Option<Micros>) {
    match retry_safety {
        RetrySafety::Idempotent => ("safe to repeat".to_owned(), None),
        RetrySafety::AtMostOnce => ("must not run twice".to_owned(), None),
        RetrySafety::Deduplicated { scope, window } => {
            let servers = match scope {
                DedupScope::All => "all servers",
                DedupScope::Zone => "servers of one zone",
                DedupScope::Group => "servers of one cell",
            };
            (format!("{servers} drop repeats for {}", format_duration(window)), Some(window))
        }
    }
}

/// The events of the timeline after the first send decision, ordered by time.
fn timeline_events(
    route: &RouteConfig,
    timeline: &AttemptTimeline,
    window: Option<Micros>,
) -> Vec<(Micros, String)> {
    let mut events = Vec::new();
    for (n, attempt) in (1..).zip(&timeline.attempts) {
        let qualifier = if n == 1 { "" } else { ", a repeat" };
        if n > 1 {
            events.push((attempt.latest_send, format!("attempt {n} is decided, at the latest")));
        }
        let arrival = format!("the first byte of attempt {n}{qualifier} arrives, at the latest");
        events.push((attempt.latest_arrival, arrival));
    }
    match route.hedge {
        HedgePolicy::Never => {}
        HedgePolicy::After(delay) => {
            events.push((delay, "a second copy goes out, if nothing has come".into()));
        }
        HedgePolicy::Percentile(p) => {
            let event =
                format!("a second copy goes out after the p{p} of recent answers, if nothing has come");
            events.push((timeline.attempt_timeout, event));
        }
    }
    events.push((timeline.deadline, "the client has its answer, at the latest".into()));
    if let Some(window) = window {
        events.push((window, "servers drop repeats no longer".into()));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
