//! Entry point of the `dillmill-standins` program: the stand-ins, the demonstration and the measuring tools.

use std::process::ExitCode;

use dillmill_standins::command;

#[compio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match Box::pin(command::run(&args)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dillmill-standins: {e}");
            ExitCode::FAILURE
        }
    }
}
