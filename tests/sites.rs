//! The program and the deploy file are not tailored to one customer: they contain no name of a site.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The names of classes, tenants, zones and machines of the test kit's sites, whose files are not in the repository.
const KIT_NAMES: [&str; 36] = [
    "almaty-cards",
    "alm-1",
    "alm-2",
    "card-fleet",
    "k-fast",
    "k-mid",
    "k-old",
    "balance",
    "redeem",
    "steppe-mart",
    "koktem-home",
    "aral-books",
    "alumni-hosting",
    "dub-north",
    "dub-south",
    "alumni-workers",
    "big-box",
    "small-box",
    "directory-page",
    "record-gift",
    "kilbarron-grads",
    "st-ita-past-pupils",
    "ardmore-tech-alumni",
    "clonfert-old-boys",
    "lisdara-college",
    "rathkeel-ns-past",
    "haatkhata-bengal",
    "salt-lake",
    "durgapur",
    "kharagpur",
    "till-fleet",
    "big-8c",
    "std-7c",
    "ledger-fetch",
    "sale-post",
    "upi-settle",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files below a directory whose paths end in `ending`.
fn files(dir: &Path, ending: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir)
        .expect("a readable directory")
        .map(|entry| entry.expect("a readable directory entry").path());
    let below = |path: PathBuf| if path.is_dir() { files(&path, ending) } else { vec![path] };
    let has_ending = |path: &PathBuf| path.to_string_lossy().ends_with(ending);
    entries.flat_map(below).filter(has_ending).collect()
}

/// The site's own name and the names of its zones, tiers, kinds, classes and tenants.
fn names(site: &toml::Value) -> Vec<String> {
    let name = |table: &toml::Value| table["name"].as_str().expect("a name").to_owned();
    let tables =
        |at: &toml::Value, key: &str| at.get(key).and_then(|t| t.as_array()).cloned().unwrap_or_default();
    let zones = site["net"]["zones"].as_array().expect("zones").iter();
    let mut names: Vec<String> = zones.map(|zone| zone.as_str().expect("a zone").to_owned()).collect();
    names.push(name(site));
    for tier in tables(site, "tier") {
        names.extend(tables(&tier, "kind").iter().map(name));
        names.push(name(&tier));
    }
    names.extend(tables(site, "class").iter().chain(&tables(site, "tenant")).map(name));
    names
}

/// The names of a site occur only in its own file, not in the program or the deploy file.
#[test]
fn program_and_deploy_file_contain_no_site_names() {
    let mut known: BTreeMap<String, String> =
        KIT_NAMES.map(|name| (name.to_owned(), "the kit's".to_owned())).into();
    let sites = files(&root().join("deploy/sites"), ".toml");
    assert_eq!(sites.len(), 2, "{sites:?}");
    for file in sites {
        let text = fs::read_to_string(&file).expect("a readable file");
        let site: toml::Value = toml::from_str(&text).expect("the site file is TOML");
        for name in names(&site) {
            let other = known.insert(name.clone(), file.display().to_string());
            assert_eq!(other, None, "{} uses the name {name} of another site", file.display());
        }
    }
    let mut program = files(&root().join("src"), ".rs");
    program.push(root().join("deploy/balancer.toml"));
    for file in program {
        let text = fs::read_to_string(&file).expect("a readable file");
        for (name, site) in &known {
            // A name without a hyphen may be an ordinary word, so it counts only as a whole string literal.
            let is_named =
                if name.contains('-') { text.contains(name) } else { text.contains(&format!("\"{name}\"")) };
            assert!(!is_named, "{} contains the name {name} of {site}", file.display());
        }
    }
}
