//! Paths that identify the nodes of a settings tree.

use std::fmt;
use std::str::FromStr;

use dillmill_core::{GroupName, ServiceName};
use serde::{Deserialize, Serialize};

/// Path of a node: `root`, `services/S`, `groups/G` or `groups/G/S`.
///
/// ```
/// use dillmill_settings::NodePath;
///
/// let path: NodePath = "groups/tellers/cotiza".parse()?;
/// assert_eq!(path.to_string(), "groups/tellers/cotiza");
/// assert!("groups".parse::<NodePath>().is_err());
/// # Ok::<(), dillmill_settings::NodePathError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum NodePath {
    /// Settings of the whole installation.
    Root,
    /// Settings of a service.
    Service(ServiceName),
    /// Settings of a group.
    Group(GroupName),
    /// Settings of a group on one service.
    Leaf(GroupName, ServiceName),
}

/// Error for a text that is not a node path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no place in the tree: expected root, services/S, groups/G or groups/G/S")]
pub struct NodePathError(String);

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("root"),
            Self::Service(service) => write!(f, "services/{service}"),
            Self::Group(group) => write!(f, "groups/{group}"),
            Self::Leaf(group, service) => write!(f, "groups/{group}/{service}"),
        }
    }
}

impl FromStr for NodePath {
    type Err = NodePathError;

    fn from_str(text: &str) -> Result<Self, NodePathError> {
        let refuse = || NodePathError(text.to_owned());
        let parts: Vec<&str> = text.split('/').collect();
        match parts[..] {
            ["root"] => Ok(Self::Root),
            ["services", service] => Ok(Self::Service(service.parse().map_err(|_| refuse())?)),
            ["groups", group] => Ok(Self::Group(group.parse().map_err(|_| refuse())?)),
            ["groups", group, service] => Ok(Self::Leaf(
                group.parse().map_err(|_| refuse())?,
                service.parse().map_err(|_| refuse())?,
            )),
            _ => Err(refuse()),
        }
    }
}

impl TryFrom<String> for NodePath {
    type Error = NodePathError;

    fn try_from(text: String) -> Result<Self, NodePathError> {
        text.parse()
    }
}

impl From<NodePath> for String {
    fn from(path: NodePath) -> Self {
        path.to_string()
    }
}
