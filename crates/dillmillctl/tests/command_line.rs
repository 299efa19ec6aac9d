//! Tests of the `dillmillctl` command line that need no running platform.

use std::process::Command;

use rstest::rstest;

fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dillmillctl")).args(args).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[rstest]
#[case("check")]
#[case("get")]
#[case("set")]
#[case("edit")]
#[case("delete")]
#[case("diff")]
#[case("effective")]
#[case("history")]
#[case("status")]
#[case("load")]
#[case("timeline")]
#[case("explain")]
fn verbs_explained(#[case] verb: &str) {
    let (code, output_text) = run(&[verb, "--help"]);
    assert_eq!(code, 0);
    assert!(output_text.starts_with(&format!("Usage: dillmillctl {verb}")), "{output_text}");
    assert!(run(&["--help"]).1.contains(verb));
}

#[rstest]
#[case::nothing(&[], "name a verb")]
#[case::no_verb(&["paint"], "`paint` is no verb")]
#[case::bad_path(&["get", "targets/x"], "no place in the tree")]
#[case::missing_file(&["set", "root"], "wrong arguments for `set`")]
#[case::bad_value(&["edit", "root", "limits"], "not KEY=VALUE")]
#[case::bad_wait(&["status", "--wait", "soon"], "not a length of time")]
#[case::no_service(&["load"], "wrong arguments for `load`")]
#[case::no_logs(&["explain", "10.0.0.1:1>10.0.0.2:2"], "say with --logs")]
#[case::no_flow(&["explain", "10.0.0.1", "--logs", "-"], "`10.0.0.1` is no flow")]
#[case::no_span(&["explain", "2..1", "--logs", "-"], "ends before it begins")]
#[case::page_of_flow(&["explain", "10.0.0.1:1>10.0.0.2:2", "--logs", "-", "--page", "x"], "--page goes with")]
#[case::lost_logs(&["explain", "1..2", "--logs", "/nowhere"], "read /nowhere")]
#[case::no_config(&["get", "--config", "/nowhere.yaml"], "read /nowhere.yaml")]
fn wrong_lines_refused(#[case] args: &[&str], #[case] expected: &str) {
    let (code, output_text) = run(args);
    assert_eq!(code, 2, "{output_text}");
    assert!(output_text.contains(expected), "{output_text}");
}

#[test]
fn wrong_config_refused() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("ctl.yaml");
    std::fs::write(&file, "platform: http://127.0.0.1:1\ncluster: x\n").unwrap();
    let (code, output_text) = run(&["get", "--config", &file.display().to_string()]);
    assert_eq!(code, 2);
    assert!(output_text.contains("ctl.yaml:2"), "{output_text}");
}

#[test]
fn dead_platform_reported() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("ctl.yaml");
    let key = "00".repeat(32);
    // Nothing listens on port 1 of loopback.
    let text = format!("platform: http://127.0.0.1:1\ncluster_key: \"{key}\"\n");
    std::fs::write(&file, text).unwrap();
    let (code, output_text) = run(&["get", "--config", &file.display().to_string()]);
    assert_eq!(code, 1, "{output_text}");
    assert!(output_text.contains("127.0.0.1:1"), "{output_text}");
}

/// A closed pipe on standard output, as in `dillmillctl … | head`, must not be reported as a failure.
#[test]
fn reader_may_leave() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_dillmillctl"))
        .arg("--help")
        .stdout(writer)
        .output()
        .unwrap();
    let output_text = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success() && output_text.is_empty(), "{output_text}");
}
