//! Connects balancers to the simulator: reads a batch of events from each line of input and writes the resulting actions as
//! one line of output.

mod error;
mod host;
mod instance;
mod wire;

use error::SessionError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Exit code after an error of the session.
const EXIT_SESSION_ERROR: u8 = 2;

/// Handles batches until the end of the input.
fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), SessionError> {
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut last_round = None;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(SessionError::Read)? == 0 {
            return Ok(());
        }
        let batch: wire::Batch<'_> =
            serde_json::from_slice(&line).map_err(|source| SessionError::Decode { last_round, source })?;
        let round = batch.round;
        last_round = Some(round);
        let reply = host.handle_batch(batch).map_err(|source| SessionError::Batch { round, source })?;
        let mut text = serde_json::to_vec(&reply).map_err(|source| SessionError::Encode { round, source })?;
        text.push(b'\n');
        output
            .write_all(&text)
            .and_then(|()| output.flush())
            .map_err(|source| SessionError::Write { round, source })?;
    }
}

fn main() -> ExitCode {
    // A panic of the balancer is reported to the simulator; the default hook would print it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::from(EXIT_SESSION_ERROR)
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/lines.rs"]
mod tests;
