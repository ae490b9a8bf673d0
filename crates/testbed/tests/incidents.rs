//! Incidents that must set the shipped alerts off, and a calm run that must not. In a process of their own: nothing else
//! takes the machine's time meanwhile.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use testbed::*;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn staged_incidents_fire_their_alerts_and_a_calm_run_none() {
    let rules = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/alerts/bellcroft.rules.yml");
    let rules = RuleFile::load(&rules).expect("a rule file");
    let mut staged = Vec::new();
    // Three at a time: a machine of two cores must have room for all that is staged together.
    for some in Incident::ALL.chunks(3) {
        let mut together = Vec::new();
        for incident in some.iter().copied() {
            let rules = rules.clone();
            together
                .push(tokio::spawn(async move { stage(incident, &rules, Duration::from_secs(12)).await }));
        }
        for one in together {
            staged.push(one.await);
        }
    }
    for one in staged {
        let one = one.expect("no panic").expect("it is evaluated");
        let fired: BTreeMap<_, _> = one.fired.iter().map(|(n, t)| (n.as_str(), t.as_secs())).collect();
        println!("{}: {fired:?}", one.incident.title());
        for alert in one.incident.expected() {
            assert!(fired.contains_key(alert), "{}: {alert} of {fired:?}", one.incident.title());
        }
        let others =
            fired.keys().filter(|name| !one.incident.expected().contains(name) && !one.incident.may(name));
        assert_eq!(others.count(), 0, "{}: {fired:?}", one.incident.title());
        assert!(one.requests > 100, "{}", one.requests);
        if one.incident != Incident::OneName {
            assert_eq!(one.wrong, Vec::<String>::new(), "{}", one.incident.title());
        }
    }
}
