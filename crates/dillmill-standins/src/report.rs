//! Builds a Markdown table from several load results.

use std::fmt::Write as _;

use crate::StandinError;
use crate::load::LoadResult;

/// Reads files of load results and returns a Markdown table with a row for each group.
///
/// # Errors
///
/// Fails with the name of the file that can't be read or parsed.
pub fn table(files: &[String]) -> Result<String, StandinError> {
    let mut out = String::from(
        "| run | group | asked | whole | not run | unknown | broken | wait p50 ms | p99 ms | \
         imbalance | in use | handed over | doubled | broken feeds |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for file in files {
        let text = std::fs::read_to_string(file).map_err(StandinError::at(file.clone()))?;
        let result: LoadResult =
            serde_json::from_str(&text).map_err(StandinError::at(file.clone()))?;
        let spec = &result.spec;
        let run =
            format!("{} {} {:.2}/{:.2}", spec.deployment, spec.placement, spec.load, spec.flood);
        for (group, g) in &result.groups {
            let _ = writeln!(
                out,
                "| {run} | {group} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} \
                 | {} | {} |",
                g.asked,
                g.whole,
                g.not_run,
                g.unknown,
                g.broken,
                g.wait_p50_ms,
                g.wait_p99_ms,
                result.imbalance,
                result.utilisation,
                result.handed_over,
                result.doubled,
                result.broken_feeds,
            );
        }
    }
    Ok(out)
}
