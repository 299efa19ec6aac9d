//! Parses and validates a whole settings tree.

use std::collections::BTreeMap;
use std::fmt;

use dillmill_core::{FlowKeys, GroupName, ServiceName};
use serde::de::DeserializeOwned;

use crate::compiled::CompiledTree;
use crate::inherit::OutOfRange;
use crate::node::{GroupNode, LeafNode, RootNode, ServiceNode};
use crate::{NodePath, Tree, yaml};

/// A validation error in a tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the node.
    pub path: NodePath,
    /// Line in the node's text, counted from 1, if known.
    pub line: Option<usize>,
    /// Keys leading to the value, joined by dots; may be empty.
    pub key: String,
    /// Description of the problem.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() && self.key != "." {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// The parsed nodes of a tree, by kind.
#[derive(Debug, Default)]
pub(crate) struct ParsedNodes {
    pub(crate) root: Option<RootNode>,
    pub(crate) services: BTreeMap<ServiceName, ServiceNode>,
    pub(crate) groups: BTreeMap<GroupName, GroupNode>,
    pub(crate) leaves: BTreeMap<(GroupName, ServiceName), LeafNode>,
}

struct Checker<'a> {
    tree: &'a Tree,
    problems: Vec<Problem>,
}

impl Tree {
    /// Parses and validates the whole tree.
    ///
    /// # Errors
    ///
    /// Returns all problems found, each with its node and, where known, its line and key.
    pub fn check(&self) -> Result<CompiledTree, Vec<Problem>> {
        let mut checker = Checker { tree: self, problems: Vec::new() };
        let nodes = checker.read_all();
        checker.check_ranges(&nodes);
        checker.check_services(&nodes);
        checker.check_groups(&nodes);
        let keys = checker.check_root(&nodes);
        match (nodes.root.is_some(), keys) {
            (true, Some(keys)) if checker.problems.is_empty() => {
                Ok(CompiledTree::new(self.revision, keys, nodes))
            }
            _ => Err(checker.problems),
        }
    }
}

impl Checker<'_> {
    fn read_all(&mut self) -> ParsedNodes {
        let mut nodes = ParsedNodes::default();
        for path in self.tree.nodes.keys() {
            match path {
                NodePath::Root => nodes.root = self.read(path),
                NodePath::Service(service) => {
                    nodes.services.extend(self.read(path).map(|n| (service.clone(), n)));
                }
                NodePath::Group(group) => {
                    nodes.groups.extend(self.read(path).map(|n| (group.clone(), n)));
                }
                NodePath::Leaf(group, service) => {
                    let place = (group.clone(), service.clone());
                    nodes.leaves.extend(self.read(path).map(|n| (place, n)));
                }
            }
        }
        nodes
    }

    fn read<T: DeserializeOwned>(&mut self, path: &NodePath) -> Option<T> {
        match yaml::read(&self.tree.nodes[path].text) {
            Ok(node) => Some(node),
            Err(e) => {
                let path = path.clone();
                self.problems.push(Problem { path, line: e.line, key: e.key, message: e.message });
                None
            }
        }
    }

    fn report(&mut self, path: NodePath, key: &str, message: String) {
        let text = self.tree.nodes.get(&path).map_or("", |node| &node.text);
        let line = yaml::line_of(text, key);
        self.problems.push(Problem { path, line, key: key.to_owned(), message });
    }

    fn check_ranges(&mut self, nodes: &ParsedNodes) {
        if let Some(root) = &nodes.root {
            self.report_ranges(&NodePath::Root, "limits", root.limits.out_of_range());
            self.report_ranges(&NodePath::Root, "operation", root.operation.out_of_range());
        }
        for (name, service) in &nodes.services {
            let path = NodePath::Service(name.clone());
            self.report_ranges(&path, "limits", service.limits.out_of_range());
            self.report_ranges(&path, "operation", service.operation.out_of_range());
        }
        for (name, group) in &nodes.groups {
            let path = NodePath::Group(name.clone());
            self.report_ranges(&path, "limits", group.limits.out_of_range());
        }
        for ((group, service), leaf) in &nodes.leaves {
            let path = NodePath::Leaf(group.clone(), service.clone());
            self.report_ranges(&path, "limits", leaf.limits.out_of_range());
        }
    }

    fn report_ranges(&mut self, path: &NodePath, section: &str, found: Vec<OutOfRange>) {
        for wrong in found {
            self.report(path.clone(), &format!("{section}.{}", wrong.key), wrong.message);
        }
    }

    fn check_root(&mut self, nodes: &ParsedNodes) -> Option<FlowKeys> {
        if !self.tree.nodes.contains_key(&NodePath::Root) {
            self.report(NodePath::Root, "", "the tree has no root".to_owned());
        }
        let root = nodes.root.as_ref()?;
        FlowKeys::new(&root.flow_keys)
            .map_err(|e| self.report(NodePath::Root, "flow_keys", e.to_string()))
            .ok()
    }

    fn check_services(&mut self, nodes: &ParsedNodes) {
        let mut numbers = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (name, service) in &nodes.services {
            let path = NodePath::Service(name.clone());
            if let Some(other) = numbers.insert(service.number, name) {
                let message = format!("{} is already used by services/{other}", service.number);
                self.report(path.clone(), "number", message);
            }
            if let Some(other) = addresses.insert(service.address, name) {
                let message = format!("{} is already used by services/{other}", service.address);
                self.report(path.clone(), "address", message);
            }
            if service.slots.0 == 0 {
                self.report(path.clone(), "slots", "a target needs at least 1 slot".to_owned());
            }
            if let Some(feed) = service.feeds.iter().find(|feed| !feed.starts_with('/')) {
                self.report(path.clone(), "feeds", format!("`{feed}` does not start with /"));
            }
            if !service.tls.certificate.contains("-----BEGIN CERTIFICATE-----") {
                self.report(path.clone(), "tls.certificate", "not a PEM certificate".to_owned());
            }
            if !service.tls.key.reveal().contains("PRIVATE KEY-----") {
                self.report(path, "tls.key", "not a PEM private key".to_owned());
            }
        }
    }

    fn check_groups(&mut self, nodes: &ParsedNodes) {
        let mut tokens = BTreeMap::new();
        for (name, group) in &nodes.groups {
            for token in &group.tokens {
                if let Some(other) = tokens.insert(token, name) {
                    let message = format!("groups/{other} has the token {token} too");
                    self.report(NodePath::Group(name.clone()), "tokens", message);
                }
            }
        }
        for (group, service) in nodes.leaves.keys() {
            let path = NodePath::Leaf(group.clone(), service.clone());
            if !self.tree.nodes.contains_key(&NodePath::Group(group.clone())) {
                self.report(path.clone(), "", format!("there is no groups/{group}"));
            }
            if !self.tree.nodes.contains_key(&NodePath::Service(service.clone())) {
                self.report(path, "", format!("there is no services/{service}"));
            }
        }
    }
}
