//! The public interfaces match `api/*.yaml` in both directions: paths, methods, statuses and fields.

use runtrack_controller::api::OPERATIONS;
use std::collections::{BTreeMap, BTreeSet};
use yaml_rust2::{Yaml, YamlLoader};

const FILES: [&str; 2] =
    [include_str!("../../../api/operator.yaml"), include_str!("../../../api/endpoints.yaml")];
const SOURCES: [&str; 2] =
    [include_str!("../src/api/wire.rs"), include_str!("../../fleetconfig/src/wire.rs")];

fn files() -> Vec<Yaml> {
    FILES.iter().map(|file| YamlLoader::load_from_str(file).expect("it is YAML").remove(0)).collect()
}

fn entries(yaml: &Yaml) -> Vec<(String, &Yaml)> {
    let hash = yaml.as_hash().map(|hash| hash.iter().collect::<Vec<_>>()).unwrap_or_default();
    hash.into_iter().map(|(key, value)| (key.as_str().unwrap_or_default().to_owned(), value)).collect()
}

#[test]
fn operations_match_the_api_files() {
    let mut described = BTreeSet::new();
    for file in &files() {
        for (path, methods) in entries(&file["paths"]) {
            for (method, operation) in entries(methods) {
                let statuses: BTreeSet<u16> = entries(&operation["responses"])
                    .iter()
                    .map(|(status, _)| status.parse().expect("a status"))
                    .collect();
                described.insert((path.clone(), method.to_uppercase(), statuses));
            }
        }
    }
    let served = OPERATIONS.iter().map(|operation| {
        (
            operation.path.to_owned(),
            operation.method.to_string(),
            operation.statuses.iter().copied().collect(),
        )
    });
    assert_eq!(described, served.collect());
}

/// Fields of each wire struct in the sources, and whether each is required.
fn fields_of_the_sources() -> BTreeMap<String, BTreeMap<String, bool>> {
    let mut structures = BTreeMap::new();
    for source in SOURCES {
        let mut lines = source.lines();
        while let Some(line) = lines.next() {
            let Some(name) = line.split("struct ").nth(1).and_then(|rest| rest.strip_suffix("Wire {"))
            else {
                continue;
            };
            let (mut fields, mut renamed) = (BTreeMap::new(), None);
            for line in lines.by_ref().map(str::trim).take_while(|line| *line != "}") {
                if let Some(other) = line.strip_prefix("#[serde(rename = \"") {
                    renamed = other.split('"').next().map(str::to_owned);
                } else if let Some((field, kind)) = line.split_once(": ") {
                    let field = field.trim_start_matches("pub ").to_owned();
                    fields.insert(renamed.take().unwrap_or(field), !kind.starts_with("Option<"));
                }
            }
            structures.insert(name.to_owned(), fields);
        }
    }
    structures
}

#[test]
fn fields_match_the_api_files() {
    let mut described = BTreeMap::new();
    for file in &files() {
        for (name, schema) in entries(&file["components"]["schemas"]) {
            let required: BTreeSet<&str> =
                schema["required"].as_vec().into_iter().flatten().filter_map(Yaml::as_str).collect();
            let fields = entries(&schema["properties"]).into_iter();
            let fields: BTreeMap<String, bool> =
                fields.map(|(field, _)| (field.clone(), required.contains(field.as_str()))).collect();
            described.insert(name, fields);
        }
    }
    assert_eq!(described, fields_of_the_sources());
}
