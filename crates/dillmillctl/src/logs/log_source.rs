//! Sources of logs: folder, file or standard input.

use std::convert::Infallible;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use super::LogLine;
use crate::error::CtlError;

/// Source of logs: all files of a folder, one file, or standard input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LogSource {
    Stdin,
    Path(PathBuf),
}

/// Number of lines that could not be parsed, with place and error of the first of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct UnreadableLines {
    pub(crate) count: u64,
    pub(crate) first: Option<String>,
}

impl FromStr for LogSource {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(if text == "-" { Self::Stdin } else { Self::Path(text.into()) })
    }
}

impl LogSource {
    /// Calls `on_line` for each line, file by file, and returns the lines that could not be parsed.
    pub(crate) fn read(
        &self,
        mut on_line: impl FnMut(LogLine),
    ) -> Result<UnreadableLines, CtlError> {
        let mut unreadable = UnreadableLines::default();
        match self {
            Self::Stdin => unreadable.read(io::stdin().lock(), "standard input", &mut on_line)?,
            Self::Path(path) => {
                for file in files(path)? {
                    let open = File::open(&file).map_err(|e| failed(&file, &e))?;
                    unreadable.read(BufReader::new(open), file.display(), &mut on_line)?;
                }
            }
        }
        Ok(unreadable)
    }
}

impl UnreadableLines {
    /// Returns a remark on the unreadable lines; empty if there are none.
    pub(crate) fn remarks(&self) -> Vec<String> {
        let remark = |first| format!("{} lines could not be read, the first: {first}", self.count);
        self.first.iter().map(remark).collect()
    }

    fn read(
        &mut self,
        mut lines: impl BufRead,
        name: impl fmt::Display,
        on_line: &mut impl FnMut(LogLine),
    ) -> Result<(), CtlError> {
        let mut bytes = Vec::new();
        for number in 1_u64.. {
            bytes.clear();
            let read = lines.read_until(b'\n', &mut bytes);
            if read.map_err(|e| CtlError::Input(format!("read {name}: {e}")))? == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&bytes);
            if text.trim().is_empty() {
                continue;
            }
            match LogLine::parse(&text) {
                Ok(line) => on_line(line),
                Err(why) => self.record(|| format!("{name}:{number}: {why}")),
            }
        }
        Ok(())
    }

    /// Counts an unreadable line; `place` is evaluated for the first one only.
    fn record(&mut self, place: impl FnOnce() -> String) {
        self.count += 1;
        self.first.get_or_insert_with(place);
    }
}

/// Returns the path itself, or the files directly in it, sorted by name, if it is a folder.
fn files(path: &Path) -> Result<Vec<PathBuf>, CtlError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = path.read_dir().map_err(|e| failed(path, &e))?;
    let paths: io::Result<Vec<PathBuf>> = entries.map(|entry| Ok(entry?.path())).collect();
    let mut files = paths.map_err(|e| failed(path, &e))?;
    files.retain(|file| file.is_file());
    files.sort();
    Ok(files)
}

fn failed(path: &Path, e: &io::Error) -> CtlError {
    CtlError::Input(format!("read {}: {e}", path.display()))
}
