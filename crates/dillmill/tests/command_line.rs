//! Tests of the `dillmill` command line and of `--check`.

use std::path::PathBuf;
use std::process::Command as Program;

use dillmill::command::{Command, RoleCommand, SettingsSource, parse};
use rstest::rstest;

const GOOD: &str = "\
vm: entry-1
zone: zone-1
control: 127.0.0.1:7000
data: 127.0.0.1:7001
platform: http://127.0.0.1:8000
cluster_key: \"6b6579206f6620746865206c6f6f706261636b20696e7374616c6c6174696f6e\"
";

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn role_and_file_read() {
    let command = parse(&words("agent --config a.yaml --check")).unwrap();
    let source = SettingsSource::File(PathBuf::from("a.yaml"));
    assert_eq!(command, Command::Run { role: RoleCommand::Agent, source, check: true });
}

#[rstest]
#[case("balancer --platform", None)]
#[case("balancer --platform --metrics-port 9464", Some(9464))]
fn platform_read(#[case] line: &str, #[case] metrics_port: Option<u16>) {
    let source = SettingsSource::Platform { metrics_port };
    let run = Command::Run { role: RoleCommand::Balancer, source, check: false };
    assert_eq!(parse(&words(line)).unwrap(), run);
}

#[rstest]
#[case::nothing("")]
#[case::no_file("balancer")]
#[case::no_role("--config a.yaml")]
#[case::other_role("router --config a.yaml")]
#[case::two_sources("balancer --config a.yaml --platform")]
#[case::metrics_port_of_a_file("balancer --config a.yaml --metrics-port 1")]
#[case::no_port("balancer --platform --metrics-port x")]
#[case::unknown_option("balancer --config a.yaml --verbose")]
fn wrong_lines_refused(#[case] line: &str) {
    assert!(parse(&words(line)).is_err());
}

#[rstest]
#[case("--help", "Usage: dillmill balancer")]
#[case("--version", "dillmill 0")]
fn texts_shown(#[case] line: &str, #[case] start: &str) {
    let Ok(Command::Show(text)) = parse(&words(line)) else { panic!("not shown") };
    assert!(text.starts_with(start), "{text}");
}

fn check(role: &str, text: &str) -> (i32, String) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("p.yaml");
    std::fs::write(&file, text).unwrap();
    let output = Program::new(env!("CARGO_BIN_EXE_dillmill"))
        .args([role, "--check", "--config"])
        .arg(&file)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn good_file_checked() {
    assert_eq!(check("balancer", GOOD).0, 0);
}

#[rstest]
#[case::no_agent_section("agent", GOOD.to_owned(), "an agent needs the section `agent`")]
#[case::unknown_key("balancer", format!("{GOOD}colour: red\n"), "p.yaml:7")]
#[case::bad_yaml("balancer", "vm: [".to_owned(), "p.yaml")]
fn bad_files_refused(#[case] role: &str, #[case] text: String, #[case] expected: &str) {
    let (code, output_text) = check(role, &text);
    assert_eq!(code, 2);
    assert!(output_text.contains(expected), "{output_text}");
}
