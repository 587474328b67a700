//! The features file, in which operators enable features. A feature that it does not name is disabled.
//!
//! The binary reads it at startup, for `serve` and for `check`, and validates it against the settings. Errors are
//! reported with their line.

use std::path::{Path, PathBuf};

use dappleshore_drain::{DrainSettings, Limit};
use schemars::JsonSchema;
use serde::Deserialize;
use toml::de::DeTable;

use crate::config::Config;

/// The default path of the file for `serve` and `check`, relative to their working directory.
pub const DEFAULT_PATH: &str = "deploy/features.toml";

/// The features file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Emptying machines in steps.
    pub drain: DrainSettings,
}

/// The reason why a features file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is malformed or inconsistent with the settings.
    #[error("{path}:{line}: {problem}")]
    Invalid {
        /// The file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// The problem, in one line.
        problem: String,
    },
}

impl Features {
    /// Reads the file at `requested_path`, by default at [`DEFAULT_PATH`]. Without a file at the default path all
    /// features are disabled.
    ///
    /// # Errors
    ///
    /// The file can't be read or is not valid under these settings.
    pub fn load(
        requested_path: Option<&Path>,
        config: &Config,
    ) -> Result<LoadedFeatures, FeaturesError> {
        let path = requested_path.unwrap_or(Path::new(DEFAULT_PATH));
        if requested_path.is_none() && !path.exists() {
            return Ok(LoadedFeatures {
                features: Features::default(),
                path: None,
            });
        }
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| FeaturesError::Unreadable {
            path: display_path.clone(),
            source,
        })?;
        Ok(LoadedFeatures {
            features: Features::parse(&display_path, &text, config)?,
            path: Some(path.to_owned()),
        })
    }

    /// Parses and validates the text of a file. `path` appears in error messages only.
    ///
    /// # Errors
    ///
    /// The text is malformed or inconsistent with the settings.
    pub fn parse(path: &str, text: &str, config: &Config) -> Result<Self, FeaturesError> {
        let invalid = |line, problem| FeaturesError::Invalid {
            path: path.to_owned(),
            line,
            problem,
        };
        let features: Features = toml::from_str(text).map_err(|error| {
            let line = error
                .span()
                .map_or(1, |span| line_of_offset(text, span.start));
            invalid(line, one_line(error.message()))
        })?;
        if features.drain.step == Limit::Count(0) {
            let line = line_of_key(text, &["drain", "step"]);
            return Err(invalid(
                line,
                "`step` must be at least 1, or a share".to_owned(),
            ));
        }
        for team in features.drain.teams.keys() {
            if config.team_limits(&team.as_str().into()).is_none() {
                let line = line_of_key(text, &["drain", "teams", team]);
                let known: Vec<&str> = config.teams.iter().map(|team| &*team.name.0).collect();
                let problem = format!("there is no team `{team}`, only {}", known.join(", "));
                return Err(invalid(line, problem));
            }
        }
        Ok(features)
    }
}

/// The features with the path of the file that they were read from.
#[derive(Debug)]
pub struct LoadedFeatures {
    /// The features.
    pub features: Features,
    /// The path of the file, if there is one.
    pub path: Option<PathBuf>,
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn line_of_offset(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}

/// The line of a key.
fn line_of_key(text: &str, keys: &[&str]) -> usize {
    let offset = DeTable::parse(text).ok().and_then(|table| {
        let mut table = table.into_inner();
        let mut key_offset = None;
        for key in keys {
            let (name, value) = table
                .into_iter()
                .find(|(name, _)| name.get_ref().as_ref() == *key)?;
            key_offset = Some(name.span().start);
            table = match value.into_inner() {
                toml::de::DeValue::Table(inner) => inner,
                _ => break,
            };
        }
        key_offset
    });
    line_of_offset(text, offset.unwrap_or(0))
}

#[cfg(test)]
mod tests;
