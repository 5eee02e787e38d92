//! Commands on the configuration document.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agateroute_config::{Document, parse_document, reference, schema};
use agateroute_storage::Client;
use agateroute_storage::config::{Applied, ConfigStore, PartCache, Version};
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use similar::TextDiff;

use crate::args::{ConfigCommand, PlatformFlags};
use crate::check;
use crate::error::CtlError;

/// Runs a subcommand of `agatectl config`.
pub async fn run(command: ConfigCommand) -> Result<(), CtlError> {
    match command {
        ConfigCommand::Check(flags) => check::run(&flags).await,
        ConfigCommand::Show { platform, version } => show(&platform, version).await,
        ConfigCommand::Diff { platform, file } => diff(&platform, &file).await,
        ConfigCommand::Apply { platform, base, apply_id, by, file } => {
            apply(&platform, base, apply_id, &by, &file).await
        }
        ConfigCommand::History { platform, after, limit } => history(&platform, after, limit).await,
        ConfigCommand::Schema { settings } => {
            let schema =
                if settings { schema::settings_schema() } else { schema::document_schema() };
            println!("{schema:#}");
            Ok(())
        }
        ConfigCommand::Reference => {
            print!("{}", reference::reference_page());
            Ok(())
        }
    }
}

/// Returns a client of the table service at the address given by the flags.
pub fn table(flags: &PlatformFlags) -> Table {
    let client = Client::new(Duration::from_millis(flags.timeout));
    Table { adapter: DYNAMO, address: flags.table.clone(), client }
}

fn config_store(flags: &PlatformFlags) -> ConfigStore {
    let table = table(flags);
    let client = table.client.clone();
    let objects = Objects { adapter: S3, address: flags.objects.clone(), client };
    ConfigStore { table, objects }
}

/// Reads a file as text.
pub fn read_file(file: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(file).map_err(|cause| CtlError::File {
        step: "read",
        file: file.display().to_string(),
        cause,
    })
}

/// Reads and validates a document.
pub fn read_document(file: &Path) -> Result<Document, CtlError> {
    Ok(parse_document(&file.display().to_string(), &read_file(file)?)?)
}

fn to_yaml(document: &Document) -> Result<String, CtlError> {
    serde_saphyr::to_string(document).map_err(|e| CtlError::other(format!("write YAML: {e}")))
}

async fn show(flags: &PlatformFlags, version: Option<u64>) -> Result<(), CtlError> {
    let store = config_store(flags);
    let found = match version {
        Some(version) => store.version(version).await?,
        None => store.head().await?,
    };
    let found = found.ok_or_else(|| match version {
        Some(version) => CtlError::other(format!("version {version} does not exist")),
        None => CtlError::other("no version has been applied yet"),
    })?;
    let document = store.document(&found, &mut PartCache::default()).await?;
    println!("# version {}, applied by {}", found.version, found.by);
    print!("{}", to_yaml(&document)?);
    Ok(())
}

/// Returns a unified diff of two documents, with their sections in the stored order.
fn document_diff(old: &Document, new: &Document) -> Result<String, CtlError> {
    let (old, new) = (stored_yaml(old)?, stored_yaml(new)?);
    let diff = TextDiff::from_lines(&old, &new);
    Ok(diff.unified_diff().context_radius(3).header("in force", "file").to_string())
}

/// Returns the document as YAML, sorted as the object store returns it, so that the order of
/// organisations and servers in a file makes no difference.
fn stored_yaml(document: &Document) -> Result<String, CtlError> {
    let mut document = document.clone();
    document.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    document.servers.sort_by(|a, b| a.name.cmp(&b.name));
    to_yaml(&document)
}

/// Reads the version in force and its document.
pub async fn current_document(flags: &PlatformFlags) -> Result<(Version, Document), CtlError> {
    let store = config_store(flags);
    let head = store.head().await?;
    let head = head.ok_or_else(|| CtlError::other("no version has been applied yet"))?;
    let document = store.document(&head, &mut PartCache::default()).await?;
    Ok((head, document))
}

async fn diff(flags: &PlatformFlags, file: &Path) -> Result<(), CtlError> {
    let new = read_document(file)?;
    let (head, old) = current_document(flags).await?;
    println!("# against version {}", head.version);
    print!("{}", document_diff(&old, &new)?);
    Ok(())
}

async fn apply(
    flags: &PlatformFlags,
    base: u64,
    apply_id: Option<String>,
    by: &str,
    file: &Path,
) -> Result<(), CtlError> {
    let document = read_document(file)?;
    let store = config_store(flags);
    let apply_id = apply_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    match store.apply(&document, base, &apply_id, by, at).await {
        Ok(Applied::Accepted(version)) => {
            println!("version {} is accepted", version.version);
            Ok(())
        }
        Ok(Applied::Conflict(head)) => Err(conflict_error(&store, base, &head, &document).await?),
        Err(error) => Err(CtlError::other(format!(
            "{error}\nit is unknown whether the version was accepted; repeat with --apply-id {apply_id}"
        ))),
    }
}

/// Returns the error for a stale base version: who applied the newer version, and its difference
/// from the file.
async fn conflict_error(
    store: &ConfigStore,
    base: u64,
    head: &Version,
    document: &Document,
) -> Result<CtlError, CtlError> {
    if head.version == 0 {
        return Ok(CtlError::other(format!("version {base} does not exist: none was applied")));
    }
    let current = store.document(head, &mut PartCache::default()).await?;
    Ok(CtlError::other(format!(
        "version {base} is no longer in force: {} applied version {}\n{}",
        head.by,
        head.version,
        document_diff(&current, document)?
    )))
}

async fn history(flags: &PlatformFlags, after: u64, limit: usize) -> Result<(), CtlError> {
    for version in config_store(flags).history(after, limit).await? {
        println!(
            "version={} at={} by={} apply={} manifest={}",
            version.version, version.at, version.by, version.apply, version.manifest
        );
    }
    Ok(())
}
