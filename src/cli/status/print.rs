//! The view as text.

use crate::cli::Output;
use crate::cli::output::Colour;
use crate::settings::value_type::format_power;

use super::{ClassView, FleetView, ModelView, ZoneView};

pub(super) fn print(view: &FleetView, out: &mut Output) {
    head(view, out);
    out.line("\nCLASS            FIRST TOKEN p95/TARGET   POWER/TARGET        QUEUED  RUNNING");
    for class in &view.classes {
        class_line(class, out);
    }
    out.line("\nZONE             STATE  HOSTS  READY  COLD  LOADING  LEAVING  DOWN");
    for zone in &view.zones {
        zone_line(zone, out);
    }
    out.line("\nMODEL            VERSION          READY/WANTED  HELD    TIME LEFT");
    for model in &view.models {
        model_line(model, out);
    }
    if !view.quarantine.is_empty() {
        out.line("\nQUARANTINED REQUEST                                               CRASHES");
    }
    for entry in &view.quarantine {
        out.line(format!("{:<66}{}", entry.fingerprint, entry.crashes));
    }
}

fn head(view: &FleetView, out: &mut Output) {
    let spread = if view.lagging.is_empty() {
        out.paint("in force everywhere", Colour::Green)
    } else {
        out.paint(&format!("{} lagging", view.lagging.len()), Colour::Red)
    };
    out.line(format!("generation {}: {spread}", view.generation));
    for lag in &view.lagging {
        out.line(format!("  {lag}"));
    }
    if !view.store_answers {
        let text = out.paint(
            "object API does not answer, or holds no targets",
            Colour::Red,
        );
        out.line(text);
    }
    let colour = if view.power_mw > view.power_cap_mw {
        Colour::Red
    } else {
        Colour::Green
    };
    let power = out.paint(&format_power(view.power_mw), colour);
    out.line(format!(
        "power {power} of {}",
        format_power(view.power_cap_mw)
    ));
}

fn class_line(class: &ClassView, out: &mut Output) {
    let is_late = u64::from(class.first_token_p95_ms) > class.first_token_target_ms;
    let colour = if is_late { Colour::Red } else { Colour::Green };
    let times = format!(
        "{:>8} / {:<14}",
        format!("{} ms", class.first_token_p95_ms),
        format!("{} ms", class.first_token_target_ms)
    );
    let times = out.paint(&times, colour);
    let power = format!(
        "{} / {}",
        format_power(class.power_mw),
        format_power(class.power_target_mw)
    );
    out.line(format!(
        "{:<16} {times} {power:<18} {:>7} {:>8}",
        class.class, class.queued, class.in_flight
    ));
}

fn zone_line(zone: &ZoneView, out: &mut Output) {
    let state = if zone.out {
        out.paint("out  ", Colour::Yellow)
    } else {
        out.paint("in   ", Colour::Green)
    };
    out.line(format!(
        "{:<16} {state} {:>6} {:>6} {:>5} {:>8} {:>8} {:>5}",
        zone.zone, zone.hosts, zone.ready, zone.cold, zone.loading, zone.leaving, zone.down
    ));
}

fn model_line(model: &ModelView, out: &mut Output) {
    let colour = if model.ready < model.wanted {
        Colour::Yellow
    } else {
        Colour::Green
    };
    let replicas = out.paint(&format!("{:>5} / {:<5}", model.ready, model.wanted), colour);
    let left = model
        .time_left_s
        .map_or("unknown".to_owned(), |seconds| format!("{seconds} s"));
    out.line(format!(
        "{:<16} {:<16} {replicas} {:>4} %  {left}",
        model.model,
        model.version,
        model.progress_permille / 10
    ));
}
