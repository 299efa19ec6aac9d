//! Parses YAML and reports errors with their line and key.

use serde::de::DeserializeOwned;

/// A parse error, with its location in the YAML text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YamlError {
    /// Line, counted from 1; `None` if it is not known.
    pub line: Option<usize>,
    /// Keys leading to the invalid value, joined by dots.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

/// Parses `text` as a `T`.
///
/// # Errors
///
/// Returns the first error, with its line and key.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, YamlError> {
    let document = serde_norway::Deserializer::from_str(text);
    serde_path_to_error::deserialize(document).map_err(|e| {
        let key = e.path().to_string();
        let inner = e.into_inner();
        let line = inner.location().map(|at| at.line());
        let full = inner.to_string();
        let message = full.split(" at line ").next().unwrap_or(&full);
        let message = message.strip_prefix(&format!("{key}: ")).unwrap_or(message).to_owned();
        let line = line.or_else(|| line_of(text, &key));
        YamlError { line, key, message }
    })
}

/// Returns the line, counted from 1, of a key given as `a.b.c`.
#[must_use]
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let mut parts = key.split('.').filter(|part| !part.starts_with('['));
    let mut part = parts.next()?;
    for (i, line) in text.lines().enumerate() {
        let name = part.split('[').next().unwrap_or(part);
        let line = line.trim_start().trim_start_matches("- ");
        if line.strip_prefix(name).is_some_and(|rest| rest.starts_with(':')) {
            match parts.next() {
                Some(next) => part = next,
                None => return Some(i + 1),
            }
        }
    }
    None
}
