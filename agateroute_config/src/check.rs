//! Validation of documents and settings, which reports all problems at once instead of the first.

use std::fmt;
use std::net::SocketAddr;

use jsonschema::error::ValidationErrorKind;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::tree::{Node, Position};
use crate::{Document, Settings, schema};

/// A problem in a document or in settings, with its position and advice on how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The position of the field or value at fault.
    pub position: Position,
    /// The problem, with the names and values concerned.
    pub message: String,
    /// How to correct it; empty if there is no specific advice.
    pub remedy: String,
}

/// All problems of one file.
#[derive(Clone, Debug, derive_more::Error)]
pub struct ConfigError {
    /// The file name as given by the operator.
    pub file: String,
    /// The problems, sorted by position.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            let Position { line, column } = problem.position;
            write!(f, "{}:{line}:{column}: {}", self.file, problem.message)?;
            if !problem.remedy.is_empty() {
                write!(f, "; {}", problem.remedy)?;
            }
        }
        Ok(())
    }
}

/// Parses and validates a document. `file` is only used in error messages.
pub fn parse_document(file: &str, text: &str) -> Result<Document, ConfigError> {
    let (tree, document) = parse(file, text, &schema::document_schema())?;
    let problems = check_document(&tree, &document);
    into_result(file, problems, document)
}

/// Parses and validates instance settings. `file` is only used in error messages.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, ConfigError> {
    let (tree, settings) = parse(file, text, &schema::settings_schema())?;
    let problems = check_settings(&tree, &settings);
    into_result(file, problems, settings)
}

fn into_result<T>(file: &str, mut problems: Vec<Problem>, value: T) -> Result<T, ConfigError> {
    if problems.is_empty() {
        return Ok(value);
    }
    problems.sort_by_key(|p| (p.position.line, p.position.column));
    Err(ConfigError { file: file.to_owned(), problems })
}

fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    schema: &Value,
) -> Result<(Node, T), ConfigError> {
    let fail = |problems| ConfigError { file: file.to_owned(), problems };
    let tree: Node = serde_saphyr::from_str(text).map_err(|e| fail(vec![syntax_problem(&e)]))?;
    let value = tree.to_value();
    let problems = check_schema(&tree, &value, schema);
    into_result(file, problems, ())?;
    let parsed = serde_json::from_value(value).map_err(|e| {
        let message = e.to_string();
        fail(vec![Problem { position: tree.position, message, remedy: String::new() }])
    })?;
    Ok((tree, parsed))
}

fn syntax_problem(error: &serde_saphyr::Error) -> Problem {
    let position = match error.location() {
        Some(l) => Position { line: l.line(), column: l.column() },
        None => Position { line: 1, column: 1 },
    };
    let text = error.without_snippet().to_string();
    let message = text.lines().next().unwrap_or_default().to_owned();
    Problem { position, message, remedy: "correct the YAML".to_owned() }
}

fn check_schema(tree: &Node, value: &Value, schema: &Value) -> Vec<Problem> {
    let validator = match jsonschema::validator_for(schema) {
        Ok(validator) => validator,
        Err(e) => {
            let message = format!("schema is not usable: {e}");
            return vec![Problem { position: tree.position, message, remedy: String::new() }];
        }
    };
    let mut problems = Vec::new();
    for error in validator.iter_errors(value) {
        let path = error.instance_path().to_string();
        schema_problem(tree, &path, error.kind(), &error.to_string(), &mut problems);
    }
    problems
}

fn schema_problem(
    tree: &Node,
    path: &str,
    kind: &ValidationErrorKind,
    text: &str,
    problems: &mut Vec<Problem>,
) {
    let place = if path.is_empty() { "the document" } else { path };
    match kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for field in unexpected {
                problems.push(Problem {
                    position: tree.locate(&format!("{path}/{field}")),
                    message: format!("field {field:?} does not exist in {place}"),
                    remedy: unknown_field_remedy(field),
                });
            }
        }
        ValidationErrorKind::Required { property } => problems.push(Problem {
            position: tree.locate(path),
            message: format!("field {property} is missing in {place}"),
            remedy: "add it".to_owned(),
        }),
        _ => problems.push(Problem {
            position: tree.locate(path),
            message: format!("{place}: {text}"),
            remedy: "see docs/CONFIGURATION.md for its type and range".to_owned(),
        }),
    }
}

/// Fields of the document that were renamed, as (former name, present name).
const RENAMED_FIELDS: [(&str, &str); 2] =
    [("members", "organisations"), ("member_requests", "organisation_requests")];

fn unknown_field_remedy(field: &str) -> String {
    match RENAMED_FIELDS.iter().find(|(former, _)| *former == field) {
        Some((_, present)) => format!("it was renamed, write {present}"),
        None => "remove it or correct its name".to_owned(),
    }
}

/// Collects problems and looks up the positions of the fields that they concern.
struct Checker<'a> {
    tree: &'a Node,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(&mut self, pointer: &str, message: String, remedy: &str) {
        self.problems.push(Problem {
            position: self.tree.locate(pointer),
            message,
            remedy: remedy.to_owned(),
        });
    }

    fn check_dups<'n>(&mut self, list: &str, noun: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen: Vec<&str> = Vec::new();
        for (i, name) in names.enumerate() {
            match seen.binary_search(&name) {
                Ok(_) => {
                    let message = format!("{noun} {name:?} is declared twice");
                    self.report(&format!("{list}/{i}"), message, "rename or remove one");
                }
                Err(at) => seen.insert(at, name),
            }
        }
    }

    fn check_address(&mut self, pointer: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            let message = format!("address {text:?} is not an IP address with a port");
            self.report(pointer, message, "write it like 10.0.0.1:8000");
        }
    }
}

fn check_document(tree: &Node, document: &Document) -> Vec<Problem> {
    let mut checker = Checker { tree, problems: Vec::new() };
    let c = &mut checker;
    c.check_dups("/ranks", "rank", document.ranks.iter().map(|r| r.name.as_str()));
    c.check_dups("/models", "model", document.models.iter().map(|m| m.name.as_str()));
    c.check_dups("/services", "service", document.services.iter().map(|s| s.name.as_str()));
    c.check_dups("/servers", "backend server", document.servers.iter().map(|s| s.name.as_str()));
    c.check_dups(
        "/organisations",
        "organisation",
        document.organisations.iter().map(|m| m.name.as_str()),
    );
    c.check_dups("/routes", "route", document.routes.iter().map(|r| r.name.as_str()));
    check_floors(c, document);
    check_models(c, document);
    check_services(c, document);
    check_servers(c, document);
    check_organisations(c, document);
    check_routes(c, document);
    checker.problems
}

fn check_routes(c: &mut Checker<'_>, document: &Document) {
    for (i, route) in document.routes.iter().enumerate() {
        let at = format!("/routes/{i}");
        check_rank(c, document, &format!("{at}/rank"), ("route", &route.name), &route.rank);
        for (j, target) in route.targets.iter().enumerate() {
            let name = &target.service;
            if document.service(name).is_none() && document.model(name).is_none() {
                let message =
                    format!("target {name:?} of route {:?} is no model or service", route.name);
                c.report(&format!("{at}/targets/{j}/service"), message, "declare it");
            }
        }
        if route.targets.iter().all(|t| t.weight == 0) {
            let message = format!("route {:?} has no target with a weight", route.name);
            c.report(&at, message, "give one of its targets a weight above 0");
        }
        let equal = |r: &&crate::route::Route| r.host == route.host && r.prefix == route.prefix;
        if document.routes[..i].iter().any(|r| equal(&r)) {
            let message =
                format!("host {:?} and prefix {:?} have two routes", route.host, route.prefix);
            c.report(&at, message, "remove one");
        }
    }
}

fn check_floors(c: &mut Checker<'_>, document: &Document) {
    let sum: u32 = document.ranks.iter().map(|r| u32::from(r.floor_percent)).sum();
    if sum > 100 {
        let message = format!("the floors of all ranks add up to {sum} percent");
        c.report("/ranks", message, "lower them to a total of 100 or less");
    }
}

/// Checks that a rank exists. `user` says what names it: a route or a request kind, and its name.
fn check_rank(
    c: &mut Checker<'_>,
    document: &Document,
    pointer: &str,
    user: (&str, &str),
    rank: &str,
) {
    if document.rank_index(rank).is_none() {
        let (what, name) = user;
        let message = format!("rank {rank:?} of {what} {name:?} does not exist in ranks");
        c.report(pointer, message, "declare the rank or name another");
    }
}

fn check_models(c: &mut Checker<'_>, document: &Document) {
    for (i, model) in document.models.iter().enumerate() {
        let at = format!("/models/{i}");
        c.check_dups(&format!("{at}/kinds"), "kind", model.kinds.iter().map(|k| k.name.as_str()));
        c.check_dups(&format!("{at}/adapters"), "adapter", model.adapters.iter().map(|a| &*a.name));
        for (j, kind) in model.kinds.iter().enumerate() {
            check_rank(
                c,
                document,
                &format!("{at}/kinds/{j}/rank"),
                ("request kind", &kind.name),
                &kind.rank,
            );
        }
        if model.name.contains(':') {
            let message = format!("model name {:?} contains a colon", model.name);
            c.report(&format!("{at}/name"), message, "the colon separates model and adapter");
        }
        if !document.servers.iter().any(|s| s.runs_model(&model.name)) {
            let message = format!("model {:?} is run by no backend server", model.name);
            c.report(&at, message, "add it to the models of an engine");
        }
    }
}

fn check_services(c: &mut Checker<'_>, document: &Document) {
    for (i, service) in document.services.iter().enumerate() {
        let at = format!("/services/{i}");
        for (j, call) in service.calls.iter().enumerate() {
            check_rank(
                c,
                document,
                &format!("{at}/calls/{j}/rank"),
                ("request kind", &call.kind),
                &call.rank,
            );
        }
        if service.name.contains('/') {
            let message = format!("service name {:?} contains a slash", service.name);
            c.report(&format!("{at}/name"), message, "the name is one segment of the path");
        }
        if !document.servers.iter().any(|s| s.runs_service(&service.name)) {
            let message = format!("service {:?} is run by no backend server", service.name);
            c.report(&at, message, "add a backend server with it");
        }
    }
}

fn check_servers(c: &mut Checker<'_>, document: &Document) {
    for (i, server) in document.servers.iter().enumerate() {
        let at = format!("/servers/{i}");
        c.check_address(&format!("{at}/address"), &server.address);
        if server.engine.is_some() == server.plain.is_some() {
            let message =
                format!("backend server {:?} needs exactly one of engine and plain", server.name);
            c.report(&at, message, "declare either engine or plain");
        }
        for (j, model) in server.engine.iter().flat_map(|e| e.models.iter().enumerate()) {
            if document.model(model).is_none() {
                let message = format!("model {model:?} does not exist in models");
                c.report(&format!("{at}/engine/models/{j}"), message, "declare or remove it");
            }
        }
        if let Some(plain) = &server.plain
            && document.service(&plain.service).is_none()
        {
            let message = format!("service {:?} does not exist in services", plain.service);
            c.report(&format!("{at}/plain/service"), message, "declare it or name another");
        }
    }
}

fn check_organisations(c: &mut Checker<'_>, document: &Document) {
    let mut digests: Vec<&str> = Vec::new();
    for (i, organisation) in document.organisations.iter().enumerate() {
        let at = format!("/organisations/{i}");
        for (j, model) in organisation.models.iter().enumerate() {
            if document.model(model).is_none() {
                let message = format!(
                    "model {model:?} granted to {:?} does not exist in models",
                    organisation.name
                );
                c.report(&format!("{at}/models/{j}"), message, "declare the model or drop it");
            }
        }
        for (j, service) in organisation.services.iter().enumerate() {
            if document.service(service).is_none() {
                let message = format!(
                    "service {service:?} granted to {:?} does not exist in services",
                    organisation.name
                );
                c.report(&format!("{at}/services/{j}"), message, "declare the service or drop it");
            }
        }
        for (j, key) in organisation.keys.iter().enumerate() {
            match digests.binary_search(&key.sha256.as_str()) {
                Ok(_) => {
                    let message = format!("a key of {:?} is declared twice", organisation.name);
                    c.report(
                        &format!("{at}/keys/{j}"),
                        message,
                        "give each organisation its own keys",
                    );
                }
                Err(slot) => digests.insert(slot, &key.sha256),
            }
        }
    }
}

fn check_settings(tree: &Node, settings: &Settings) -> Vec<Problem> {
    let mut checker = Checker { tree, problems: Vec::new() };
    let c = &mut checker;
    c.check_address("/listen", &settings.listen);
    c.check_address("/peer", &settings.peer);
    c.check_address("/ops", &settings.ops);
    for (i, peer) in settings.peers.iter().enumerate() {
        c.check_address(&format!("/peers/{i}"), peer);
    }
    if let Some(platform) = &settings.platform {
        c.check_address("/platform/table", &platform.table);
        c.check_address("/platform/objects", &platform.objects);
        c.check_address("/platform/instances", &platform.instances);
        if let Some(weights) = &platform.weights {
            c.check_address("/platform/weights", weights);
        }
    }
    if let Some(otlp) = &settings.telemetry.otlp {
        c.check_address("/telemetry/otlp", otlp);
    }
    let levels = ["error", "warn", "info", "debug", "trace"];
    if !levels.contains(&settings.telemetry.level.as_str()) {
        let message = format!("log level {:?} does not exist", settings.telemetry.level);
        c.report("/telemetry/level", message, "use error, warn, info, debug or trace");
    }
    if settings.platform.is_none() && settings.document.is_none() {
        let message = "neither platform nor document is set".to_owned();
        c.report("", message, "set the platform's services or a document file");
    }
    checker.problems
}
