//! The program `bellcroft`; all that it does is in the library beside it.

fn main() -> std::process::ExitCode {
    bellcroft::cli::main(std::env::args_os())
}
