//! Commands and figures of the admin console.

use bellcroft_agent_core::admin::*;
use bellcroft_balancer::Time;

#[test]
fn only_exact_commands_parse_with_any_line_ending() {
    for (word, call) in AdminRequest::ALL {
        for line in [word.to_owned(), format!("{word}\n"), format!("  {word} \r\n")] {
            assert_eq!(parse(line.as_bytes()), Ok(call), "{line:?}");
        }
        assert_eq!(parse(format!("{word} now").as_bytes()), Err(AdminRequestError::UnexpectedArgument(word)));
        assert!(parse(word.to_uppercase().as_bytes()).is_err(), "words are as the page has them");
    }
    assert_eq!(parse(b"\n"), Err(AdminRequestError::Empty));
    assert_eq!(parse(b"GET / HTTP/1.1"), Err(AdminRequestError::UnknownCommand("GET".into())));
    assert_eq!(parse(&[0xff, 0xfe, b'\n']), Err(AdminRequestError::NotUtf8));
    assert_eq!(parse(&[b'a'; MAX_LINE_BYTES + 3]), Err(AdminRequestError::LineTooLong));
    assert!(AdminRequestError::Empty.to_string().contains("ready, show-stat, drain, resume"));
}

#[test]
fn statistics_reply_lists_figures_and_ends_with_eof() {
    let class = ClassStats { name: "pay".into(), passed: 812, dropped: 2, bad_gateway: 1 };
    let figures = Stats { classes: vec![class], in_progress: 14, ..Stats::default() };
    let text = figures.reply();
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
fn oldest_session_is_evicted_when_all_are_taken() {
    let mut sessions = AdminSessions::default();
    for n in 0..MAX_SESSIONS as u64 {
        assert_eq!(sessions.open(Time(n)), (n, None));
    }
    sessions.close(3);
    assert_eq!(sessions.open(Time(100)).1, None, "one has left, there is a place");
    let (number, evicted) = sessions.open(Time(101));
    assert_eq!((number, evicted), (MAX_SESSIONS as u64 + 1, Some(0)), "the oldest gives way");
    assert_eq!(sessions.count(), MAX_SESSIONS);
    let late = Time(REQUEST_TIMEOUT.0 + 2);
    assert_eq!(sessions.expired(late), [1, 2], "the others have some time left");
}
