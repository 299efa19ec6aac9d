//! Tests of `dillmillctl explain` on the log lines of decisions under overload, as balancers and agents
//! write them. Guard against decisions that are taken for others or lose their values, so that operators
//! can't tell why a flow waited, moved or was refused.

use std::fs;
use std::process::Command;

use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

const FLOW: &str = "100.65.0.5:1216>198.18.0.1:8080";

const TAKEN: &str = "in-time, priority 1, has waited 340 ms, 12 wait";
const EMPTIED: &str = "target takes no new flows, priority 2, has waited 41 ms, 0 wait";
const MOVED: &str = "Moved, Moved { passed: [ProcessId(77)], waited_ms: 45 }, wait here 80 ms, at the \
                     sibling 5 ms, reported 30 ms ago";
const PASSED: &str = "Full, Place { passed: [ProcessId(77)] }, wait here 60 ms, at the sibling 0 ms, \
                      reported 12 ms ago";
const PASSED_BLIND: &str = "Crowded, Place { passed: [ProcessId(77)] }";
const UNSERVABLE: &str = "Unservable, target Ready, placed at cfd2078d42b21643, turn in 1800 ms, has \
                          waited 420 ms, callers wait 960 ms";
const REFUSED: &str =
    "overload of service 308e977e: class 2 waits 2600 ms, timeout 1200 ms, level 45 %";
const REFUSED_UNTIMED: &str =
    "overload of service 308e977e: class 3 waits 4100 ms, timeout none, level 0 %";

/// A log with one line for each decision and its cause, in order of time.
fn log(decisions: &[(&str, &str)]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let line = |(i, (decided, cause)): (usize, &(&str, &str))| {
        let at = format!("100.{i:06}");
        let what = format!("{FLOW} {decided}");
        let line = json!({"at": at, "cause": cause, "kind": "flow", "level": "info", "vm": "side-1",
                          "what": what});
        format!("{line}\n")
    };
    let lines: String = decisions.iter().enumerate().map(line).collect();
    fs::write(dir.path().join("side-1"), lines).unwrap();
    dir
}

fn explain(subject: &str, logs: &TempDir, more: &[&str]) -> String {
    let logs = logs.path().display().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dillmillctl"));
    let output = command.args(["explain", subject, "--logs", &logs]).args(more).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn explain_json(subject: &str, logs: &TempDir) -> Value {
    serde_json::from_str(&explain(subject, logs, &["--json"])).unwrap()
}

#[rstest]
#[case::taken("taken from the queue", TAKEN,
    json!({"decision": "taken", "reason": "in-time", "priority": 1, "waited_ms": 340}))]
#[case::emptied("taken from the queue", EMPTIED,
    json!({"decision": "taken", "reason": "target takes no new flows", "priority": 2, "waited_ms": 41}))]
#[case::moved("moved to 10.3.0.25:8032", MOVED,
    json!({"decision": "moved", "waited_ms": 45,
           "waits": {"own_ms": 80, "sibling_ms": 5, "report_age_ms": 30}}))]
#[case::passed("passed to 10.3.0.25:8032", PASSED,
    json!({"decision": "passed", "waits": {"own_ms": 60, "sibling_ms": 0, "report_age_ms": 12}}))]
#[case::passed_blind("passed to 10.3.0.25:8032", PASSED_BLIND,
    json!({"decision": "passed", "waits": null}))]
#[case::unservable("refused", UNSERVABLE,
    json!({"decision": "unservable", "turn_ms": 1800, "waited_ms": 420, "attempt_timeout_ms": 960}))]
#[case::refused("refused", REFUSED,
    json!({"decision": "refused", "service": "308e977e", "class": 2, "wait_ms": 2600,
           "timeout_ms": 1200, "level_percent": 45}))]
#[case::refused_untimed("refused", REFUSED_UNTIMED,
    json!({"decision": "refused", "service": "308e977e", "class": 3, "wait_ms": 4100,
           "timeout_ms": null, "level_percent": 0}))]
#[case::crowded("refused", "Crowded, target Ready, placed at cfd2078d42b21643", Value::Null)]
#[case::evacuated("passed to 10.3.0.25:8032", "Evacuated, Place { passed: [] }", Value::Null)]
#[case::unknown_reason(
    "taken from the queue",
    "by-lot, priority 1, has waited 3 ms, 0 wait",
    Value::Null
)]
fn values_read(#[case] decided: &str, #[case] cause: &str, #[case] expected: Value) {
    let report = explain_json(FLOW, &log(&[(decided, cause)]));
    assert_eq!(report["decisions"][0]["overload"], expected);
    assert_eq!(report["decisions"][0]["cause"], cause);
}

#[rstest]
#[case::taken(
    "taken from the queue",
    TAKEN,
    "left the queue after 340 ms: its answer can be in time"
)]
#[case::moved(
    "moved to 10.3.0.25:8032",
    MOVED,
    "moved 45 ms after the start of the attempt; the next request waits 80 ms here and 5 ms at the sibling"
)]
#[case::unservable(
    "refused",
    UNSERVABLE,
    "its turn would come in 1800 ms, 420 ms of the attempt's 960 ms"
)]
#[case::refused(
    "refused",
    REFUSED,
    "wait at least 2600 ms at every agent, callers 1200 ms; 45 % of"
)]
fn meaning_printed(#[case] decided: &str, #[case] cause: &str, #[case] expected: &str) {
    let text = explain(FLOW, &log(&[(decided, cause)]), &[]);
    assert!(text.contains(&format!("{decided} ({cause})\n")), "{text}");
    assert!(text.contains(expected), "{text}");
}

/// A request on an open flow has no line of its own when it goes to the target: without the queue's
/// line, it would be reported as on its way between processes.
#[rstest]
#[case::taken(&[("waits", ""), ("taken from the queue", TAKEN)],
    "with its target (answers are not logged)", "3. An answer comes late")]
#[case::emptied(&[("waits", ""), ("taken from the queue", EMPTIED)],
    "on its way between processes", "2. An open flow ends without an answer")]
#[case::unservable(&[("refused", UNSERVABLE), ("reset", "refused behind cfd2078d42b21643")],
    "refused: Unservable", "4. Decisions under overload")]
#[case::refused(&[("refused", REFUSED)],
    "refused: overload of service 308e977e, class 2", "4. Decisions under overload")]
fn ends_named(#[case] decisions: &[(&str, &str)], #[case] end: &str, #[case] page: &str) {
    let report = explain_json(FLOW, &log(decisions));
    assert_eq!((&report["end"], &report["page"]), (&json!(end), &json!(page)));
}

/// Sections that reports refer to must be headings of the operations page.
#[test]
fn section_exists() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    assert!(fs::read_to_string(page).unwrap().contains("\n## 4. Decisions under overload\n"));
}

#[test]
fn span_counts_decisions() {
    let log = log(&[
        ("passed to 10.3.0.25:8032", PASSED),
        ("moved to 10.3.0.25:8032", MOVED),
        ("taken from the queue", TAKEN),
        ("taken from the queue", TAKEN),
        ("refused", REFUSED),
    ]);
    let report = explain_json("100..101", &log);
    let expected = json!({
        "moved to a sibling": 1,
        "passed to a sibling by its load": 1,
        "refused: overload of service 308e977e, class 2": 1,
        "taken from the queue: in-time, priority 1": 2,
    });
    assert_eq!(report["overload"], expected);
    let second = &report["seconds"]["100"];
    assert_eq!(
        (&second["taken"], &second["moved"], &second["refused"]),
        (&json!(2), &json!(1), &json!(1))
    );
    let text = explain("100..101", &log, &[]);
    assert!(text.contains("decisions under overload\n       2  taken from the queue"), "{text}");
}
