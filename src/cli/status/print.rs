//! Prints the view as text.

use crate::cli::Output;
use crate::cli::output::Colour;
use crate::settings::value_type::format_power;

use super::{ClassView, FleetView, ModelView, ZoneView};

pub(super) fn print(view: &FleetView, out: &mut Output) {
    print_header(view, out);
    out.print_line(
        "\nCLASS            FIRST TOKEN p95/TARGET   POWER/TARGET        QUEUED  RUNNING",
    );
    for class in &view.classes {
        print_class(class, out);
    }
    out.print_line("\nZONE             STATE  HOSTS  READY  COLD  LOADING  LEAVING  DOWN");
    for zone in &view.zones {
        print_zone(zone, out);
    }
    out.print_line("\nMODEL            VERSION          READY/WANTED  HELD    TIME LEFT");
    for model in &view.models {
        print_model(model, out);
    }
    if !view.quarantine.is_empty() {
        out.print_line(
            "\nQUARANTINED REQUEST                                               CRASHES",
        );
    }
    for record in &view.quarantine {
        out.print_line(format!("{:<66}{}", record.fingerprint, record.crashes));
    }
}

fn print_header(view: &FleetView, out: &mut Output) {
    let progress = if view.lagging.is_empty() {
        out.colourize("in force everywhere", Colour::Green)
    } else {
        out.colourize(&format!("{} lagging", view.lagging.len()), Colour::Red)
    };
    out.print_line(format!("generation {}: {progress}", view.generation));
    for lag in &view.lagging {
        out.print_line(format!("  {lag}"));
    }
    if !view.store_answers {
        let text = out.colourize(
            "object API does not answer, or holds no targets",
            Colour::Red,
        );
        out.print_line(text);
    }
    let colour = if view.power_mw > view.power_cap_mw {
        Colour::Red
    } else {
        Colour::Green
    };
    let power = out.colourize(&format_power(view.power_mw), colour);
    out.print_line(format!(
        "power {power} of {}",
        format_power(view.power_cap_mw)
    ));
}

fn print_class(class: &ClassView, out: &mut Output) {
    let is_late = u64::from(class.first_token_p95_ms) > class.first_token_target_ms;
    let colour = if is_late { Colour::Red } else { Colour::Green };
    let times = format!(
        "{:>8} / {:<14}",
        format!("{} ms", class.first_token_p95_ms),
        format!("{} ms", class.first_token_target_ms)
    );
    let times = out.colourize(&times, colour);
    let power = format!(
        "{} / {}",
        format_power(class.power_mw),
        format_power(class.power_target_mw)
    );
    out.print_line(format!(
        "{:<16} {times} {power:<18} {:>7} {:>8}",
        class.class, class.queued, class.in_flight
    ));
}

fn print_zone(zone: &ZoneView, out: &mut Output) {
    let state = if zone.out {
        out.colourize("out  ", Colour::Yellow)
    } else {
        out.colourize("in   ", Colour::Green)
    };
    out.print_line(format!(
        "{:<16} {state} {:>6} {:>6} {:>5} {:>8} {:>8} {:>5}",
        zone.zone, zone.hosts, zone.ready, zone.cold, zone.loading, zone.leaving, zone.down
    ));
}

fn print_model(model: &ModelView, out: &mut Output) {
    let colour = if model.ready < model.wanted {
        Colour::Yellow
    } else {
        Colour::Green
    };
    let replicas = out.colourize(&format!("{:>5} / {:<5}", model.ready, model.wanted), colour);
    let left = model
        .time_left_s
        .map_or("unknown".to_owned(), |seconds| format!("{seconds} s"));
    out.print_line(format!(
        "{:<16} {:<16} {replicas} {:>4} %  {left}",
        model.model,
        model.version,
        model.progress_permille / 10
    ));
}
