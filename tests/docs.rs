//! The pages name what is there: links between them lead somewhere, and paths of the repository exist.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
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

/// The targets of `[text](target)` in a page, but for other hosts and places within the page.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let paths = targets.map(|target| target.split('#').next().unwrap_or(""));
    paths.filter(|path| !path.is_empty() && !path.contains("://"))
}

/// Words that name a file or folder of the sources.
fn source_paths(text: &str) -> impl Iterator<Item = &str> {
    let folders = ["src/", "crates/", "tests/", "benches/", "examples/", "proto/", "deploy/"];
    let is_part = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    let words = text.split(move |c| !is_part(c)).map(|word| word.trim_end_matches(['.', '/', '-']));
    words.filter(move |word| {
        folders.iter().any(|folder| word.starts_with(folder) && word.len() > folder.len())
    })
}

/// Each link from page to page leads to a file that is there.
#[test]
fn links_between_pages_lead_somewhere() {
    let mut seen = 0;
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("text");
        for link in links(&text) {
            let target = page.parent().expect("a folder").join(link);
            assert!(target.exists(), "{}: {link}", page.display());
            seen += 1;
        }
    }
    assert!(seen > 20, "{seen} links were found");
}

/// The verdicts of days that were played name the sources of their day.
const HISTORY: [&str; 2] = ["docs/operate/acceptance.md", "CHANGELOG.md"];

/// Each path of the source that a page names is there.
#[test]
fn paths_in_pages_exist() {
    let mut seen = 0;
    for page in pages().into_iter().filter(|page| !HISTORY.iter().any(|name| page.ends_with(name))) {
        let text = std::fs::read_to_string(&page).expect("text");
        for path in source_paths(&text) {
            assert!(root().join(path).exists(), "{}: {path}", page.display());
            seen += 1;
        }
    }
    assert!(seen > 50, "{seen} paths were found");
}
