//! Nothing in the program or in the deploy file is fitted to one customer: no name of a site stands there.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Names that the kit's sites give to their classes, tenants, zones and machines; their files are not in the repository.
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

/// The files below a folder that end in this.
fn files(dir: &Path, ending: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("a folder").map(|entry| entry.expect("an entry").path());
    let below = |path: PathBuf| if path.is_dir() { files(&path, ending) } else { vec![path] };
    let has_ending = |path: &PathBuf| path.to_string_lossy().ends_with(ending);
    entries.flat_map(below).filter(has_ending).collect()
}

/// The site's own name and all that it gives to others.
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

/// Names of sites stand in their own files alone, not in the program or the deploy file.
#[test]
fn program_and_deploy_file_name_no_site() {
    let mut known: BTreeMap<String, String> =
        KIT_NAMES.map(|name| (name.to_owned(), "the kit's".to_owned())).into();
    let sites = files(&root().join("deploy/sites"), ".toml");
    assert_eq!(sites.len(), 2, "{sites:?}");
    for file in sites {
        let text = fs::read_to_string(&file).expect("read");
        let site: toml::Value = toml::from_str(&text).expect("a site file");
        for name in names(&site) {
            let other = known.insert(name.clone(), file.display().to_string());
            assert_eq!(other, None, "{} calls something {name} as another site does", file.display());
        }
    }
    let mut program = files(&root().join("src"), ".rs");
    program.push(root().join("deploy/balancer.toml"));
    for file in program {
        let text = fs::read_to_string(&file).expect("read");
        for (name, site) in &known {
            // A word that has another meaning is no name unless it is a text of its own.
            let is_named =
                if name.contains('-') { text.contains(name) } else { text.contains(&format!("\"{name}\"")) };
            assert!(!is_named, "{} names {name} of {site}", file.display());
        }
    }
}
