//! The `dillmill` program.

use std::process::ExitCode;

use dillmill::command::{self, Command, RoleCommand};
use dillmill::{Agent, Balancer, NodeError, ProcessConfig};
use dillmill_node::config::AgentConfig;
use dillmill_node::stop;
use error_stack::Report;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

const FAILED: u8 = 1;
const WRONG_INPUT: u8 = 2;

#[compio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (role, path, check) = match command::parse(&args) {
        Ok(Command::Run { role, config, check }) => (role, config, check),
        Ok(Command::Show(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return fail(WRONG_INPUT, &e),
    };
    let config = match ProcessConfig::open(&path).and_then(|c| for_role(c, role, &path)) {
        Ok(config) => config,
        Err(report) => return fail(WRONG_INPUT, report.current_context()),
    };
    if check {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    match Box::pin(run(role, &config)).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(FAILED, report.current_context()),
    }
}

fn fail(code: u8, e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("dillmill: {e}");
    ExitCode::from(code)
}

fn for_role(
    config: ProcessConfig,
    role: RoleCommand,
    path: &std::path::Path,
) -> Result<ProcessConfig, Report<NodeError>> {
    if role == RoleCommand::Agent && config.agent.is_none() {
        let what = "an agent needs the section `agent`";
        return Err(Report::new(NodeError::new("check", path.display(), what)));
    }
    Ok(config)
}

async fn run(role: RoleCommand, config: &ProcessConfig) -> Result<(), Report<NodeError>> {
    match (role, &config.agent) {
        (RoleCommand::Agent, Some(agent)) => run_agent(config, agent).await,
        (RoleCommand::Agent, None) | (RoleCommand::Balancer, _) => {
            let balancer = Balancer::spawn(config).await?;
            stop::requested().await;
            stop_or_second(balancer.stop()).await
        }
    }
}

/// Runs an agent; a stop that is asked for before it has settings ends it at once.
async fn run_agent(config: &ProcessConfig, agent: &AgentConfig) -> Result<(), Report<NodeError>> {
    let starting = Box::pin(Agent::spawn(config, agent));
    let stopping = Box::pin(stop::requested());
    if let Either::Left((agent, stopping)) = select(starting, stopping).await {
        let agent = agent?;
        stopping.await;
        return stop_or_second(Box::pin(agent.stop())).await;
    }
    Ok(())
}

/// Stops as planned; a second signal ends the process at once, which is a failure.
async fn stop_or_second(stopping: impl Future<Output = ()>) -> Result<(), Report<NodeError>> {
    let second = stop::requested();
    pin_mut!(stopping, second);
    match select(stopping, second).await {
        Either::Left(_) => Ok(()),
        Either::Right(_) => {
            let what = "a second signal came before the planned stop was done";
            Err(Report::new(NodeError::new("stop", "process", what)))
        }
    }
}
