//! Checks that the files, types and constants that the documents name exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The repository's root.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The text of a file of the repository.
fn text_of(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// All files with this extension below a directory.
fn files_below(directory: &str, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut directories = vec![root().join(directory)];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("the directory can be read") {
            let path = entry.expect("the directory entry can be read").path();
            if path.is_dir() {
                directories.push(path);
            } else if path.extension().is_some_and(|found| found == extension) {
                files.push(path);
            }
        }
    }
    files
}

/// The text of all inline code spans, without fenced code blocks.
fn code_spans(text: &str) -> Vec<String> {
    text.split("```")
        .step_by(2)
        .flat_map(|prose| prose.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

/// The names of all types, functions, traits, constants, modules and enum variants of the sources.
fn defined_names() -> BTreeSet<String> {
    let keywords = ["struct", "enum", "trait", "fn", "const", "mod", "type"];
    let mut names = BTreeSet::new();
    for path in files_below("src", "rs")
        .into_iter()
        .chain(files_below("crates", "rs"))
    {
        let text = fs::read_to_string(path).expect("the file can be read");
        for line in text.lines().map(str::trim_start) {
            let words: Vec<&str> = line
                .split(|c: char| !c.is_alphanumeric() && c != '_')
                .filter(|word| !word.is_empty())
                .collect();
            for pair in words.windows(2) {
                if keywords.contains(&pair[0]) {
                    names.insert(pair[1].to_owned());
                }
            }
            let variant = words.first().copied().unwrap_or_default();
            if variant.starts_with(char::is_uppercase) {
                names.insert(variant.to_owned());
            }
        }
    }
    names
}

/// Whether a code span is the name of a type or enum variant, possibly with a path.
fn is_type_name(span: &str) -> bool {
    span.starts_with(char::is_uppercase)
        && span
            .chars()
            .all(|c| c.is_alphanumeric() || c == ':' || c == '_')
        && span.chars().any(char::is_lowercase)
}

#[test]
fn every_path_that_a_document_names_exists() {
    let documents = [
        "README.md",
        "CONTRIBUTING.md",
        "docs/architecture.md",
        "docs/capacity.md",
        "docs/design.md",
        "docs/drain.md",
        "docs/failures.md",
        "docs/operations.md",
    ];
    let directories = ["src/", "crates/", "tests/", "docs/", "deploy/", "examples/"];
    let mut missing = Vec::new();
    for document in documents {
        for span in code_spans(&text_of(document)) {
            let named = directories.iter().any(|start| span.starts_with(start));
            let is_path = !span.contains(|c: char| c.is_whitespace() || "*<{".contains(c));
            if named && is_path && !root().join(&span).exists() {
                missing.push(format!("{document}: {span}"));
            }
        }
    }
    assert_eq!(
        missing,
        [] as [String; 0],
        "documents name files that do not exist"
    );
}

/// The last part of a code span such as `module::CONSTANT`, if it is the name of a constant.
fn constant_name(span: &str) -> Option<&str> {
    let name = span.rsplit("::").next()?;
    let constant = name.len() > 3
        && name
            .chars()
            .all(|c| c.is_ascii_uppercase() || c == '_' || c.is_ascii_digit());
    constant.then_some(name)
}

#[test]
fn every_constant_that_the_capacity_page_names_is_defined() {
    let defined = defined_names();
    let missing: Vec<String> = code_spans(&text_of("docs/capacity.md"))
        .into_iter()
        .filter(|span| constant_name(span).is_some_and(|name| !defined.contains(name)))
        .collect();
    assert_eq!(
        missing,
        [] as [String; 0],
        "the page names items that are not defined"
    );
}

#[test]
fn every_type_that_the_architecture_page_names_is_defined() {
    let defined = defined_names();
    let missing: Vec<String> = code_spans(&text_of("docs/architecture.md"))
        .into_iter()
        .filter(|span| is_type_name(span))
        .filter(|span| !span.split("::").all(|part| defined.contains(part)))
        .collect();
    assert_eq!(
        missing,
        [] as [String; 0],
        "the page names items that are not defined"
    );
}
