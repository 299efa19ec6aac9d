//! Tests of `dillmillctl explain` on log files, for one flow and for a span of time.

use std::fs;
use std::process::Command;

use tempfile::TempDir;

const FLOW: &str = "100.65.0.5:1216>198.18.0.1:8080";

fn line(at: &str, vm: &str, kind: &str, what: &str, cause: &str) -> String {
    format!(
        "{{\"at\":\"{at}\",\"cause\":\"{cause}\",\"kind\":\"{kind}\",\"level\":\"info\",\"vm\":\"{vm}\",\
         \"what\":\"{what}\"}}\n"
    )
}

fn on_flow(at: &str, vm: &str, decided: &str, cause: &str) -> String {
    line(at, vm, "flow", &format!("{FLOW} {decided}"), cause)
}

fn logs(files: &[(&str, &[String])]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    for (name, lines) in files {
        fs::write(dir.path().join(name), lines.concat()).unwrap();
    }
    dir
}

fn explain(subject: &str, logs: &TempDir, more: &[&str]) -> (i32, String) {
    let logs = logs.path().display().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dillmillctl"));
    let output = command.args(["explain", subject, "--logs", &logs]).args(more).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn refused_flow() -> TempDir {
    logs(&[
        (
            "balancer.log",
            &[
                line("99.0", "front-1", "process", "balancer front-1 started", "process 1"),
                on_flow(
                    "100.000000",
                    "front-1",
                    "placed at cfd2078d42b21643",
                    "copies 0, near true",
                ),
                on_flow("100.020000", "front-1", "reset", "refused behind cfd2078d42b21643"),
            ],
        ),
        (
            "agent.log",
            &[
                line(
                    "99.0",
                    "side-1",
                    "process",
                    "agent of quote side-1 started",
                    "process cfd2078d42b21643",
                ),
                on_flow("100.010000", "side-1", "refused", "Crowded, target Ready"),
            ],
        ),
    ])
}

#[test]
fn path_in_order() {
    let (code, output_text) = explain(FLOW, &refused_flow(), &[]);
    assert_eq!(code, 0, "{output_text}");
    let order = ["placed at cfd2078d42b21643 on side-1", "10 ms  side-1", "20 ms  front-1"];
    let places: Vec<usize> = order.iter().map(|part| output_text.find(part).expect(part)).collect();
    assert!(places.is_sorted(), "{output_text}");
}

#[test]
fn refusal_explains_reset() {
    let (_, output_text) = explain(FLOW, &refused_flow(), &[]);
    assert!(output_text.contains("end: refused: Crowded, target Ready\n"), "{output_text}");
    assert!(output_text.contains("\"1. A new flow is refused\""), "{output_text}");
}

#[test]
fn gaps_told() {
    let logs = logs(&[(
        "front-1",
        &[
            line("99.0", "front-1", "process", "balancer front-1 started", "process 1"),
            on_flow("100.5", "front-1", "placed at 00000000000000aa", ""),
            "not a line\n".to_owned(),
            line("100.2", "front-1", "flow", "12 decisions not logged", "more than the log takes"),
        ],
    )]);
    let (code, output_text) = explain(FLOW, &logs, &[]);
    assert_eq!(code, 0, "{output_text}");
    assert!(output_text.contains("1 lines could not be read, the first:"), "{output_text}");
    assert!(output_text.contains("front-1:3: no JSON object"), "{output_text}");
    assert!(output_text.contains("front-1 has left out 12 decisions"), "{output_text}");
    assert!(output_text.contains("the clock of front-1 went back"), "{output_text}");
    assert!(
        output_text.contains("no start of process 00000000000000aa is logged"),
        "{output_text}"
    );
}

#[test]
fn unknown_flow_refused() {
    let (code, output_text) = explain("10.0.0.1:1>10.0.0.2:2", &refused_flow(), &[]);
    assert_eq!(code, 2);
    assert!(output_text.contains("no line is about 10.0.0.1:1>10.0.0.2:2"), "{output_text}");
}

#[test]
fn span_counts_ends() {
    let (code, output_text) = explain("100..101", &refused_flow(), &["--json"]);
    assert_eq!(code, 0, "{output_text}");
    let report: serde_json::Value = serde_json::from_str(&output_text).unwrap();
    assert_eq!(report["flows"], 1);
    assert_eq!(report["by_end"]["refused: Crowded, target Ready"], 1);
    assert_eq!(report["by_route"]["198.18.0.1:8080"]["refused: Crowded, target Ready"], 1);
    assert_eq!(report["by_vm"]["side-1"], 1);
    assert_eq!(report["seconds"]["100"]["placed"], 1);
    assert_eq!(report["seconds"]["100"]["reset"], 1);
}

#[test]
fn collected_lines_read() {
    let line = on_flow("100.5", "side-1", "given to the target", "1 requests in 2 slots");
    let logs = logs(&[("all.log", &[format!("  0.5 side-1 {line}")])]);
    let (_, output_text) = explain(FLOW, &logs, &[]);
    assert!(output_text.contains("end: with its target (answers are not logged)"), "{output_text}");
}

#[test]
fn page_escapes_logs() {
    let logs = logs(&[(
        "side-1",
        &[
            on_flow("100.5", "side-1", "waits", ""),
            on_flow("103.5", "<script>", "refused", "Crowded"),
        ],
    )]);
    let page = logs.path().join("page.html");
    let (code, output_text) = explain("100..104", &logs, &["--page", &page.display().to_string()]);
    assert_eq!(code, 0, "{output_text}");
    let html = fs::read_to_string(page).unwrap();
    assert_eq!(html.matches("<svg").count(), 3, "{html}");
    assert!(html.contains("1  &lt;script&gt;"), "{html}");
    assert!(!html.contains("<script>"), "{html}");
}
