//! A validated settings tree, indexed for lookups at run time.

use std::collections::{BTreeMap, HashMap};

use dillmill_core::{FlowKeys, GroupName, Revision, ServiceName, ServiceNumber};

use crate::NodePath;
use crate::check::ParsedNodes;
use crate::inherit::{Limits, Operation, Origin, ResolvedLimits, ResolvedOperation};
use crate::node::{GroupNode, LeafNode, RootNode, ServiceNode, TokenHash};

/// A service with its effective operation settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Node of the service.
    pub node: ServiceNode,
    /// Effective operation settings, with inherited values.
    pub operation: ResolvedOperation,
}

/// A group with its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Name.
    pub name: GroupName,
    /// Node of the group.
    pub node: GroupNode,
}

/// An effective value with its explanation: key, value as text, and origin.
pub type ExplainedValue = (&'static str, String, Origin);

/// A validated tree.
#[derive(Debug, Clone)]
pub struct CompiledTree {
    revision: Revision,
    flow_keys: FlowKeys,
    root: RootNode,
    services: BTreeMap<ServiceName, Service>,
    groups: BTreeMap<GroupName, Group>,
    leaves: BTreeMap<(GroupName, ServiceName), LeafNode>,
    tokens: HashMap<TokenHash, GroupName>,
}

impl CompiledTree {
    pub(crate) fn new(revision: Revision, flow_keys: FlowKeys, nodes: ParsedNodes) -> Self {
        let root = nodes.root.unwrap_or_else(|| RootNode {
            flow_keys: Vec::new(),
            limits: Limits::default(),
            operation: Operation::default(),
        });
        let service = |(name, node): (ServiceName, ServiceNode)| {
            let operation = ResolvedOperation::resolve(&[&node.operation, &root.operation]);
            (name.clone(), Service { name, node, operation })
        };
        let tokens = nodes
            .groups
            .iter()
            .flat_map(|(name, node)| node.tokens.iter().map(|token| (*token, name.clone())))
            .collect();
        let services = nodes.services.into_iter().map(service).collect();
        let groups = nodes
            .groups
            .into_iter()
            .map(|(name, node)| (name.clone(), Group { name, node }))
            .collect();
        Self { revision, flow_keys, root, services, groups, leaves: nodes.leaves, tokens }
    }

    /// Returns the revision of the tree.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the keys that seal and open connection ids.
    #[must_use]
    pub fn flow_keys(&self) -> &FlowKeys {
        &self.flow_keys
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the service with the given number.
    #[must_use]
    pub fn service_by_number(&self, number: ServiceNumber) -> Option<&Service> {
        self.services.values().find(|service| service.node.number == number)
    }

    /// Returns the group that a bearer token belongs to.
    #[must_use]
    pub fn group_of_token(&self, token: &str) -> Option<&GroupName> {
        self.tokens.get(&TokenHash::of(token))
    }

    fn chain<'a>(
        &'a self,
        group: &GroupName,
        service: &ServiceName,
    ) -> Vec<(NodePath, &'a Limits)> {
        let mut chain = Vec::new();
        if let Some(leaf) = self.leaves.get(&(group.clone(), service.clone())) {
            chain.push((NodePath::Leaf(group.clone(), service.clone()), &leaf.limits));
        }
        if let Some(found) = self.groups.get(group) {
            chain.push((NodePath::Group(group.clone()), &found.node.limits));
        }
        if let Some(found) = self.services.get(service) {
            chain.push((NodePath::Service(service.clone()), &found.node.limits));
        }
        chain.push((NodePath::Root, &self.root.limits));
        chain
    }

    /// Returns the effective limits for `group` on `service`.
    #[must_use]
    pub fn limits(&self, group: &GroupName, service: &ServiceName) -> ResolvedLimits {
        let chain: Vec<&Limits> =
            self.chain(group, service).into_iter().map(|(_, limits)| limits).collect();
        ResolvedLimits::resolve(&chain)
    }

    /// Returns the effective limits for `group` on `service` with their origins.
    #[must_use]
    pub fn explain_limits(&self, group: &GroupName, service: &ServiceName) -> Vec<ExplainedValue> {
        ResolvedLimits::explain(&self.chain(group, service))
    }

    /// Returns the effective operation settings of `service` with their origins, or `None` for an
    /// unknown service.
    #[must_use]
    pub fn explain_operation(&self, service: &ServiceName) -> Option<Vec<ExplainedValue>> {
        let found = self.services.get(service)?;
        let chain = [
            (NodePath::Service(service.clone()), &found.node.operation),
            (NodePath::Root, &self.root.operation),
        ];
        Some(ResolvedOperation::explain(&chain))
    }
}
