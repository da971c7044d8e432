//! Checks of the documentation pages: the targets of their links and the repository paths that they name must exist.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the directory can be read") {
        let path = entry.expect("the directory entry can be read").path();
        if path.is_dir() {
            pages_below(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md"), root().join("CHANGELOG.md")];
    pages_below(&root().join("docs"), &mut pages);
    pages.sort();
    pages
}

/// The targets of links `[text](target)` in a page, without those to other hosts or within the page.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let paths = targets.map(|target| target.split('#').next().unwrap_or(""));
    paths.filter(|path| !path.is_empty() && !path.contains("://"))
}

/// The paths of source files and directories in a page.
fn source_paths(text: &str) -> impl Iterator<Item = &str> {
    let folders = ["src/", "crates/", "tests/", "benches/", "examples/", "proto/", "deploy/"];
    let is_part = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    let words = text.split(move |c| !is_part(c)).map(|word| word.trim_end_matches(['.', '/', '-']));
    words.filter(move |word| {
        folders.iter().any(|folder| word.starts_with(folder) && word.len() > folder.len())
    })
}

#[test]
fn links_between_pages_have_existing_targets() {
    let mut seen = 0;
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("the page is text");
        for link in links(&text) {
            let target = page.parent().expect("a page has a parent directory").join(link);
            assert!(target.exists(), "{}: the target of the link {link} does not exist", page.display());
            seen += 1;
        }
    }
    assert!(seen > 20, "{seen} links found, expected more than 20");
}

/// Pages that record earlier states of the repository, and may name files that no longer exist.
const HISTORY: [&str; 2] = ["docs/operate/acceptance.md", "CHANGELOG.md"];

#[test]
fn paths_in_pages_exist() {
    let mut seen = 0;
    for page in pages().into_iter().filter(|page| !HISTORY.iter().any(|name| page.ends_with(name))) {
        let text = std::fs::read_to_string(&page).expect("the page is text");
        for path in source_paths(&text) {
            assert!(root().join(path).exists(), "{}: the path {path} does not exist", page.display());
            seen += 1;
        }
    }
    assert!(seen > 50, "{seen} paths found, expected more than 50");
}
