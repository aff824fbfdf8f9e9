//! `status`: the system at a glance.

mod print;
mod view;

use std::time::{Duration, Instant};

use super::args::StatusArgs;
use super::{Exit, Failure, Operator, Output, operator};

pub use view::{ClassView, FleetView, ModelView, ZoneView};

/// Time between two looks.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

pub(super) async fn run(args: &StatusArgs, out: &mut Output) -> Result<Exit, Failure> {
    let operator = operator(&args.settings)?;
    let mut view = look(&operator).await?;
    if !args.watch && view.is_moving() {
        view = look_again(&operator, view).await?;
    }
    show(&view, out);
    if args.watch {
        loop {
            view = look_again(&operator, view).await?;
            out.clear();
            show(&view, out);
        }
    }
    Ok(if view.is_as_declared() {
        Exit::Done
    } else {
        Exit::NotInForce
    })
}

/// Looks twice, so that the time left can be told from the progress between.
async fn look_again(operator: &Operator, earlier: FleetView) -> Result<FleetView, Failure> {
    let start = Instant::now();
    tokio::time::sleep(WATCH_PERIOD).await;
    let view = look(operator).await?;
    Ok(view.with_time_left(&earlier, start.elapsed()))
}

async fn look(operator: &Operator) -> Result<FleetView, Failure> {
    let hosts = operator.hosts().await?;
    let statuses = operator.statuses(&hosts).await;
    let current = operator.current_once().await;
    Ok(FleetView::new(current.as_ref(), &hosts, &statuses))
}

fn show(view: &FleetView, out: &mut Output) {
    out.value(view);
    if !out.is_json() {
        print::print(view, out);
    }
}
