//! Stores the configuration in the platform's services: head row, history and documents.
//!
//! A version comes into force by one transaction that compares and sets the head row. If the
//! response to that write is lost, the apply id shows whether the write took effect. See
//! `docs/DESIGN.md`, "Configuration".

use agateroute_config::Document;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Cause, PlatformError};
use crate::manifest::{self, Manifest, Part};
use crate::objects::Objects;
use crate::table::{Condition, Outcome, Row, Table, Write};

/// The partition of the head row.
const HEAD_PARTITION: &str = "config";
/// The sort key of the head row.
const HEAD_SORT: &str = "head";
/// The partition of the history rows.
const HISTORY_PARTITION: &str = "config-history";
/// The number of retries of an apply before its error is returned and its outcome is unknown.
const MAX_APPLY_RETRIES: usize = 5;
/// The delay before each retry, in milliseconds.
const APPLY_RETRY_MS: u64 = 200;

/// A version of the configuration, as stored in the head row and in the history.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Version {
    /// The version number, which only grows.
    pub version: u64,
    /// The digest of the manifest, under which it is stored.
    pub manifest: String,
    /// The apply id, unique to one apply.
    pub apply: String,
    /// The name of the operator who applied it.
    pub by: String,
    /// The time of the apply, in seconds since 1970.
    pub at: u64,
}

/// The services that store the configuration.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    /// The table service with the head row and the history.
    pub table: Table,
    /// The object store with manifests and parts of documents.
    pub objects: Objects,
}

/// The outcome of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The applied version is in force.
    Accepted(Version),
    /// Another version came first. Holds the version in force, with number 0 if there is none.
    Conflict(Version),
}

/// A cache of document parts by digest, so that only changed parts are fetched.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: Vec<(String, Value)>,
}

impl PartCache {
    fn get(&self, digest: &str) -> Option<&Value> {
        let at = self.parts.binary_search_by(|(d, _)| d.as_str().cmp(digest)).ok()?;
        Some(&self.parts[at].1)
    }

    fn insert(&mut self, digest: &str, value: Value) {
        if let Err(at) = self.parts.binary_search_by(|(d, _)| d.as_str().cmp(digest)) {
            self.parts.insert(at, (digest.to_owned(), value));
        }
    }

    fn retain_used(&mut self, manifest: &Manifest) {
        let mut used: Vec<&str> =
            manifest.sections.iter().flat_map(|s| s.parts.iter().map(String::as_str)).collect();
        used.sort_unstable();
        self.parts.retain(|(d, _)| used.binary_search(&d.as_str()).is_ok());
    }
}

impl ConfigStore {
    /// Reads the version in force, if there is one.
    pub async fn head(&self) -> Result<Option<Version>, PlatformError> {
        let row = self.table.get(HEAD_PARTITION, HEAD_SORT).await?;
        row.map(|r| self.decode_version(&r)).transpose()
    }

    /// Reads up to `limit` versions after a number, oldest first.
    pub async fn history(&self, after: u64, limit: usize) -> Result<Vec<Version>, PlatformError> {
        let sort = if after == 0 { " ".to_owned() } else { history_sort(after) };
        let rows = self.table.query(HISTORY_PARTITION, &sort, limit).await?;
        rows.iter().map(|r| self.decode_version(r)).collect()
    }

    /// Reads one version from the history, if it exists.
    pub async fn version(&self, version: u64) -> Result<Option<Version>, PlatformError> {
        let row = self.table.get(HISTORY_PARTITION, &history_sort(version)).await?;
        row.map(|r| self.decode_version(&r)).transpose()
    }

    fn decode_version(&self, row: &Row) -> Result<Version, PlatformError> {
        serde_json::from_str(&row.value).map_err(|e| self.decode_error("version row", &e))
    }

    /// The error for a row that can not be decoded.
    fn decode_error(&self, step: &'static str, error: &serde_json::Error) -> PlatformError {
        PlatformError::new(step, &self.table.address, Cause::Decode(error.to_string()))
    }

    /// Reads the document of a version. Only parts that are not in the cache are fetched.
    pub async fn document(
        &self,
        version: &Version,
        cache: &mut PartCache,
    ) -> Result<Document, PlatformError> {
        let manifest: Manifest = self.object(&version.manifest).await?;
        for digest in manifest.sections.iter().flat_map(|s| &s.parts) {
            if cache.get(digest).is_none() {
                let value = self.object(digest).await?;
                cache.insert(digest, value);
            }
        }
        cache.retain_used(&manifest);
        manifest::join(&manifest, |d| cache.get(d).cloned()).map_err(|e| {
            PlatformError::new("document", &self.objects.address, Cause::Decode(e.to_string()))
        })
    }

    async fn object<T: serde::de::DeserializeOwned>(
        &self,
        digest: &str,
    ) -> Result<T, PlatformError> {
        let key = object_key(digest);
        let missing = || {
            let cause = Cause::Decode(format!("object {key} does not exist"));
            PlatformError::new("object read", &self.objects.address, cause)
        };
        let body = self.objects.get(&key).await?.ok_or_else(missing)?;
        serde_json::from_slice(&body).map_err(|e| {
            let cause = Cause::Decode(format!("{key}: {e}"));
            PlatformError::new("object", &self.objects.address, cause)
        })
    }

    /// Puts a document in force as the version after `base`, if `base` is still in force. The id
    /// `apply` detects that an earlier try with a lost response succeeded, also in a later call.
    pub async fn apply(
        &self,
        document: &Document,
        base: u64,
        apply: &str,
        by: &str,
        at: u64,
    ) -> Result<Applied, PlatformError> {
        let version = self.write_objects(document, base + 1, apply, by, at).await?;
        let mut retries = 0;
        loop {
            match self.set_head(&version, base).await {
                Ok(Outcome::Committed) => return Ok(Applied::Accepted(version)),
                Ok(Outcome::Conflict(_)) => return self.resolve_conflict(version).await,
                Err(e) if retries >= MAX_APPLY_RETRIES => return Err(e),
                Err(_) => retries += 1,
            }
            tokio::time::sleep(std::time::Duration::from_millis(APPLY_RETRY_MS)).await;
        }
    }

    async fn write_objects(
        &self,
        document: &Document,
        version: u64,
        apply: &str,
        by: &str,
        at: u64,
    ) -> Result<Version, PlatformError> {
        let fail = |e: serde_json::Error| self.decode_error("document", &e);
        let (manifest, parts) = manifest::split(document).map_err(fail)?;
        let index = Part::new(serde_json::to_string(&manifest).map_err(fail)?);
        let stored = self.stored_parts().await;
        for part in parts.iter().filter(|p| stored.binary_search(&p.digest).is_err()) {
            self.objects.put(&object_key(&part.digest), part.body.clone()).await?;
        }
        self.objects.put(&object_key(&index.digest), index.body).await?;
        let (apply, by) = (apply.to_owned(), by.to_owned());
        Ok(Version { version, manifest: index.digest, apply, by, at })
    }

    /// Returns the digests of the parts of the version in force, which need not be written again.
    async fn stored_parts(&self) -> Vec<String> {
        let Ok(Some(head)) = self.head().await else { return Vec::new() };
        let Ok(manifest) = self.object::<Manifest>(&head.manifest).await else { return Vec::new() };
        let mut stored: Vec<String> = manifest.sections.into_iter().flat_map(|s| s.parts).collect();
        stored.sort_unstable();
        stored
    }

    async fn set_head(&self, version: &Version, base: u64) -> Result<Outcome, PlatformError> {
        let value = serde_json::to_string(version).map_err(|e| self.decode_error("version", &e))?;
        let row = |partition: &str, sort: String| Row {
            partition: partition.to_owned(),
            sort,
            tag: version.version.to_string(),
            value: value.clone(),
            expires: 0,
        };
        let head = row(HEAD_PARTITION, HEAD_SORT.to_owned());
        let history = row(HISTORY_PARTITION, history_sort(version.version));
        let tag = base.to_string();
        let condition = if base == 0 { Condition::Absent } else { Condition::Tag(&tag) };
        let writes = [
            Write { row: &head, condition },
            Write { row: &history, condition: Condition::Absent },
        ];
        self.table.transact(&writes).await
    }

    /// Checks whether the version that caused the conflict was written by this same apply.
    async fn resolve_conflict(&self, version: Version) -> Result<Applied, PlatformError> {
        let stored = self.version(version.version).await?;
        match stored {
            Some(found) if found.apply == version.apply => Ok(Applied::Accepted(found)),
            Some(found) => Ok(Applied::Conflict(self.head().await?.unwrap_or(found))),
            None => {
                let head = self.head().await?;
                let none = Version { version: 0, ..version };
                Ok(Applied::Conflict(head.unwrap_or(none)))
            }
        }
    }
}

fn history_sort(version: u64) -> String {
    format!("{version:012}")
}

fn object_key(digest: &str) -> String {
    format!("config/{digest}")
}
