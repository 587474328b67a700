//! The features file: what operators have switched on. Whatever it does not name is off.
//!
//! The binary reads it at the start, for `serve` and for `check`, with the settings that it must agree with. Faults are
//! reported with the line they stand on.

use std::path::{Path, PathBuf};

use dappleshore_drain::{DrainSettings, Limit};
use schemars::JsonSchema;
use serde::Deserialize;
use toml::de::DeTable;

use crate::config::Config;

/// Where `serve` and `check` look for the file unless they are told: below their working directory.
pub const DEFAULT_PATH: &str = "deploy/features.toml";

/// The features file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Emptying machines in steps.
    pub drain: DrainSettings,
}

/// Why a features file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The file is malformed, or does not agree with the settings.
    #[error("{path}:{line}: {problem}")]
    Invalid {
        /// The file.
        path: String,
        /// The line, from 1 on.
        line: usize,
        /// What is wrong, in one line.
        problem: String,
    },
}

impl Features {
    /// Reads the file that is named, else the one at [`DEFAULT_PATH`]; if there is none there, everything is off.
    ///
    /// # Errors
    ///
    /// The file can't be read, or is not valid under these settings.
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

    /// Reads a file's text. `path` is only for messages.
    ///
    /// # Errors
    ///
    /// The text is malformed, or does not agree with the settings.
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

/// The features, and the file that states them, if there is one.
#[derive(Debug)]
pub struct LoadedFeatures {
    /// The features.
    pub features: Features,
    /// The file, if there is one.
    pub path: Option<PathBuf>,
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn line_of_offset(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}

/// The line on which a key stands.
fn line_of_key(text: &str, keys: &[&str]) -> usize {
    let offset = DeTable::parse(text).ok().and_then(|table| {
        let mut table = table.into_inner();
        let mut offset = None;
        for key in keys {
            let (name, value) = table
                .into_iter()
                .find(|(name, _)| name.get_ref().as_ref() == *key)?;
            offset = Some(name.span().start);
            table = match value.into_inner() {
                toml::de::DeValue::Table(inner) => inner,
                _ => break,
            };
        }
        offset
    });
    line_of_offset(text, offset.unwrap_or(0))
}

#[cfg(test)]
mod tests;
