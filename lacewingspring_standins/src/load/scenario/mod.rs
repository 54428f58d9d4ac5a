//! Scenario files, which combine a deployment with a load.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::Deserialize;
use thiserror::Error;

pub use self::{
    deployment::{
        Class, ClassBody, Delays, Deployment, EngineGroup, Lengths, PlacedEngine, PlacedProcess,
        PlainGroup, Prefixes, Tier, Workspace,
    },
    load::{Burst, Fault, Kill, Load, Repeats},
};

mod deployment;
mod load;

/// Error of loading a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON or does not match the format.
    #[error("cannot parse {path}: {source}")]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The scenario refers to an item that the deployment does not have.
    #[error("{kind} {name:?} is not part of the deployment")]
    Unknown {
        /// Kind of the missing item.
        kind: &'static str,
        /// Name of the missing item.
        name: String,
    },
}

/// Contents of a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ScenarioFile {
    name: String,
    /// Path of the deployment file, relative to this file.
    deployment: PathBuf,
    load: Load,
}

/// Deployment with the load on it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Processes, services and workspaces under load.
    pub deployment: Deployment,
    /// Load on the deployment.
    pub load: Load,
}

impl Scenario {
    /// Reads a scenario file and its deployment file.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or parsed, or the scenario refers to an unknown tier, stand-in
    /// or instance.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let file: ScenarioFile = read_json(path)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let deployment = read_json(&folder.join(&file.deployment))?;
        let scenario = Self { name: file.name, deployment, load: file.load };
        scenario.check_references()?;
        Ok(scenario)
    }

    /// Checks that every tier, stand-in and instance referred to is part of the deployment.
    fn check_references(&self) -> Result<(), ScenarioError> {
        for class in &self.deployment.classes {
            self.deployment.tier(&class.tier)?;
        }
        for fault in &self.load.faults {
            self.deployment.address_of(&fault.stand_in)?;
        }
        for kill in &self.load.kills {
            if kill.instance >= self.deployment.instances {
                let name = kill.instance.to_string();
                return Err(ScenarioError::Unknown { kind: "instance", name });
            }
        }
        Ok(())
    }
}

fn read_json<T>(path: &Path) -> Result<T, ScenarioError>
where
    T: serde::de::DeserializeOwned,
{
    let text = fs::read_to_string(path)
        .map_err(|source| ScenarioError::Read { path: path.into(), source })?;
    serde_json::from_str(&text)
        .map_err(|source| ScenarioError::Syntax { path: path.into(), source })
}
