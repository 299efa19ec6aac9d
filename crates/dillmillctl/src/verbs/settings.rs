//! Verbs that read and change the settings tree.

use std::io::Read;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use dillmill_core::{GroupName, Revision, ServiceName, Timestamp};
use dillmill_settings::{NodePath, Tree, WriteId};
use dillmill_store::settings_store::Edit;
use rand::Rng;
use serde_json::json;
use serde_norway::Value;

use crate::config::CtlConfig;
use crate::error::CtlError;
use crate::output::{out, outln};
use crate::verbs::print_json;

fn read_file(file: &Path) -> Result<String, CtlError> {
    let fail = |e: std::io::Error| CtlError::Input(format!("read {}: {e}", file.display()));
    if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(fail)?;
        return Ok(text);
    }
    std::fs::read_to_string(file).map_err(fail)
}

fn refused(problems: &[dillmill_settings::Problem]) -> CtlError {
    let list: Vec<String> = problems.iter().map(ToString::to_string).collect();
    CtlError::Refused(list.join("\n"))
}

pub(crate) async fn check(cfg: &CtlConfig, path: &NodePath, file: &Path) -> Result<(), CtlError> {
    let text = read_file(file)?;
    let tree = cfg.store()?.tree().await?;
    tree.with(path.clone(), Some(text)).check().map_err(|problems| refused(&problems))?;
    outln!("{path}: good");
    Ok(())
}

pub(crate) async fn get(
    cfg: &CtlConfig,
    path: Option<&NodePath>,
    json: bool,
) -> Result<(), CtlError> {
    let tree = cfg.store()?.tree().await?;
    let Some(path) = path else {
        if json {
            print_json(&tree);
        } else {
            for (path, node) in &tree.nodes {
                outln!("{path} revision {}", node.revision);
            }
        }
        return Ok(());
    };
    let node =
        tree.nodes.get(path).ok_or_else(|| CtlError::Input(format!("there is no {path}")))?;
    if json {
        print_json(&json!({ "path": path, "revision": node.revision, "text": node.text }));
    } else {
        out!("{}", node.text);
        eprintln!("{path} revision {}", node.revision);
    }
    Ok(())
}

async fn write(
    cfg: &CtlConfig,
    path: NodePath,
    text: Option<String>,
    seen: Revision,
) -> Result<(), CtlError> {
    let write_id = WriteId(rand::rng().random());
    let edit = Edit { author: cfg.author.clone(), path: path.clone(), text, seen, write_id };
    let now =
        Timestamp::default() + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let revision = cfg.store()?.write(&edit, now).await?;
    outln!("{path}: revision {revision}");
    Ok(())
}

/// Reads the tree and the current revision of a node, on which an edit without `--seen` is based.
async fn read_tree(cfg: &CtlConfig, path: &NodePath) -> Result<(Tree, Revision), CtlError> {
    let tree = cfg.store()?.tree().await?;
    let revision = tree.node_revision(path);
    Ok((tree, revision))
}

pub(crate) async fn set(
    cfg: &CtlConfig,
    path: &NodePath,
    file: &Path,
    seen: Option<Revision>,
) -> Result<(), CtlError> {
    let text = read_file(file)?;
    let seen = match seen {
        Some(seen) => seen,
        None => read_tree(cfg, path).await?.1,
    };
    write(cfg, path.clone(), Some(text), seen).await
}

pub(crate) async fn delete(
    cfg: &CtlConfig,
    path: &NodePath,
    seen: Option<Revision>,
) -> Result<(), CtlError> {
    let (tree, current) = read_tree(cfg, path).await?;
    if !tree.nodes.contains_key(path) {
        return Err(CtlError::Input(format!("there is no {path}")));
    }
    write(cfg, path.clone(), None, seen.unwrap_or(current)).await
}

pub(crate) async fn edit(
    cfg: &CtlConfig,
    path: &NodePath,
    values: &[(String, String)],
    seen: Option<Revision>,
) -> Result<(), CtlError> {
    let (tree, current) = read_tree(cfg, path).await?;
    let node =
        tree.nodes.get(path).ok_or_else(|| CtlError::Input(format!("there is no {path}")))?;
    let mut document: Value =
        serde_norway::from_str(&node.text).map_err(|e| CtlError::Input(e.to_string()))?;
    for (key, value) in values {
        set_value(&mut document, key, value)?;
    }
    let text = serde_norway::to_string(&document).map_err(|e| CtlError::Input(e.to_string()))?;
    write(cfg, path.clone(), Some(text), seen.unwrap_or(current)).await
}

/// Sets the value at a dotted key path of a YAML document; an empty text removes the key.
fn set_value(document: &mut Value, key: &str, text: &str) -> Result<(), CtlError> {
    let invalid = |what: String| CtlError::Input(format!("{key}: {what}"));
    let mut place = document;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let Value::Mapping(mapping) = place else {
            return Err(invalid(format!("there are no keys above `{part}`")));
        };
        let name = Value::String(part.to_owned());
        if parts.peek().is_none() && text.is_empty() {
            mapping.remove(&name);
            return Ok(());
        }
        place = mapping.entry(name).or_insert_with(|| Value::Mapping(serde_norway::Mapping::new()));
    }
    *place = serde_norway::from_str(text).map_err(|e| invalid(e.to_string()))?;
    Ok(())
}

/// Returns the tree at a revision, built from the log of changes; without a revision the newest tree.
async fn tree_at(cfg: &CtlConfig, revision: Option<Revision>) -> Result<Tree, CtlError> {
    let store = cfg.store()?;
    let Some(revision) = revision else { return Ok(store.tree().await?) };
    let mut tree = Tree::default();
    while tree.revision < revision {
        let Some(change) = store.change(tree.revision.next()).await? else {
            return Err(CtlError::Input(format!("there is no revision {revision}")));
        };
        tree.apply(&change).map_err(|e| CtlError::Unreachable(e.to_string()))?;
    }
    Ok(tree)
}

pub(crate) async fn diff(
    cfg: &CtlConfig,
    from: Revision,
    to: Option<Revision>,
) -> Result<(), CtlError> {
    let before = tree_at(cfg, Some(from)).await?;
    let after = tree_at(cfg, to).await?;
    out!("{}", before.diff(&after));
    Ok(())
}

pub(crate) async fn history(cfg: &CtlConfig, json: bool) -> Result<(), CtlError> {
    let store = cfg.store()?;
    let mut revision = Revision(1);
    while let Some(change) = store.change(revision).await? {
        if json {
            print_json(&change);
        } else {
            let what = if change.text.is_some() { "set" } else { "delete" };
            outln!("{} {} {what} {}", change.revision, change.author, change.path);
        }
        revision = revision.next();
    }
    Ok(())
}

pub(crate) async fn effective(
    cfg: &CtlConfig,
    service: &ServiceName,
    group: Option<&GroupName>,
    json: bool,
) -> Result<(), CtlError> {
    let tree = cfg.store()?.tree().await?;
    let tree = tree.check().map_err(|problems| refused(&problems))?;
    let mut lines = tree
        .explain_operation(service)
        .ok_or_else(|| CtlError::Input(format!("there is no services/{service}")))?;
    if let Some(group) = group {
        if !tree.groups().any(|g| g.name == *group) {
            return Err(CtlError::Input(format!("there is no groups/{group}")));
        }
        lines.extend(tree.explain_limits(group, service));
    }
    if json {
        let list: Vec<_> = lines
            .iter()
            .map(|(key, value, origin)| {
                json!({ "key": key, "value": value, "from": origin.to_string() })
            })
            .collect();
        print_json(&list);
    } else {
        for (key, value, origin) in lines {
            outln!("{key:<14} {value:<12} from {origin}");
        }
    }
    Ok(())
}
