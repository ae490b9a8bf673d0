//! The interval of the service manager's watchdog.

use super::*;

#[test]
fn watchdog_of_other_process_is_ignored() {
    let with = |usec: &'static str, pid: Option<String>| {
        watchdog(move |name| match name {
            "WATCHDOG_USEC" => Some(usec.into()),
            _ => pid.clone(),
        })
    };
    let half = Some(Duration::from_millis(500));
    assert_eq!(with("1000000", None), half);
    assert_eq!(with("1000000", Some(std::process::id().to_string())), half);
    assert_eq!(with("1000000", Some("1".into())), None);
    assert_eq!(with("0", None), None);
    assert_eq!(with("soon", None), None);
}
