//! Tests the parsing of a process's settings file. Errors must name the line and key that are invalid.

use dillmill_node::ProcessConfig;
use rstest::rstest;

const GOOD: &str = "\
vm: entry-1
zone: zone-1
control: 10.0.0.5:7000
data: 10.0.0.5:7001
platform: http://10.0.0.1:8000
cluster_key: \"6b6579206f6620746865206c6f6f706261636b20696e7374616c6c6174696f6e\"
";

#[test]
fn good_file_read() {
    let config = ProcessConfig::parse(GOOD, "b.yaml").unwrap();
    assert_eq!(config.vm.as_str(), "entry-1");
    assert!(config.admin.is_none() && config.agent.is_none());
    assert_eq!(config.watchers, 24);
}

#[rstest]
#[case::unknown_key("vm: entry-1", "vmm: entry-1", "b.yaml:1")]
#[case::bad_name("vm: entry-1", "vm: Entry!", "b.yaml:1: vm")]
#[case::bad_address("data: 10.0.0.5:7001", "data: nowhere", "b.yaml:4: data")]
#[case::same_address("data: 10.0.0.5:7001", "data: 10.0.0.5:7000", "b.yaml:4: data")]
#[case::bad_platform("http://10.0.0.1:8000", "10.0.0.1:8000", "b.yaml:5: platform")]
#[case::short_key("6b6579206f66", "6b", "b.yaml:6: cluster_key")]
#[case::no_watchers("zone: zone-1", "zone: zone-1\nwatchers: 0", "b.yaml:3: watchers")]
fn bad_files_refused(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = GOOD.replace(from, to);
    assert_ne!(text, GOOD);
    let error = ProcessConfig::parse(&text, "b.yaml").unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
