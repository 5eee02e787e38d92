//! The command `agatectl config check`.

use std::path::Path;

use agateroute_config::differences::{Difference, differences};
use agateroute_config::findings::{Finding, Kind, findings};
use agateroute_config::{ConfigError, Document, Settings, parse_document, parse_settings};
use serde_json::{Value, json};

use crate::args::CheckFlags;
use crate::config::{current_document, read_document, read_file};
use crate::error::CtlError;

/// The value of `--against` that stands for the version in force. A file of this name is written `./current`.
const CURRENT: &str = "current";

/// What a check found in a file that could be read.
struct Report {
    file: String,
    problems: Option<ConfigError>,
    findings: Vec<Finding>,
    differences: Vec<Difference>,
}

/// Checks a file and prints the findings, one in a line. Fails on problems and errors, and on warnings with `--strict`.
pub async fn run(flags: &CheckFlags) -> Result<(), CtlError> {
    let report = match flags.settings {
        true => check_settings(flags)?,
        false => check_document(flags).await?,
    };
    if flags.json {
        println!("{:#}", to_json(&report)?);
    } else {
        print_lines(&report);
    }
    verdict(report, flags)
}

fn check_settings(flags: &CheckFlags) -> Result<Report, CtlError> {
    if flags.against.is_some() || !flags.instance.is_empty() {
        return Err(CtlError::other(
            "--against and --instance are for documents, not for settings",
        ));
    }
    let (file, text) = (flags.file.display().to_string(), read_file(&flags.file)?);
    let problems = parse_settings(&file, &text).err();
    Ok(Report { file, problems, findings: Vec::new(), differences: Vec::new() })
}

async fn check_document(flags: &CheckFlags) -> Result<Report, CtlError> {
    let (file, text) = (flags.file.display().to_string(), read_file(&flags.file)?);
    let mut report = Report { file, problems: None, findings: Vec::new(), differences: Vec::new() };
    let document = match parse_document(&report.file, &text) {
        Ok(document) => document,
        Err(problems) => return Ok(Report { problems: Some(problems), ..report }),
    };
    let instances: Result<Vec<Settings>, CtlError> =
        flags.instance.iter().map(|f| read_settings(f)).collect();
    report.findings = findings(&document, &instances?);
    if let Some(old) = read_old(flags).await? {
        let found = differences(&old, &document);
        report.differences = found.map_err(|e| CtlError::other(format!("compare: {e}")))?;
    }
    Ok(report)
}

fn read_settings(file: &Path) -> Result<Settings, CtlError> {
    Ok(parse_settings(&file.display().to_string(), &read_file(file)?)?)
}

/// Reads the document that `--against` names, if it is given.
async fn read_old(flags: &CheckFlags) -> Result<Option<Document>, CtlError> {
    let Some(against) = &flags.against else { return Ok(None) };
    if against.as_os_str() != CURRENT {
        return read_document(against).map(Some);
    }
    let platform = flags.platform.as_ref().ok_or_else(|| {
        CtlError::other(
            "--against current needs --table and --objects, to read the version in force",
        )
    })?;
    let (_, document) = current_document(platform).await?;
    Ok(Some(document))
}

fn to_json(report: &Report) -> Result<Value, CtlError> {
    let encode = |e| CtlError::other(format!("encode findings: {e}"));
    let problem = |p: &agateroute_config::Problem| {
        let (line, column) = (p.position.line, p.position.column);
        json!({"line": line, "column": column, "message": p.message, "remedy": p.remedy})
    };
    let problems = report.problems.iter().flat_map(|e| &e.problems).map(problem);
    Ok(json!({
        "file": report.file,
        "problems": problems.collect::<Vec<Value>>(),
        "findings": serde_json::to_value(&report.findings).map_err(encode)?,
        "differences": serde_json::to_value(&report.differences).map_err(encode)?,
    }))
}

fn print_lines(report: &Report) {
    let file = &report.file;
    for finding in &report.findings {
        println!("{file}: {finding}");
    }
    for difference in &report.differences {
        println!("{file}: {difference}");
    }
    if report.problems.is_none() && report.findings.is_empty() {
        println!("{file}: no problems");
    }
}

/// Fails if the file must not be sent as it is. Differences do not count.
fn verdict(report: Report, flags: &CheckFlags) -> Result<(), CtlError> {
    if let Some(problems) = report.problems {
        return Err(problems.into());
    }
    let count = |kind| report.findings.iter().filter(|f| f.kind == kind).count();
    let (errors, warnings) = (count(Kind::Error), count(Kind::Warning));
    if errors > 0 || (flags.strict && warnings > 0) {
        let file = &report.file;
        return Err(CtlError::other(format!("{file}: errors={errors} warnings={warnings}")));
    }
    Ok(())
}
