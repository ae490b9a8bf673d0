//! Commands, replies and sessions of the admin console.

use bellcroft_agent_core::admin::*;
use bellcroft_balancer::Time;

#[test]
fn only_exact_commands_parse_with_any_line_ending() {
    for (name, command) in AdminRequest::ALL {
        for line in [name.to_owned(), format!("{name}\n"), format!("  {name} \r\n")] {
            assert_eq!(parse(line.as_bytes()), Ok(command), "{line:?}");
        }
        assert_eq!(parse(format!("{name} now").as_bytes()), Err(AdminRequestError::UnexpectedArgument(name)));
        assert!(parse(name.to_uppercase().as_bytes()).is_err(), "command names are case-sensitive");
    }
    assert_eq!(parse(b"\n"), Err(AdminRequestError::Empty));
    assert_eq!(parse(b"GET / HTTP/1.1"), Err(AdminRequestError::UnknownCommand("GET".into())));
    assert_eq!(parse(&[0xff, 0xfe, b'\n']), Err(AdminRequestError::NotUtf8));
    assert_eq!(parse(&[b'a'; MAX_LINE_BYTES + 3]), Err(AdminRequestError::LineTooLong));
    assert!(AdminRequestError::Empty.to_string().contains("ready, show-stat, drain, resume"));
}

#[test]
fn show_stat_reply_lists_statistics_and_ends_with_eof() {
    let class = ClassStats { name: "pay".into(), passed: 812, dropped: 2, bad_gateway: 1 };
    let stats = Stats { classes: vec![class], in_progress: 14, ..Stats::default() };
    let text = stats.reply();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("200"));
    assert_eq!(
        lines[1..4],
        ["svc.handled.pay.passed=812", "svc.handled.pay.dropped=2", "svc.handled.pay.bad_gateway=1"]
    );
    assert!(lines.contains(&"svc.in_progress=14"));
    assert_eq!((lines.len(), lines.last()), (1 + 3 + 6 + 1, Some(&"EOF")));
    assert!(text.ends_with("EOF\n"));
}

#[test]
fn oldest_session_is_evicted_at_the_maximum() {
    let mut sessions = AdminSessions::default();
    for n in 0..MAX_SESSIONS as u64 {
        assert_eq!(sessions.open(Time(n)), (n, None));
    }
    sessions.close(3);
    assert_eq!(sessions.open(Time(100)).1, None, "a closed session makes room for a new one");
    let (number, evicted) = sessions.open(Time(101));
    assert_eq!((number, evicted), (MAX_SESSIONS as u64 + 1, Some(0)), "the oldest session is evicted");
    assert_eq!(sessions.count(), MAX_SESSIONS);
    let late = Time(REQUEST_TIMEOUT.0 + 2);
    assert_eq!(sessions.expired(late), [1, 2], "the other sessions have not expired yet");
}
