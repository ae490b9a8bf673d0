//! The cases of the second review. Each is run by the script of its folder: `stand_ins CASE RECORD`.
//! Exit code 1: the rule was broken. 0: it held. 2: the case could not run.

mod agent;
mod backend;
mod cases;
mod client;
mod discovery;
mod http;
mod record;

use std::path::PathBuf;

/// What a case has at hand.
pub struct Run {
    pub record: record::Record,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// A private folder that is removed at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("stand_ins CASE RECORD");
        std::process::exit(2);
    };
    std::process::exit(run(case, record));
}

fn run(case: &str, record: &str) -> i32 {
    let Ok(record) = record::Record::create(record) else { return 2 };
    let folder = Folder(std::env::temp_dir().join(format!("review-2-{}", std::process::id())));
    if std::fs::create_dir_all(&folder.0).is_err() {
        return 2;
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line("case", &format!("{case}, trouble={trouble}"));
    let run = Run { record: record.clone(), folder: folder.0.clone(), trouble };
    // A case that panics could not run; what it started is ended as it unwinds.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(case, &run)));
    let verdict = verdict.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    let (code, text) = match verdict {
        Ok(broken) if broken.is_empty() => (0, "held".to_owned()),
        Ok(broken) => {
            for line in &broken {
                record.line("broken", line);
            }
            (1, format!("BROKEN, {} times; first: {}", broken.len(), broken[0]))
        }
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.line("verdict", &text);
    println!("{case} (trouble={trouble}): {text}");
    code
}

fn play(case: &str, run: &Run) -> cases::Verdict {
    match case {
        "reloads" => cases::reloads(run),
        "endless" => cases::endless(run),
        "roll" => cases::roll(run),
        "outage" => cases::outage(run),
        "transition" => cases::transition(run),
        _ => Err(format!("there is no case {case}")),
    }
}
