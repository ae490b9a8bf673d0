//! Lets bellcroft_balancer balancers decide on the simulator's wire: a line of events in, a line of actions out.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Reads batches until the input ends; the error is what a person should read.
fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut last_round = None;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("cannot read the input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        let after = || last_round.map_or("the first round".into(), |r| format!("the round after {r}"));
        let batch: wire::Batch<'_> =
            serde_json::from_slice(&line).map_err(|e| format!("{}: not a batch: {e}", after()))?;
        let round = batch.round;
        last_round = Some(round);
        let reply = host.play(batch).map_err(|fault| format!("round {round}: {fault}"))?;
        let mut text = serde_json::to_vec(&reply).map_err(|e| format!("round {round}: {e}"))?;
        text.push(b'\n');
        output
            .write_all(&text)
            .and_then(|()| output.flush())
            .map_err(|e| format!("round {round}: cannot write the reply: {e}"))?;
    }
}

fn main() -> ExitCode {
    // A panic of the decision code goes out on the wire; the hook's own lines would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("simulator-adapter: {fault}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
