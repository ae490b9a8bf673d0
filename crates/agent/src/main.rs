//! The program `bellcroft`, a wrapper around the library of this package.

fn main() -> std::process::ExitCode {
    bellcroft::cli::main(std::env::args_os())
}
