//! Cases of the experiment. Each builds a load for the organisations and models of a document.

use agateroute_config::Document;

use crate::spec::{Flow, LoadSpec, Payload, Targets};

/// Case of the experiment. Its names on the command line are in [`Case::parse`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Load at 80 percent of the capacity.
    Steady,
    /// Three times the deferrable work.
    DeferrableFlood,
    /// Urgent work of three times the capacity.
    UrgentFlood,
    /// Ten times the deferrable work of the last two organisations, which are small.
    GreedyOrganisations,
}

const DEFERRABLE_PROMPT_TOKENS: usize = 300;
const URGENT_PROMPT_TOKENS: usize = 150;
const MAX_URGENT_TOKENS: u64 = 100;
/// Share of the generations that are urgent in [`Case::Steady`].
const URGENT_SHARE: f64 = 0.25;
/// Rate of plain calls of all organisations together.
const CALLS_PER_SECOND: f64 = 30.0;
/// Rate of plain calls in [`Case::UrgentFlood`] if the document declares no urgent generations.
const FLOOD_CALLS_PER_SECOND: f64 = 1_200.0;

impl Case {
    /// Returns the case with a name, if there is one.
    pub fn parse(name: &str) -> Option<Case> {
        match name {
            "steady" => Some(Case::Steady),
            "deferrable-flood" => Some(Case::DeferrableFlood),
            "urgent-flood" => Some(Case::UrgentFlood),
            "greedy-organisations" => Some(Case::GreedyOrganisations),
            _ => None,
        }
    }

    /// Returns the factors on the deferrable and the urgent rate of the organisation at an index.
    fn load_factors(self, position: usize, organisations: usize) -> (f64, f64) {
        match self {
            Case::Steady => (1.0, 1.0),
            Case::DeferrableFlood => (3.0, 1.0),
            Case::UrgentFlood => (1.0, 34.0),
            Case::GreedyOrganisations if position + 2 >= organisations => (10.0, 1.0),
            Case::GreedyOrganisations => (1.0, 1.0),
        }
    }

    /// Returns the load of this case. `rate` is the number of generations per second that use 80
    /// percent of the capacity.
    pub fn spec(self, document: &Document, rate: f64, seconds: f64, seed: u64) -> LoadSpec {
        let total_share: f64 = document.organisations.iter().map(|m| f64::from(m.share)).sum();
        let count = document.organisations.len();
        let urgent_generations = document
            .models
            .iter()
            .flat_map(|m| &m.kinds)
            .any(|k| document.rank_index(&k.rank) == Some(0));
        let mut flows = Vec::new();
        for (i, organisation) in document.organisations.iter().enumerate() {
            let share = f64::from(organisation.share) / total_share;
            let (deferrable, urgent) = self.load_factors(i, count);
            let base = Flow {
                organisation: organisation.name.clone(),
                key: format!("{}-key", organisation.name),
                kind: String::new(),
                rank: String::new(),
                rate: 0.0,
                from: 0.0,
                until: 0.0,
                pinned: false,
                payload: Payload::Generation {
                    model: String::new(),
                    prompt: 0,
                    max_tokens: 0,
                    mark: String::new(),
                },
                targets: Targets { first_token_ms: 0, between_tokens_ms: 0, answer_ms: 0 },
            };
            let deferrable_rate = rate * share * (1.0 - URGENT_SHARE) * deferrable;
            let urgent_rate = rate * share * URGENT_SHARE * urgent;
            flows.extend(generation_flow(document, &base, false, deferrable_rate));
            flows.extend(generation_flow(document, &base, true, urgent_rate));
            let calls = if self == Case::UrgentFlood && !urgent_generations {
                FLOOD_CALLS_PER_SECOND
            } else {
                CALLS_PER_SECOND
            };
            flows.extend(call_flow(document, &base, calls * share));
        }
        LoadSpec { seed, seconds, flows }
    }
}

fn rank_targets(document: &Document, rank: usize) -> Targets {
    let rank = &document.ranks[rank];
    Targets {
        first_token_ms: rank.first_token_ms,
        between_tokens_ms: rank.between_tokens_ms,
        answer_ms: rank.answer_ms,
    }
}

/// Returns the flow of an organisation's urgent or deferrable generations, if the document declares
/// such a kind.
fn generation_flow(document: &Document, base: &Flow, urgent: bool, rate: f64) -> Option<Flow> {
    let found = document.models.iter().flat_map(|m| m.kinds.iter().map(move |k| (m, k)));
    let mut kinds = found.filter_map(|(m, k)| Some((m, k, document.rank_index(&k.rank)?)));
    let (model, kind, rank) = kinds.find(|(_, _, rank)| (*rank == 0) == urgent)?;
    let (prompt, max_tokens) = if urgent {
        (URGENT_PROMPT_TOKENS, MAX_URGENT_TOKENS)
    } else {
        (DEFERRABLE_PROMPT_TOKENS, 0)
    };
    let mark = String::new();
    Some(Flow {
        kind: kind.name.clone(),
        rank: kind.rank.clone(),
        rate,
        payload: Payload::Generation { model: model.name.clone(), prompt, max_tokens, mark },
        targets: rank_targets(document, rank),
        ..base.clone()
    })
}

/// Returns the flow of an organisation's repeatable calls, if the document declares any.
fn call_flow(document: &Document, base: &Flow, rate: f64) -> Option<Flow> {
    let service = document.services.first()?;
    let call = service.calls.iter().find(|c| c.repeatable)?;
    let rank = document.rank_index(&call.rank)?;
    Some(Flow {
        kind: call.kind.clone(),
        rank: call.rank.clone(),
        rate,
        payload: Payload::Call {
            service: service.name.clone(),
            method: call.method.clone(),
            path: format!("{}/item", call.path),
            keyed: false,
        },
        targets: rank_targets(document, rank),
        ..base.clone()
    })
}
