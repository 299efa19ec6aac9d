//! The tree of settings: its form, its checks and what follows from it.
//!
//! [`RouteTree`] is the form for packet flows, which the users' platform keeps: a root, a branch for
//! each service, a leaf for each route, replaced as a whole at each revision.
//!
//! The tree of HTTP/3 services has a root, a branch for each service and each group, and a leaf for a
//! group on one service. A value that a node does not give comes from the next node up:
//! `groups/G/S`, then `groups/G`, then `services/S`, then `root`, then the built-in default.
//!
//! Every accepted edit is a [`Change`] with the next [`Revision`](dillmill_core::Revision). A tree
//! takes change n + 1 only after change n, so no process goes back and all pass through the same
//! states. Operators' edits and processes use the same code, [`Tree::check`].

pub mod change;
pub mod check;
pub mod compiled;
pub mod inherit;
pub mod node;
pub mod node_path;
pub mod route_tree;
pub mod tree;
pub mod yaml;

pub use change::{Change, WriteId};
pub use check::Problem;
pub use compiled::{CompiledTree, Group, Service};
pub use inherit::{Limits, Operation, Origin, ResolvedLimits, ResolvedOperation};
pub use node::{GroupNode, LeafNode, RootNode, ServiceNode, Tls, TokenHash};
pub use node_path::{NodePath, NodePathError};
pub use route_tree::{Route, RouteService, RouteTree, RouteTreeError};
pub use tree::{ApplyError, Node, Tree};
