//! Reads resource files and prompts.

use std::{
    collections::HashSet,
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
};

use lacewingspring_core::resources::{Resource, ResourceId};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// File name that selects standard input.
pub const STDIN: &str = "-";

/// Why a file or the text of an argument cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not JSON, or its fields are not those of a resource.
    #[error("{path}: {source}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// The JSON is neither an object nor an array.
    #[error("{path}: expected one resource, an array of them or {{\"resources\": [..]}}")]
    UnexpectedShape {
        /// Path of the file.
        path: PathBuf,
    },
    /// The files of one transaction declare a resource twice.
    #[error("{path}: {id} is declared twice")]
    Duplicate {
        /// Path of the file with the second declaration.
        path: PathBuf,
        /// Kind and name of the resource.
        id: ResourceId,
    },
    /// The files contain no resources.
    #[error("the files declare no resources")]
    Empty,
}

/// Resource list in the format that `get --output json` prints.
#[derive(Deserialize)]
struct ResourceList {
    resources: Vec<Resource>,
}

/// Reads the resources of all files; a resource that is declared twice is an error.
pub fn read_resources(paths: &[PathBuf]) -> Result<Vec<Resource>, FileError> {
    let mut resources = Vec::new();
    let mut seen = HashSet::new();
    for path in paths {
        for resource in parse_resources(path, &read_text(path)?)? {
            if !seen.insert(resource.id()) {
                return Err(FileError::Duplicate { path: path.clone(), id: resource.id() });
            }
            resources.push(resource);
        }
    }
    if resources.is_empty() {
        return Err(FileError::Empty);
    }
    Ok(resources)
}

/// Reads a file as text; `-` reads standard input.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    let text = if path.as_os_str() == STDIN {
        let mut buf = String::new();
        io::stdin().read_to_string(&mut buf).map(|_| buf)
    } else {
        fs::read_to_string(path)
    };
    text.map_err(|source| FileError::Read { path: path.to_owned(), source })
}

/// Checks that a text is valid JSON; `path` only names its source in the error.
pub fn check_json(path: &Path, text: &str) -> Result<(), FileError> {
    match serde_json::from_str::<Value>(text) {
        Ok(_) => Ok(()),
        Err(source) => Err(FileError::Parse { path: path.to_owned(), source }),
    }
}

fn parse_resources(path: &Path, text: &str) -> Result<Vec<Resource>, FileError> {
    let parse_error = |source| FileError::Parse { path: path.to_owned(), source };
    // Parses the text a second time, into the type that its outer form selects, since an error of
    // a conversion from `Value` would not name line and column.
    match serde_json::from_str(text).map_err(parse_error)? {
        Value::Array(_) => serde_json::from_str(text).map_err(parse_error),
        Value::Object(fields) if fields.contains_key("resources") => {
            let file: ResourceList = serde_json::from_str(text).map_err(parse_error)?;
            Ok(file.resources)
        }
        Value::Object(_) => serde_json::from_str(text).map(|one| vec![one]).map_err(parse_error),
        _ => Err(FileError::UnexpectedShape { path: path.to_owned() }),
    }
}
