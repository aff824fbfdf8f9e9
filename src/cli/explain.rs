//! `explain`: prints where a request would go now, and why.

use crate::clients;
use crate::codes::Code;
use crate::dispatch::{Candidate, ExplainQuery, Explanation, Outcome};

use super::args::ExplainArgs;
use super::{Exit, Failure, Output};

pub(super) async fn run(args: ExplainArgs, out: &mut Output) -> Result<Exit, Failure> {
    let query = ExplainQuery {
        host: args.host,
        path: args.path,
        customer: args.customer,
        model: args.model,
        prompt_tokens: args.prompt,
        answer_tokens: args.answer,
    };
    let explained = clients::explain(args.address, &query).await;
    let explanation = explained.map_err(|e| Failure::Unreachable {
        code: Code::ProcessUnreachable,
        detail: format!("{}: {e}", args.address),
    })?;
    match out.is_json() {
        true => out.print_json(&explanation),
        false => print(&explanation, out),
    }
    Ok(Exit::Done)
}

fn print(explanation: &Explanation, out: &mut Output) {
    out.print_line(outcome_text(&explanation.outcome));
    let known = |name: &Option<String>| name.clone().unwrap_or_else(|| "none".to_owned());
    let share = match explanation.zone_share {
        Some(share) => format!(", {:.0}% of its requests may leave the zone", share * 100.0),
        None => String::new(),
    };
    out.print_line(format!(
        "configuration {}, route {}, target {}, {} waiting{share}",
        explanation.configuration,
        known(&explanation.route),
        known(&explanation.target.as_deref().map(str::to_owned)),
        explanation.waiting,
    ));
    if explanation.candidates.is_empty() {
        return;
    }
    out.print_line(
        "\nENDPOINT          ZONE              THERE  START ms  NEWS ms  VERSION  LEFT OUT",
    );
    for candidate in &explanation.candidates {
        out.print_line(candidate_text(candidate));
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Sent { endpoint } => format!("sent to {endpoint}"),
        Outcome::Waits { longest_ms } => format!("waits for an endpoint, {longest_ms} ms at most"),
        Outcome::Refused {
            code,
            reason,
            retry_after_ms,
        } => {
            let returns = match retry_after_ms {
                Some(wait) => format!("may return after {wait} ms"),
                None => "is not told when to return".to_owned(),
            };
            format!("refused: {reason} ({code}); the caller {returns}")
        }
    }
}

fn candidate_text(candidate: &Candidate) -> String {
    let or_dash = |number: Option<u64>| number.map_or("-".to_owned(), |n| n.to_string());
    let line = format!(
        "{:<17} {:<17} {:>5} {:>9} {:>8} {:>8}  {}",
        candidate.endpoint,
        candidate.zone,
        candidate.in_system,
        candidate.predicted_ms,
        or_dash(candidate.load_age_ms),
        or_dash(candidate.version),
        candidate.excluded.as_deref().unwrap_or_default(),
    );
    line.trim_end().to_owned()
}
