//! Requests that are not sound beside servers that hang. A quick answer hides whether an agent forwards what it has to refuse, since
//! the client hears of both; a server that says nothing shows it.

mod leaving;
mod servers;

use servers::{HungServers, HANG, PAUSE, SERVERS};
use std::time::Duration;
use testbed::request_forms::{forms, generate, judge, Effect, Form, Verdict};
use testbed::*;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A shorter one, for which clients of the forms wait twice. It is longer than the pause between two writes.
const SHORT_HANG: Duration = Duration::from_millis(40);
/// The time in which a client is owed the refusal of what is not sound: clients of the platform have been seen to leave after it.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
/// The number of connections at one time.
const CONCURRENT: usize = 24;

/// Where the bytes of a form stand, and how they come.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    Alone,
    /// In two writes.
    Divided,
    /// In one write with a sound request behind it.
    Before,
    /// In one write with a sound request before it.
    Behind,
    /// In one write with several sound requests before it.
    BehindSeveral,
    /// In one write with sound requests before and behind it.
    Between,
    /// In a write of its own while a sound request before it is open.
    BehindInTwoWrites,
    /// On a connection over which a request has been answered.
    Rested,
}

impl Place {
    const ALL: [Place; 8] = [
        Place::Alone,
        Place::Divided,
        Place::Before,
        Place::Behind,
        Place::BehindSeveral,
        Place::Between,
        Place::BehindInTwoWrites,
        Place::Rested,
    ];

    /// Whether a form keeps its meaning there.
    fn suits(self, form: &Form) -> bool {
        !form.in_one_write || !matches!(self, Place::Divided | Place::Before | Place::Between)
    }

    /// The number of sound requests that may have been forwarded before the form comes.
    fn forwarded_before(self) -> usize {
        usize::from(self == Place::BehindInTwoWrites)
    }

    /// The writes for a form.
    fn writes(self, form: &[u8], id: &str) -> Vec<Vec<u8>> {
        let sound =
            |name: &str| request_as(&format!("{id}-{name}"), "GET", "/read/sound", "20000m", "").into_bytes();
        match self {
            Place::Alone | Place::Rested => vec![form.to_vec()],
            Place::Divided => {
                let (begin, rest) = form.split_at(form.len() / 2);
                vec![begin.to_vec(), rest.to_vec()]
            }
            Place::Before => vec![[form, &sound("after")].concat()],
            Place::Behind => vec![[&sound("before"), form].concat()],
            Place::BehindSeveral => {
                let before: Vec<u8> = (0..5).flat_map(|number| sound(&number.to_string())).collect();
                vec![[&before, form].concat()]
            }
            Place::Between => vec![[&sound("before"), form, &sound("after")].concat()],
            Place::BehindInTwoWrites => vec![sound("before"), form.to_vec()],
        }
    }
}

/// Sends these writes, and returns the status of the first final answer: none if the connection ends without one, and an error if
/// nothing comes in the time of a refusal.
async fn send(mut client: Client, writes: Vec<Vec<u8>>) -> Result<Option<u16>, &'static str> {
    client.stream.set_nodelay(true).expect("an option");
    for (number, write) in writes.iter().enumerate() {
        if number > 0 {
            sleep(PAUSE).await;
        }
        // The agent may have refused it already.
        let _ = client.stream.write_all(write).await;
    }
    timeout(REFUSAL_TIME, client.nth_final_status(1)).await.map_err(|_| "silence")
}

/// Whether a request is refused in time, with an error or a close.
fn is_refused(answer: Result<Option<u16>, &'static str>) -> bool {
    answer.is_ok_and(is_error)
}

/// A client of the agent; one that rests has had an answer, which the agent gives itself.
async fn client_at(agent: &Agent, place: Place) -> Client {
    let mut client = agent.client().await;
    if place == Place::Rested {
        let ready = "GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
        assert_eq!(client.ask(ready).await.status(), 200);
    }
    client
}

/// Sends all unsound forms of an effect in a place, and says what is wrong with what the agent made of them.
async fn try_unsound_forms(hung: &mut HungServers, effect: Effect, place: Place) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut allowed = 0;
    let mut sending = JoinSet::new();
    for (number, form) in forms(effect, &format!("{effect:?}-{place:?}")).into_iter().enumerate() {
        if form.is_sound || !place.suits(&form) {
            continue;
        }
        if sending.len() == CONCURRENT {
            wrong.extend(sending.join_next().await.and_then(|sent| sent.expect("it does not fail")));
        }
        allowed += place.forwarded_before();
        let client = client_at(&hung.agent, place).await;
        let writes = place.writes(&form.bytes, &format!("{effect:?}-{place:?}-sound-{number}"));
        sending.spawn(async move {
            let answer = send(client, writes).await;
            (!is_refused(answer)).then(|| format!("{effect:?} {place:?} {}: {answer:?}", form.rule))
        });
    }
    while let Some(sent) = sending.join_next().await {
        wrong.extend(sent.expect("it does not fail"));
    }
    let begun = hung.begun();
    if begun.len() > allowed || begun.iter().any(|request| !request.contains("/read/sound")) {
        wrong.push(format!("{effect:?} {place:?}: servers got {} requests: {begun:?}", begun.len()));
    }
    wrong
}

/// Guards against unsound requests, and sound ones with unsound ones behind them, that are forwarded and kept waiting in silence.
#[tokio::test]
async fn unsound_form_beside_hung_servers_gets_an_error_and_reaches_no_server() {
    let mut hung = HungServers::start(HANG, patient_config).await;
    let mut wrong = Vec::new();
    for effect in Effect::ALL {
        for place in Place::ALL {
            wrong.extend(try_unsound_forms(&mut hung, effect, place).await);
        }
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    assert!(hung.agent.logged("position=Following") > 0, "no line in the log");
}

/// The opposite: sound requests behind one that its server holds cost nothing, in one write and in two.
#[tokio::test]
async fn sound_form_behind_a_request_at_a_hung_server_is_served() {
    let hung = HungServers::start(SHORT_HANG, config).await;
    let mut sending = JoinSet::new();
    for effect in Effect::ALL {
        for place in [Place::Behind, Place::BehindInTwoWrites] {
            let id = format!("{effect:?}-{place:?}");
            for (number, form) in forms(effect, &id).into_iter().enumerate().filter(|(_, form)| form.is_sound)
            {
                let mut client = hung.agent.client().await;
                let writes = place.writes(&form.bytes, &format!("{id}-sound-{number}"));
                sending.spawn(async move {
                    for write in writes {
                        client.stream.write_all(&write).await.expect("the agent reads");
                        sleep(PAUSE).await;
                    }
                    let second = timeout(LONG, client.nth_final_status(2)).await.expect("both answers");
                    assert_eq!(second, Some(200), "{effect:?} {place:?} {}", form.rule);
                });
                if sending.len() == SERVERS {
                    sending.join_next().await.expect("one").expect("both are served");
                }
            }
        }
    }
    while let Some(sent) = sending.join_next().await {
        sent.expect("both are served");
    }
}

/// Guards against copies of a request that wait behind it: an id is new with every request.
#[tokio::test]
async fn copy_of_an_open_request_behind_it_gets_an_error() {
    let mut hung = HungServers::start(HANG, patient_config).await;
    for (method, path) in [("GET", "/read/copy"), ("POST", "/save/copy"), ("POST", "/pay/copy")] {
        let copy =
            |name: &str| request_as(&format!("{path}-{name}"), method, path, "20000m", "").into_bytes();
        let other = request_as(&format!("{path}-other"), "GET", "/read/other", "20000m", "").into_bytes();
        let rows = [
            ("in one write", vec![[copy("a"), copy("a")].concat()], 0),
            ("behind another", vec![[copy("b"), other.clone(), copy("b")].concat()], 0),
            ("two behind another", vec![[other, copy("c"), copy("c")].concat()], 0),
            ("in two writes", vec![copy("d"), copy("d")], 1),
        ];
        for (name, writes, forwarded) in rows {
            let answer = send(hung.agent.client().await, writes).await;
            assert!(is_refused(answer), "{path} {name}: {answer:?}");
            let begun = hung.begun();
            assert!(begun.len() <= forwarded, "{path} {name}: {begun:?}");
        }
    }
}

/// Many sound requests in one write are served in order, and one that is not sound behind them is found before any is forwarded.
#[tokio::test]
async fn unsound_request_behind_many_sound_ones_is_found_before_one_is_forwarded() {
    const REQUESTS: usize = 200;
    let mut hung = HungServers::start(HANG, patient_config).await;
    let requests = |id: &str| -> Vec<u8> {
        let request = |number| request_as(&format!("{id}-{number}"), "GET", "/read/many", "20000m", "");
        (0..REQUESTS).flat_map(|number| request(number).into_bytes()).collect()
    };
    let unsound = request("GET", "/nosuch/class", "20000m", "").into_bytes();
    let answer = send(hung.agent.client().await, vec![[requests("unsound"), unsound].concat()]).await;
    assert!(is_refused(answer), "{answer:?}");
    assert_eq!(hung.begun(), Vec::<String>::new());
    let mut quick = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = patient_config(directory.address, &[host("s", quick.address, "up")]);
    config["settings"]["parties"][0]["allowancePerS"] = 100_000.0.into();
    let agent = Agent::with(config, |_| {}).await;
    agent.ready().await;
    let mut client = agent.client().await;
    client.stream.write_all(&requests("sound")).await.expect("the agent reads");
    for number in 0..REQUESTS {
        assert_eq!(client.answer().await.status(), 200, "{number}");
    }
    let wanted: Vec<String> = (0..REQUESTS).map(|number| format!("/read/many sound-{number}")).collect();
    assert_eq!(quick.record().1, wanted);
}

/// Guards against heads that are too long and pass for the beginning of a request that may become sound.
#[tokio::test]
async fn head_that_is_too_long_behind_an_open_request_gets_an_error() {
    let mut hung = HungServers::start(HANG, patient_config).await;
    for length in [16 << 10, 20_000, 60_000] {
        let padding = format!("HTTP/1.1\r\nX-Padding: {}\r\n", "p".repeat(length));
        let complete = request("GET", "/read/long", "20000m", "").replacen("HTTP/1.1\r\n", &padding, 1);
        let incomplete = &complete[..length + 100];
        for (name, text) in [("complete", complete.as_str()), ("incomplete", incomplete)] {
            let open = request("GET", "/read/sound", "20000m", "");
            let answer = send(hung.agent.client().await, vec![(open + text).into_bytes()]).await;
            assert!(is_refused(answer), "{name} {length}: {answer:?}");
        }
    }
    // The open request may have gone out before more than one read of the head behind it.
    assert!(hung.begun().iter().all(|request| request.contains("/read/sound")));
}

/// A request whose server hangs and then breaks its connection has no further attempt once what stands behind it is not sound.
#[tokio::test]
async fn no_attempt_follows_an_unsound_request_behind_an_open_one() {
    let mut server = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent =
        Agent::with(patient_config(directory.address, &[host("s", server.address, "up")]), |_| {}).await;
    agent.ready().await;
    let unsound = request("GET", "/read/unsound", "0m", "").into_bytes();
    let open = request("GET", "/read/open", "20000m", "").into_bytes();
    let answer = send(agent.client().await, vec![open, unsound]).await;
    assert!(is_refused(answer), "{answer:?}");
    assert_eq!(server.record().1.len(), 1);
    server.closes.send_replace(true);
    sleep(HANG).await;
    assert_eq!(server.record().1, Vec::<String>::new());
}

/// What a client left behind an open request is in the log: no other record tells whether its request may have been unsound.
#[tokio::test]
async fn client_that_leaves_with_bytes_behind_its_request_is_logged() {
    let hung = HungServers::start(HANG, patient_config).await;
    let open = request_as("left-open", "GET", "/read/open", "20000m", "");
    let mut client = hung.agent.client().await;
    client.send(&(open + "GET /read")).await;
    sleep(PAUSE).await;
    drop(client);
    hung.agent.until_logged("following_bytes=9").await;
    assert_eq!(hung.agent.logged("client disconnected id=\"left-open\""), 1);
}

/// The number of requests that are drawn.
const GENERATED_REQUESTS: usize = 1_000;

/// Guards against leniencies and refusals that no row of the table names: what stands behind a request at a hung server is judged as
/// the reference grammar says, and only what is certain counts.
#[tokio::test]
async fn generated_requests_behind_an_open_one_are_judged_as_the_reference_grammar_says() {
    let hung = HungServers::start(HANG, patient_config).await;
    let mut random = fastrand::Rng::with_seed(83);
    let mut wrong = Vec::new();
    let mut sending = JoinSet::new();
    for number in 0..GENERATED_REQUESTS {
        let bytes = generate(&mut random).bytes();
        let verdict = judge(&bytes);
        if sending.len() == CONCURRENT {
            wrong.extend(sending.join_next().await.and_then(|sent| sent.expect("it does not fail")));
        }
        let client = hung.agent.client().await;
        sending.spawn(async move {
            let answer = send(client, Place::Behind.writes(&bytes, &format!("generated-{number}"))).await;
            let is_right = match verdict {
                Verdict::Unsound(_) => is_refused(answer),
                Verdict::Sound { .. } => answer == Err("silence"),
                Verdict::Incomplete => true,
            };
            (!is_right).then(|| format!("{verdict:?}, {answer:?}: {}", bytes.escape_ascii()))
        });
    }
    while let Some(sent) = sending.join_next().await {
        wrong.extend(sent.expect("it does not fail"));
    }
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
}
