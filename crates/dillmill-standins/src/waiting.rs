//! Compares orders of serving waiting requests, in a simulation in virtual time that uses the queue and
//! timeout types of the agents.
//!
//! Each agent has a queue for the slots of its target. A power failure stops everything for a while: no
//! opening packet gets through, and callers retransmit those that they sent before. The callers' attempts
//! and copies follow what was observed on the wire (docs/QUESTIONS.md). In place of balancers, each attempt
//! goes to the less loaded of two random agents.

mod agent_queue;
mod packet_ids;
mod queue_order;
mod scenario;
mod simulation;
mod tally;

pub use queue_order::QueueOrder;
pub use scenario::{
    Bursts, CallerClass, OutageScenario, Scenario, Tail, TargetSpec, lost_and_found, menu_service,
    stall_terminals,
};
use serde_json::json;
pub use simulation::{simulate, simulate_classes};
pub use tally::{ClassTally, Tally};

use crate::StandinError;

/// Prints one JSON line for each scenario, order and class of callers, with the outcomes summed over `seeds`
/// seeds.
///
/// # Errors
///
/// Fails when a line can't be serialised.
pub fn run(seeds: u64) -> Result<(), StandinError> {
    let menu = |load: f64| (format!("menu service, {load} per second"), menu_service(load).into());
    let mut scenarios: Vec<(String, Scenario)> = [300.0, 360.0, 430.0, 480.0].map(menu).into();
    scenarios.push(("stall terminals".to_owned(), stall_terminals()));
    scenarios.push(("lost and found".to_owned(), lost_and_found()));
    for (name, scenario) in &scenarios {
        for order in QueueOrder::ALL {
            // Without a second class this is the order `Newest`.
            if order == QueueOrder::StrictPriority && scenario.classes.len() == 1 {
                continue;
            }
            for ClassTally { priority, tally } in sum(order, scenario, seeds) {
                let row = json!({
                    "scenario": name, "order": order.to_string(), "priority": priority,
                    "in time": tally.in_time, "late": tally.late, "lost": tally.lost,
                    "in vain": tally.abandoned,
                });
                let line = serde_json::to_string(&row).map_err(StandinError::at("write result"))?;
                println!("{line}");
            }
        }
    }
    Ok(())
}

/// Returns the outcomes of each class, summed over `seeds` seeds.
fn sum(order: QueueOrder, scenario: &Scenario, seeds: u64) -> Vec<ClassTally> {
    let mut classes = simulate_classes(order, scenario, 1);
    for seed in 2..=seeds {
        for (class, other) in classes.iter_mut().zip(simulate_classes(order, scenario, seed)) {
            class.tally += other.tally;
        }
    }
    classes
}
