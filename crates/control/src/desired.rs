//! Reads the desired fleet from a file, or from the store that plans are applied to.

use crate::settings::{Settings, SettingsError};
use runtrack_model::Fleet;
use runtrack_store::{Folder, Store, StoreError, Version};
use std::path::{Path, PathBuf};

/// Why the desired fleet could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DesiredError {
    /// The file is invalid.
    #[error(transparent)]
    File(#[from] SettingsError),
    /// The folder is not accessible.
    #[error("{}: {}", .0.display(), .1)]
    Folder(PathBuf, std::io::Error),
    /// The folder contains no store.
    #[error("{path}: there is no state here: make one with `runtrackctl --state {path} init`", path = .0.display())]
    MissingState(PathBuf),
    /// The store is damaged, or its format is newer than this program.
    #[error("{}: {}", .0.display(), .1)]
    Store(PathBuf, StoreError),
    /// The store's current version is not a valid fleet.
    #[error("{}: serial {} is not a valid fleet: {}", .0.display(), .1, .2)]
    InvalidFleet(PathBuf, u64, String),
}

/// The desired fleet, with its version in the store.
pub struct Desired {
    /// The fleet to serve.
    pub fleet: Fleet,
    /// Its version; none for a file or an empty store.
    pub version: Option<Version>,
}

/// Where the desired fleet is read from.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A file, read at start and on SIGHUP.
    File(PathBuf),
    /// A store, read whenever its head changes.
    Store(PathBuf),
}

impl Origin {
    /// The origin that the settings name.
    pub fn from_settings(settings: &Settings) -> Origin {
        match (&settings.store, &settings.fleet) {
            (Some(store), _) => Origin::Store(store.clone()),
            (None, fleet) => Origin::File(fleet.clone().unwrap_or_default()),
        }
    }

    /// Reads the desired fleet.
    pub fn read(&self) -> Result<Desired, DesiredError> {
        match self {
            Origin::File(path) => Ok(Desired { fleet: read_file(path)?, version: None }),
            Origin::Store(path) => read_store(path),
        }
    }

    /// The fleet of a version of the store; none if it can no longer be read.
    pub fn fleet_of(&self, serial: u64) -> Option<Fleet> {
        let Origin::Store(path) = self else { return None };
        let text = open(path).ok()?.text(serial).ok()?;
        Fleet::from_canonical_json(&text).ok()
    }

    /// The serial at the head of the store; none for a file. Cheap enough to be polled twice a second.
    pub fn head_serial(&self) -> Option<Result<u64, DesiredError>> {
        match self {
            Origin::File(_) => None,
            Origin::Store(path) => Some(open(path).map(|store| store.serial())),
        }
    }
}

fn read_file(path: &Path) -> Result<Fleet, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
    Fleet::from_toml(&text).map_err(|problems| {
        let lines: Vec<String> = problems.to_string().lines().map(str::to_owned).collect();
        SettingsError::Invalid(path.to_owned(), lines.join(&format!("\n{}:", path.display())))
    })
}

fn open(path: &Path) -> Result<Store<Folder>, DesiredError> {
    if !path.is_dir() {
        return Err(DesiredError::MissingState(path.to_owned()));
    }
    let folder = Folder::new(path).map_err(|e| DesiredError::Folder(path.to_owned(), e))?;
    let store = Store::open(folder).map_err(|e| DesiredError::Store(path.to_owned(), e))?;
    store.ok_or_else(|| DesiredError::MissingState(path.to_owned()))
}

fn read_store(path: &Path) -> Result<Desired, DesiredError> {
    let store = open(path)?;
    let Some(version) = store.current().cloned() else {
        return Ok(Desired { fleet: Fleet::default(), version: None });
    };
    let text = store.text(version.serial).map_err(|e| DesiredError::Store(path.to_owned(), e))?;
    let fleet = Fleet::from_canonical_json(&text)
        .map_err(|problem| DesiredError::InvalidFleet(path.to_owned(), version.serial, problem))?;
    Ok(Desired { fleet, version: Some(version) })
}
