//! The recorded figures, to which later runs are compared.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::variant::VariantFigures;

/// Figures of one version of the policy, stored in `bench/recorded.json`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedFigures {
    /// Seed of the workloads.
    pub seed: u64,
    /// Figures of all variants, by the name of the deployment.
    pub deployments: BTreeMap<String, Vec<VariantFigures>>,
}

fn recorded_path() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/recorded.json"))
}

impl RecordedFigures {
    /// Reads the recorded figures; returns none if there is no file.
    ///
    /// # Errors
    /// If the file cannot be read or parsed.
    pub fn load() -> io::Result<Option<Self>> {
        match std::fs::read_to_string(recorded_path()) {
            Ok(text) => Ok(Some(serde_json::from_str(&text)?)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the figures over those recorded before.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn save(&self) -> io::Result<()> {
        std::fs::write(recorded_path(), serde_json::to_string_pretty(self)? + "\n")
    }
}
