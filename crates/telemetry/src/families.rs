//! All metric families of an instance, with their names, labels and help texts. `docs/operate/metrics.md` is generated
//! from this list.

use crate::registry::Kind;

pub use crate::registry::Family;

// Limits of the number of series of a family. Classes, outcomes and zones are few, but they come from configuration
// files, so they are bounded as well.
const LIMIT_SMALL: usize = 64;
const LIMIT_MEDIUM: usize = 256;
const LIMIT_LARGE: usize = 2_048;
/// 1,000 servers with eight outcomes each, and the series that further servers share.
const LIMIT_PER_SERVER: usize = 8_192;

macro_rules! families {
    ($($constant:ident $kind:ident $name:literal [$($label:literal),*] $max_series:expr, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub static $constant: Family = Family {
                name: $name,
                help: $help,
                kind: Kind::$kind,
                labels: &[$($label),*],
                max_series: $max_series,
                bounds: Vec::new(),
            };
        )*
        /// All families, in the order of the operators' page.
        pub static ALL: &[&Family] = &[$(&$constant),*];
    };
}

families! {
    BUILD Gauge "bellcroft_build_info" ["version"] LIMIT_SMALL, "Always 1; the label tells the program's version.";
    START_TIME Gauge "bellcroft_start_time_seconds" [] LIMIT_SMALL, "When the process started, in Unix time.";
    READY Gauge "bellcroft_ready" [] LIMIT_SMALL, "1 while there is a server to send to and no end has been asked for.";
    GENERATION Gauge "bellcroft_config_generation" [] LIMIT_SMALL, "1 at the start, one more with each reload that was taken.";
    RELOADS_REFUSED Counter "bellcroft_reloads_refused_total" [] LIMIT_SMALL, "Reloads that changed nothing, for something was wrong.";
    FLEET Gauge "bellcroft_fleet_instances" [] LIMIT_SMALL, "Instances that the platform's settings count in the tier.";

    REQUESTS Counter "bellcroft_requests_total" ["class", "outcome"] LIMIT_MEDIUM, "Requests that are over: served, refused, failed, or left by their client.";
    IN_FLIGHT Gauge "bellcroft_requests_in_flight" ["class"] LIMIT_SMALL, "Requests that are owed their answer.";
    REQUESTS_WITHIN_OBJECTIVE Counter "bellcroft_requests_in_wanted_time_total" ["class"] LIMIT_SMALL, "Requests served within their class's wanted time.";
    RESPONSE_SECONDS Histogram "bellcroft_answer_seconds" ["class"] LIMIT_SMALL, "From a request's last byte in to its answer's last byte out.";
    BAD_REQUESTS Counter "bellcroft_bad_requests_total" [] LIMIT_SMALL, "Requests that were answered for what was wrong with them.";
    CUT_RESPONSES Counter "bellcroft_cut_responses_total" [] LIMIT_SMALL, "Responses that had begun and stayed incomplete: their server stopped, trickled, broke off, or sent too much.";
    TENANT_REQUESTS Counter "bellcroft_tenant_requests_total" ["tenant"] LIMIT_MEDIUM, "Requests taken, by whose they are.";
    TENANT_ALLOWANCE Gauge "bellcroft_tenant_allowance_requests_per_second" ["tenant"] LIMIT_MEDIUM, "This instance's part of the tenant's allowance.";

    ATTEMPTS Counter "bellcroft_attempts_total" ["class", "zone", "outcome"] LIMIT_LARGE, "Attempts that are over, by the server's zone and how they ended.";
    ATTEMPT_SECONDS Histogram "bellcroft_attempt_seconds" ["zone"] LIMIT_SMALL, "From the decision to send to a served attempt's end.";
    ATTEMPTS_IN_FLIGHT Gauge "bellcroft_attempts_in_flight" ["zone"] LIMIT_SMALL, "Attempts that are out.";
    RETRIES_AND_HEDGES Counter "bellcroft_further_attempts_total" ["kind", "route"] LIMIT_MEDIUM, "Attempts beyond a request's first: retry, or second_copy while another was out.";
    ROUTE_REQUESTS Counter "bellcroft_route_requests_total" ["route"] LIMIT_MEDIUM, "Requests taken, by their route; none for those without one.";
    RETRY_AND_HEDGE_BUDGET Gauge "bellcroft_further_attempts_allowed_ratio" ["kind", "route"] LIMIT_MEDIUM, "Further attempts that each request of the route earns.";
    SERVER_ATTEMPTS Counter "bellcroft_server_attempts_total" ["outcome", "server"] LIMIT_PER_SERVER, "Attempts by server and how they ended; only with server_names.";
    SERVER_SECONDS Counter "bellcroft_server_attempt_seconds_total" ["server"] LIMIT_LARGE, "Time of the server's served attempts, added up; only with server_names.";

    SERVERS Gauge "bellcroft_servers" ["state", "zone"] LIMIT_MEDIUM, "Servers by what the list says of them: up, draining, gone.";
    LIST_AGE Gauge "bellcroft_list_age_seconds" [] LIMIT_SMALL, "Since discovery last answered.";
    LIST_CALLS Counter "bellcroft_list_calls_total" ["outcome"] LIMIT_SMALL, "Calls to discovery: ok, failed.";
    LIST_FAILURES Counter "bellcroft_list_call_failures_total" ["cause"] LIMIT_SMALL, "Failed calls to discovery: refused, reset, status, timeout, truncated_body, too_long, unreadable, no_snapshot.";
    WATCH_TIMEOUTS Counter "bellcroft_list_silent_watches_total" [] LIMIT_SMALL, "Watches of discovery that did not answer in time.";
    HEALTH_CHECKS Counter "bellcroft_probes_total" ["outcome"] LIMIT_SMALL, "Health probes, by how they ended.";
    CONNECTIONS Gauge "bellcroft_connections" ["side"] LIMIT_SMALL, "Open connections: client, server.";
    MAX_CONNECTIONS Gauge "bellcroft_connections_most" ["side"] LIMIT_SMALL, "Connections that this process may hold: client, server.";

    BREACHES Counter "bellcroft_rule_breaches_total" ["rule"] LIMIT_SMALL, "Breaches of a rule, by what left and came back on sockets.";
    VIOLATIONS Counter "bellcroft_rule_violations_total" ["rule"] LIMIT_SMALL, "Limits of a request that this instance broke by its own account: late_answer (past its time by more than a pause of the process explains), unsafe_repeat (not sent), closed_while_pending, ended_while_pending.";
    NEAR_MISSES Counter "bellcroft_rule_near_misses_total" ["rule"] LIMIT_SMALL, "Kept only within what is allowed for sockets and clocks (50 ms), or with under a tenth of a cold server's budget left.";
    MARGIN Gauge "bellcroft_rule_margin_seconds" ["rule"] LIMIT_SMALL, "The smallest time that was left to the rule's limit since the last sample; not there if there was none.";
    SLOW_START_MARGIN Gauge "bellcroft_cold_budget_left_ratio" [] LIMIT_SMALL, "The smallest share of a cold server's budget that was left since the last sample; not there if there was none.";

    MEMBERS Gauge "bellcroft_members" ["state"] LIMIT_SMALL, "Other members by what this instance holds of them: absent, alive, suspect, dead, left; only where the operator's file has membership, as all of these.";
    MEMBERS_REACHABLE Gauge "bellcroft_members_here" [] LIMIT_SMALL, "Members that are there by what this instance holds, itself among them; an estimate past 256.";
    MEMBERS_EFFECTIVE Gauge "bellcroft_members_reckoned" [] LIMIT_SMALL, "By how many this instance reckons what is counted for the whole fleet.";
    MEMBERS_EXPECTED Gauge "bellcroft_members_roster" [] LIMIT_SMALL, "How many members there are to be.";
    QUORUM_STATE Gauge "bellcroft_stance" ["stance"] LIMIT_SMALL, "1 for what the instance holds of itself: waking, alone, minority, majority, degraded, whole; 0 for the others.";
    MEMBER_DATAGRAMS Counter "bellcroft_member_datagrams_total" ["outcome"] LIMIT_SMALL, "Datagrams among members: sent, unsent, taken, and refused by why: length, version, cluster, spoilt, meaning, stranger, former, own.";
    MEMBER_BYTES Counter "bellcroft_member_bytes_total" ["outcome"] LIMIT_SMALL, "Bytes of datagrams among members: sent, taken.";
    MEMBER_PROBES Counter "bellcroft_member_probes_total" ["outcome"] LIMIT_SMALL, "Probes of members: sent, failed.";
    MEMBER_EVENTS Counter "bellcroft_member_events_total" ["event"] LIMIT_SMALL, "Members called dead here that have spoken since (mistaken), accusations of this one that it refuted (refuted), and times this process stood still (stalled).";
    HINTS Counter "bellcroft_hints_total" ["outcome"] LIMIT_SMALL, "What decisions tell each other: told, undelivered, and heard by what became of it: taken, too_often, too_many, alone (one peer alone says so).";
    DIGESTS Counter "bellcroft_digests_total" ["outcome"] LIMIT_SMALL, "Halves of the fleet's digest that were heard: whole, cut (heavier than what is held here), refused.";
    FLEET_SEEN Gauge "bellcroft_fleet_seen_ratio" ["what"] LIMIT_SMALL, "What all instances together see of servers, as this one knows it: what an answer takes and what load speaks for, as shares of the wanted time (took, full), and the share of requests refused (refused).";

    REMOTE_SAMPLES Counter "bellcroft_remote_write_samples_total" ["outcome"] LIMIT_SMALL, "Samples: sent, retried, dropped_full, dropped_refused, unwritten by the receiver's own account.";
    REMOTE_QUEUE Gauge "bellcroft_remote_write_queue_bytes" [] LIMIT_SMALL, "Bytes that wait for the receiver.";
    REMOTE_QUEUE_AGE Gauge "bellcroft_remote_write_oldest_seconds" [] LIMIT_SMALL, "How old the oldest samples are that wait.";
    CLOCK_STEPS Counter "bellcroft_clock_steps_total" [] LIMIT_SMALL, "How often the wall clock was seen to step by over 2 s.";
}
