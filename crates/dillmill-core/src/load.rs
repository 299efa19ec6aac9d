//! Decisions under load: which request runs next, where, and which is refused.
//!
//! | Module | Responsibility |
//! |---|---|
//! | [`open_queue`] | order in which packets that wait for an overloaded target are served |
//! | [`admission_level`] | share of new flows that a balancer refuses under overload |
//! | [`unservable`] | waiting packets that can't be served within their callers' attempts |
//! | [`return_schedule`] | when callers that the scheduler refuses should return |
//! | [`priority`] | priority of the requests on a route |
//! | [`overload_policy`] | settings that govern decisions under overload |
//! | [`attempt_timeout`] | how long callers wait for the answer to an opening packet |
//! | [`cold_start`] | request rate of a target that has just started |
//! | [`warm_up`] | slots of a target that has just started |
//! | [`scheduler`] | order of requests on a target's slots, by fair shares of groups and deadlines |
//! | [`placement`] | agent that runs a request, by load reports of siblings |
//! | [`retry_budget`] | whether a request may be retried |
//! | [`agent_load`] | how long one more request waits at an agent |
//! | [`sibling_loads`] | latest loads of the other agents of a service |
//! | [`exchange_rounds`] | when, and with which siblings, an agent exchanges its load |
//! | [`rebalancing`] | siblings that serve an overloaded agent's opening packets sooner |

pub mod admission_level;
pub mod agent_load;
pub mod attempt_timeout;
pub mod cold_start;
pub mod exchange_rounds;
pub mod open_queue;
pub mod overload_policy;
pub mod placement;
pub mod priority;
pub mod rebalancing;
pub mod retry_budget;
pub mod return_schedule;
pub mod scheduler;
pub mod sibling_loads;
pub mod unservable;
pub mod warm_up;
