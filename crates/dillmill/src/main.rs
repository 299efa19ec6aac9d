//! The `dillmill` program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use dillmill::command::{self, Command, RoleCommand, Source};
use dillmill::{Agent, Balancer, NodeError, ProcessConfig};
use dillmill_flow::reload::SettingsReloader;
use dillmill_flow::{FlowAgent, FlowBalancer};
use dillmill_node::config::AgentConfig;
use dillmill_node::hang_up::HangUps;
use dillmill_node::{logging, stop};
use dillmill_platform::ProcessSettings;
use error_stack::Report;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

const FAILED: u8 = 1;
const WRONG_INPUT: u8 = 2;

#[compio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (role, source, check) = match command::parse(&args) {
        Ok(Command::Run { role, source, check }) => (role, source, check),
        Ok(Command::Show(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return fail(WRONG_INPUT, &e),
    };
    let code = match source {
        Source::File(path) => Box::pin(serve_http3(role, &path, check)).await,
        Source::Platform { metrics_port } => Box::pin(serve_flows(role, metrics_port, check)).await,
    };
    logging::flush();
    code
}

fn fail(code: u8, e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("dillmill: {e}");
    ExitCode::from(code)
}

fn finish(outcome: Result<(), Report<NodeError>>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(FAILED, report.current_context()),
    }
}

fn checked(path: &Path) -> ExitCode {
    println!("{}: good", path.display());
    ExitCode::SUCCESS
}

async fn serve_http3(role: RoleCommand, path: &Path, check: bool) -> ExitCode {
    let config = match ProcessConfig::open(path).and_then(|c| for_role(c, role, path)) {
        Ok(config) => config,
        Err(report) => return fail(WRONG_INPUT, report.current_context()),
    };
    if check {
        return checked(path);
    }
    finish(run_http3(role, &config).await)
}

async fn serve_flows(role: RoleCommand, metrics_port: Option<u16>, check: bool) -> ExitCode {
    let opened = ProcessSettings::path().and_then(|path| {
        let settings = ProcessSettings::open(&path)?;
        Ok((path, settings))
    });
    let (path, settings) = match opened {
        Ok(opened) => opened,
        Err(e) => return fail(WRONG_INPUT, &e),
    };
    if check {
        return checked(&path);
    }
    let hang_ups = HangUps::register().await;
    finish(run_flows(role, path, settings, metrics_port, hang_ups).await)
}

async fn run_flows(
    role: RoleCommand,
    path: PathBuf,
    settings: ProcessSettings,
    metrics_port: Option<u16>,
    hang_ups: HangUps,
) -> Result<(), Report<NodeError>> {
    match role {
        RoleCommand::Balancer => {
            let balancer = FlowBalancer::spawn(&settings, metrics_port).await?;
            let journal = balancer.node.handle.journal.clone();
            SettingsReloader::spawn(path, settings, balancer.stop_limit.clone(), journal, hang_ups);
            stop::requested().await;
            stop_or_second(balancer.stop()).await
        }
        RoleCommand::Agent => {
            let agent = FlowAgent::spawn(&settings, metrics_port).await?;
            let journal = agent.node.handle.journal.clone();
            SettingsReloader::spawn(path, settings, agent.stop_limit.clone(), journal, hang_ups);
            stop::requested().await;
            stop_or_second(agent.stop()).await
        }
    }
}

fn for_role(
    config: ProcessConfig,
    role: RoleCommand,
    path: &Path,
) -> Result<ProcessConfig, Report<NodeError>> {
    if role == RoleCommand::Agent && config.agent.is_none() {
        let what = "an agent needs the section `agent`";
        return Err(Report::new(NodeError::new("check", path.display(), what)));
    }
    Ok(config)
}

async fn run_http3(role: RoleCommand, config: &ProcessConfig) -> Result<(), Report<NodeError>> {
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
