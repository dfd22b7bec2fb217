//! The deploy file names each file that holds decisions.

use std::collections::BTreeSet;
use std::path::Path;

/// Guards against a decision module that is added and not named: the operators' programs read files, not folders.
#[test]
fn the_deploy_file_names_every_decision_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy"));
    let named: BTreeSet<&str> = line
        .expect("a key policy")
        .split('"')
        .skip(1)
        .step_by(2)
        .collect();
    let folder = std::fs::read_dir(root.join("src/policy")).expect("the folder");
    let names = folder.map(|entry| entry.expect("an entry").file_name());
    let paths = names.map(|name| format!("src/policy/{}", name.to_string_lossy()));
    let present: BTreeSet<String> = paths.chain(["src/logic.rs".to_owned()]).collect();
    assert_eq!(named, present.iter().map(String::as_str).collect());
}
