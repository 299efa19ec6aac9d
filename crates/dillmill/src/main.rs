//! The `dillmill` program: runs a balancer or an agent until it is stopped by a signal.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use dillmill::command::{self, Command, RoleCommand, SettingsSource};
use dillmill::{Agent, Balancer, NodeError, ProcessConfig};
use dillmill_flow::reload::SettingsReloader;
use dillmill_flow::{FlowAgent, FlowBalancer};
use dillmill_node::config::AgentConfig;
use dillmill_node::logging;
use dillmill_node::signals::{SignalReceiver, StopSignals};
use dillmill_platform::ProcessSettings;
use error_stack::Report;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

const FAILED: u8 = 1;
const INVALID_INPUT: u8 = 2;

#[compio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (role, source, check) = match command::parse(&args) {
        Ok(Command::Run { role, source, check }) => (role, source, check),
        Ok(Command::Show(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return fail(INVALID_INPUT, &e),
    };
    let code = match source {
        SettingsSource::File(path) => Box::pin(serve_http3(role, &path, check)).await,
        SettingsSource::Platform { metrics_port } => {
            Box::pin(serve_flows(role, metrics_port, check)).await
        }
    };
    logging::flush();
    code
}

fn fail(code: u8, e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("dillmill: {e}");
    ExitCode::from(code)
}

fn to_exit_code(outcome: Result<(), Report<NodeError>>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(FAILED, report.current_context()),
    }
}

fn report_valid(path: &Path) -> ExitCode {
    println!("{}: good", path.display());
    ExitCode::SUCCESS
}

async fn serve_http3(role: RoleCommand, path: &Path, check: bool) -> ExitCode {
    let config = match ProcessConfig::open(path).and_then(|c| check_role(c, role, path)) {
        Ok(config) => config,
        Err(report) => return fail(INVALID_INPUT, report.current_context()),
    };
    if check {
        return report_valid(path);
    }
    to_exit_code(run_http3(role, &config).await)
}

async fn serve_flows(role: RoleCommand, metrics_port: Option<u16>, check: bool) -> ExitCode {
    let opened = ProcessSettings::path().and_then(|path| {
        let settings = ProcessSettings::open(&path)?;
        Ok((path, settings))
    });
    let (path, settings) = match opened {
        Ok(opened) => opened,
        Err(e) => return fail(INVALID_INPUT, &e),
    };
    if check {
        return report_valid(&path);
    }
    let stops = StopSignals::register().await;
    let hang_ups = SignalReceiver::hang_ups().await;
    to_exit_code(run_flows(role, path, settings, metrics_port, hang_ups, stops).await)
}

async fn run_flows(
    role: RoleCommand,
    path: PathBuf,
    settings: ProcessSettings,
    metrics_port: Option<u16>,
    hang_ups: SignalReceiver,
    mut stops: StopSignals,
) -> Result<(), Report<NodeError>> {
    match role {
        RoleCommand::Balancer => {
            let balancer = FlowBalancer::spawn(&settings, metrics_port).await?;
            let journal = balancer.node.handle.journal.clone();
            SettingsReloader::spawn(path, settings, balancer.stop_limit.clone(), journal, hang_ups);
            stops.next().await;
            stop_or_abort(balancer.stop(), stops).await
        }
        RoleCommand::Agent => {
            let agent = FlowAgent::spawn(&settings, metrics_port).await?;
            let journal = agent.node.handle.journal.clone();
            SettingsReloader::spawn(path, settings, agent.stop_limit.clone(), journal, hang_ups);
            stops.next().await;
            stop_or_abort(agent.stop(), stops).await
        }
    }
}

fn check_role(
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
    let mut stops = StopSignals::register().await;
    match (role, &config.agent) {
        (RoleCommand::Agent, Some(agent)) => run_agent(config, agent, stops).await,
        (RoleCommand::Agent, None) | (RoleCommand::Balancer, _) => {
            let balancer = Balancer::spawn(config).await?;
            stops.next().await;
            stop_or_abort(balancer.stop(), stops).await
        }
    }
}

/// Runs an agent until it is stopped. A stop signal that arrives while the agent still waits for its
/// settings ends the process immediately.
async fn run_agent(
    config: &ProcessConfig,
    agent: &AgentConfig,
    mut stops: StopSignals,
) -> Result<(), Report<NodeError>> {
    let starting = Box::pin(Agent::spawn(config, agent));
    let started = match select(starting, Box::pin(stops.next())).await {
        Either::Left((agent, _)) => agent?,
        Either::Right(_) => return Ok(()),
    };
    stops.next().await;
    stop_or_abort(Box::pin(started.stop()), stops).await
}

/// Performs the planned stop. A second signal ends the process immediately, which is reported as a failure.
async fn stop_or_abort(
    stopping: impl Future<Output = ()>,
    mut stops: StopSignals,
) -> Result<(), Report<NodeError>> {
    let second = stops.next();
    pin_mut!(stopping, second);
    match select(stopping, second).await {
        Either::Left(_) => Ok(()),
        Either::Right(_) => {
            let what = "a second signal arrived before the planned stop was complete";
            Err(Report::new(NodeError::new("stop", "process", what)))
        }
    }
}
