//! Settings trees: data model, validation, inheritance and versioning.
//!
//! [`RouteTree`] holds the settings of packet flows, which the users' platform stores: a root, a branch
//! for each service and a leaf for each route. Each revision replaces the whole tree.
//!
//! [`Tree`] holds the settings of HTTP/3 services: a root, a branch for each service and each group, and
//! a leaf for each combination of a group and a service. A value that a node does not set is inherited
//! from the next level: `groups/G/S`, then `groups/G`, then `services/S`, then `root`, then the built-in
//! default.
//!
//! Every accepted edit is a [`Change`] with the next [`Revision`](dillmill_core::Revision). A tree applies
//! change n + 1 only after change n, so no process reverts to an older state and all processes go through
//! the same sequence of states. Operators' edits and running processes are validated by the same code,
//! [`Tree::check`].

pub mod change;
pub mod check;
pub mod compiled;
pub mod inherit;
pub mod node;
pub mod node_path;
pub mod overload;
pub mod route_tree;
pub mod tree;
pub mod yaml;

pub use change::{Change, WriteId};
pub use check::Problem;
pub use compiled::{CompiledTree, Group, Service};
pub use inherit::{Limits, Operation, Origin, ResolvedLimits, ResolvedOperation};
pub use node::{GroupNode, LeafNode, RootNode, ServiceNode, Tls, TokenHash};
pub use node_path::{NodePath, NodePathError};
pub use overload::{Overload, OverloadSettings};
pub use route_tree::{Route, RouteService, RouteTree, RouteTreeError};
pub use tree::{ApplyError, Node, Tree};
