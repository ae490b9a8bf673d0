//! Invalid routes and the errors expected for them.

use super::route;

/// Returns pairs of a file's text and its errors, one on each line.
pub fn cases() -> Vec<(String, &'static str)> {
    vec![
        (
            route("log", "attempts = 4\nattempt_timeout = \"2.5s\"\nqueue_timeout = \"20ms\"\nconnect_timeout = \"50ms\""),
            "4: route \"r\": attempts = 4 with attempt_timeout = 2.5s can send a repeat that arrives 7.74s after the first; log's servers drop repeats for 7.5s (rule 2). At most attempts = 3, or attempt_timeout = 2.42s, or timeout = 7.43s",
        ),
        (
            route("log", "attempts = 4\nattempt_timeout = \"2.5s\""),
            "4: route \"r\": attempts = 4 with attempt_timeout = 2.5s can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "attempts = 2\nattempt_timeout = \"8s\"\nqueue_timeout = \"1ms\""),
            "4: route \"r\": attempts = 2 with attempt_timeout = 8s can send a repeat that arrives 10.07s after the first; log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or attempt_timeout = 4.9s, or timeout = 7.43s",
        ),
        (
            route("log", "timeout = \"7.5s\""),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 7.57s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "timeout = \"9s\"\nattempts = 3"),
            "5: route \"r\": attempts = 3 can send a repeat that arrives 9.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "retry_on = [\"timeout\"]"),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "retry_on = [\"reset\", \"connect\"]"),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "retry_on = [\"error\"]\nattempts = 2"),
            "5: route \"r\": attempts = 2 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "second_copy_after = \"200ms\""),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "second_copy_after = \"p95\"\nattempts = 2"),
            "5: route \"r\": attempts = 2 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "queue_timeout = \"5s\""),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first; log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s",
        ),
        (
            route("log", "connect_timeout = \"2s\""),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); log's servers drop repeats for 7.5s (rule 2). At most attempts = 1, or timeout = 7.43s\n4: route \"r\": connect_timeout = 2s lets a request reach a server 2.07s after that began to drain, and the grace is 2s (rule 3). At most 1.93s",
        ),
        (
            route("assign", "retry_within = \"any\""),
            "4: route \"r\": only servers of one zone drop repeats of assign together (rule 2), and a repeat may go further; retry_within = \"zone\", or retry_on = [\"connect\", \"rejected\"] without second copies",
        ),
        (
            route("assign", "retry_within = \"any\"\nretry_on = [\"connect\", \"timeout\"]"),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); assign's servers drop repeats for 1s (rule 2). At most attempts = 1, or timeout = 930ms\n4: route \"r\": only servers of one zone drop repeats of assign together (rule 2), and a repeat may go further; retry_within = \"zone\", or retry_on = [\"connect\", \"rejected\"] without second copies",
        ),
        (
            route("assign", "retry_within = \"any\"\nsecond_copy_after = \"100ms\"\nretry_on = [\"connect\"]\ntimeout = \"500ms\""),
            "4: route \"r\": only servers of one zone drop repeats of assign together (rule 2), and a repeat may go further; retry_within = \"zone\", or retry_on = [\"connect\", \"rejected\"] without second copies",
        ),
        (
            route("assign", "attempts = 2"),
            "4: route \"r\": attempts = 2 can send a repeat that arrives 10.07s after the first, held back as long as its client waits (no queue_timeout); assign's servers drop repeats for 1s (rule 2). At most attempts = 1, or timeout = 930ms",
        ),
        (
            route("assign", "attempts = 2\nattempt_timeout = \"500ms\"\nqueue_timeout = \"100ms\""),
            "4: route \"r\": attempts = 2 with attempt_timeout = 500ms can send a repeat that arrives 1.19s after the first; assign's servers drop repeats for 1s (rule 2). At most attempts = 1, or timeout = 930ms",
        ),
        (
            route("assign", "timeout = \"950ms\""),
            "1: route \"r\": attempts = 4 can send a repeat that arrives 1.02s after the first, held back as long as its client waits (no queue_timeout); assign's servers drop repeats for 1s (rule 2). At most attempts = 1, or timeout = 930ms",
        ),
        (
            route("pay", "second_copy_after = \"100ms\""),
            "4: route \"r\": pay must not run twice (rule 2), and a second copy would; \"never\"",
        ),
        (
            route("pay", "second_copy_after = \"p99\""),
            "4: route \"r\": pay must not run twice (rule 2), and a second copy would; \"never\"",
        ),
        (
            route("pay", "retry_on = [\"connect\", \"reset\"]"),
            "4: route \"r\": pay must not run twice (rule 2), and after a reset, a time-out or an error it may have run; at most retry_on = [\"connect\", \"rejected\"]",
        ),
        (
            route("pay", "retry_on = [\"timeout\"]"),
            "4: route \"r\": pay must not run twice (rule 2), and after a reset, a time-out or an error it may have run; at most retry_on = [\"connect\", \"rejected\"]",
        ),
        (
            route("pay", "retry_on = [\"rejected\", \"error\"]"),
            "4: route \"r\": pay must not run twice (rule 2), and after a reset, a time-out or an error it may have run; at most retry_on = [\"connect\", \"rejected\"]",
        ),
        (
            route("read", "connect_timeout = \"1.95s\""),
            "4: route \"r\": connect_timeout = 1.95s lets a request reach a server 2.02s after that began to drain, and the grace is 2s (rule 3). At most 1.93s",
        ),
        (
            route("read", "connect_timeout = \"2.6s\""),
            "4: route \"r\": connect_timeout = 2.6s is longer than the platform lets a connection take; at most 2.5s\n4: route \"r\": connect_timeout = 2.6s lets a request reach a server 2.67s after that began to drain, and the grace is 2s (rule 3). At most 1.93s",
        ),
        (
            route("read", "timeout = \"11s\""),
            "4: route \"r\": timeout = 11s is longer than clients wait; at most 10s",
        ),
        (
            route("read", "attempt_timeout = \"11s\""),
            "4: route \"r\": attempt_timeout = 11s is longer than the request may take; at most 10s",
        ),
        (
            route("read", "timeout = \"1s\"\nattempt_timeout = \"2s\""),
            "5: route \"r\": attempt_timeout = 2s is longer than the request may take; at most 1s",
        ),
        (
            route("read", "timeout = \"1s\"\nqueue_timeout = \"2s\""),
            "5: route \"r\": queue_timeout = 2s is longer than the request may take; at most 1s",
        ),
        (
            route("read", "attempt_timeout = \"100ms\"\nconnect_timeout = \"200ms\""),
            "5: route \"r\": connect_timeout = 200ms is longer than an attempt may take; at most 100ms",
        ),
        (
            route("read", "attempt_timeout = \"100ms\"\nfirst_byte_timeout = \"200ms\""),
            "5: route \"r\": first_byte_timeout = 200ms is longer than an attempt may take; at most 100ms",
        ),
        (
            route("read", "attempts = 5"),
            "4: route \"r\": attempts = 5; the platform allows 4 at most",
        ),
        (
            route("read", "attempts = 0"),
            "4: route[0].attempts: is 0; a whole number from 1 to 100 was expected",
        ),
        (
            route("read", "attempts = -1"),
            "4: route[0].attempts: is -1; a whole number from 1 to 100 was expected",
        ),
        (
            route("read", "attempts = 1.5"),
            "4: route[0].attempts: is 1.5; a whole number from 1 to 100 was expected",
        ),
        (
            route("read", "attempts = 1\nsecond_copy_after = \"100ms\""),
            "5: route \"r\": a second copy is an attempt, and attempts = 1; at least 2, or second_copy_after = \"never\"",
        ),
        (
            route("read", "attempt_timeout = \"100ms\"\nsecond_copy_after = \"100ms\""),
            "5: route \"r\": second_copy_after = 100ms never comes: an attempt ends after 100ms; less than that",
        ),
        (
            route("read", "second_copies_most = 0.1"),
            "4: route \"r\": second_copies_most bounds nothing: second_copy_after is \"never\"",
        ),
        (
            route("read", "second_copies_most = 1.5\nsecond_copy_after = \"p95\""),
            "4: route[0].second_copies_most: is 1.5; a number from 0.0 to 1.0 was expected",
        ),
        (
            route("read", "second_copy_after = \"p200\""),
            "4: route[0].second_copy_after: is \"p200\"; \"never\", a percentile such as \"p95\" (p50 to p99.9), or a time such as \"200ms\" from 1ms to 10m was expected",
        ),
        (
            route("read", "second_copy_after = \"p\""),
            "4: route[0].second_copy_after: is \"p\"; \"never\", a percentile such as \"p95\" (p50 to p99.9), or a time such as \"200ms\" from 1ms to 10m was expected",
        ),
        (
            route("read", "second_copy_after = \"soon\""),
            "4: route[0].second_copy_after: is \"soon\"; \"never\", a percentile such as \"p95\" (p50 to p99.9), or a time such as \"200ms\" from 1ms to 10m was expected",
        ),
        (
            route("read", "second_copy_after = 200"),
            "4: route[0].second_copy_after: is 200; \"never\", a percentile such as \"p95\" (p50 to p99.9), or a time such as \"200ms\" from 1ms to 10m was expected",
        ),
        (
            route("read", "timeout = \"0s\""),
            "4: route[0].timeout: is \"0s\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = \"-1s\""),
            "4: route[0].timeout: is \"-1s\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = nan"),
            "4: route[0].timeout: is nan; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = \"1e300s\""),
            "4: route[0].timeout: is \"1e300s\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = \"5\""),
            "4: route[0].timeout: is \"5\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = 5"),
            "4: route[0].timeout: is 5; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "timeout = \"700s\""),
            "4: route[0].timeout: is \"700s\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "attempt_timeout = \"\""),
            "4: route[0].attempt_timeout: is \"\"; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "queue_timeout = []"),
            "4: route[0].queue_timeout: is a list; a time such as \"200ms\" or \"2s\", from 1ms to 10m, was expected",
        ),
        (
            route("read", "retry_on = \"timeout\""),
            "4: route[0].retry_on: is \"timeout\"; a list out of [\"connect\", \"rejected\", \"reset\", \"timeout\", \"error\"] was expected",
        ),
        (
            route("read", "retry_on = [\"timeouts\"]"),
            "4: route[0].retry_on: is a list; a list out of [\"connect\", \"rejected\", \"reset\", \"timeout\", \"error\"] was expected",
        ),
        (
            route("read", "retry_on = [3]"),
            "4: route[0].retry_on: is a list; a list out of [\"connect\", \"rejected\", \"reset\", \"timeout\", \"error\"] was expected",
        ),
        (
            route("read", "retry_within = \"city\""),
            "4: route[0].retry_within: is \"city\"; \"any\" or \"zone\" was expected",
        ),
        (
            route("read", "retry_budget = { ratio = 0.1 }"),
            "4: route[0].retry_budget.burst: is missing; the maximum number of further attempts saved up is needed",
        ),
        (
            route("read", "retry_budget = { ratio = 1.1, burst = 1 }"),
            "4: route[0].retry_budget.ratio: is 1.1; a number from 0.0 to 1.0 was expected",
        ),
        (
            route("read", "retry_budget = { ratio = 0.1, burst = 0 }"),
            "4: route[0].retry_budget.burst: is 0; a number from 1 to 1000000 was expected",
        ),
        (
            route("read", "retry_budget = { ratio = 0.1, burst = 2, bursts = 3 }"),
            "4: route[0].retry_budget.bursts: is no known key; did you mean burst?",
        ),
        (
            route("read", "retry_budget = 0.1"),
            "4: route[0].retry_budget: is 0.1; a section was expected",
        ),
        (
            route("read", "max_in_flight = 0"),
            "4: route[0].max_in_flight: is 0; a whole number from 1 to 1000000 was expected",
        ),
        (
            route("read", "max_held = \"many\""),
            "4: route[0].max_held: is \"many\"; a whole number from 1 to 1000000 was expected",
        ),
        (
            route("read", "atempts = 2"),
            "4: route[0].atempts: is no known key; did you mean attempts?",
        ),
        (
            route("read", "pool = \"p\""),
            "4: route \"r\": pool = \"p\", and there is no [pool.p]",
        ),
        (
            route("reed", ""),
            "3: route \"r\": there is no class \"reed\"; there are read, log, assign, pay",
        ),
        (
            "[[route]]\nmatch = { class = \"read\" }\n".to_owned(),
            "1: route[0].name: is missing; a name is needed",
        ),
        (
            "[[route]]\nname = \"a b\"\n".to_owned(),
            "2: route[0].name: is \"a b\"; at most 64 letters, digits, '-', '_' and '.' were expected",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { class = \"read\", path = \"/log\" }\n".to_owned(),
            "3: route \"a\": it can never match: a path's first part is its class, and \"/log\" begins with none",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { path = \"read\" }\n".to_owned(),
            "3: route \"a\": path = \"read\" begins with no '/'; no request's path does",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { tenant = \"nobody\" }\n".to_owned(),
            "3: route \"a\": there is no tenant \"nobody\"",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { clas = \"read\" }\n".to_owned(),
            "3: route[0].match.clas: is no known key; did you mean class?",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { class = \"read\" }\n[[route]]\nname = \"a\"\nmatch = { class = \"log\" }\n".to_owned(),
            "5: route \"a\": has the name of the one in line 1; each needs its own",
        ),
        (
            "[[route]]\nname = \"a\"\n[[route]]\nname = \"b\"\nmatch = { class = \"log\" }\n".to_owned(),
            "5: route \"b\": it can never match: route \"a\" in line 1 matches all that it does and stands before it",
        ),
        (
            "[[route]]\nname = \"a\"\nmatch = { path = \"/read/x\" }\n[[route]]\nname = \"b\"\nmatch = { class = \"read\", path = \"/read/x/y\" }\n".to_owned(),
            "6: route \"b\": it can never match: route \"a\" in line 1 matches all that it does and stands before it",
        ),
        (
            "[route]\nname = \"a\"\n".to_owned(),
            "1: route: is not a list of sections; write [[route]]",
        ),
        (
            "[pool.p]\nmax_held = 3\n".to_owned(),
            "1: pool \"p\": no route is in it",
        ),
        (
            "[pool]\np = 3\n".to_owned(),
            "2: pool.p: is not a section",
        ),
        (
            "[pool.p]\nmax_hold = 3\n[[route]]\nname = \"a\"\npool = \"p\"\n".to_owned(),
            "2: pool.p.max_hold: is no known key; did you mean max_held?",
        ),
        (
            "[pool.p]\nretry_budget = { ratio = 0.1, burst = 3 }\n[[route]]\nname = \"a\"\nmatch = { class = \"read\" }\npool = \"p\"\nretry_budget = { ratio = 0.08, burst = 1 }\n[[route]]\nname = \"b\"\npool = \"p\"\nretry_budget = { ratio = 0.03, burst = 3 }\n".to_owned(),
            "2: pool \"p\": its routes' retry_budget add up to 0.11, more than its own 0.1\n2: pool \"p\": its routes' retry_budget add up to 4, more than its own 3",
        ),
        (
            "[pool.p]\nmax_in_flight = 10\nmax_held = 2\n[[route]]\nname = \"a\"\nmatch = { class = \"read\" }\npool = \"p\"\nmax_in_flight = 8\n[[route]]\nname = \"b\"\npool = \"p\"\nmax_in_flight = 3\nmax_held = 3\n".to_owned(),
            "2: pool \"p\": its routes' max_in_flight add up to 11, more than its own 10\n3: pool \"p\": its routes' max_held add up to 3, more than its own 2",
        ),
        (
            "[[route]]\nname = \"a\"\ntimeout = \n".to_owned(),
            "3: string values must be quoted, expected literal string",
        ),
    ]
}
