//! `status`: shows the state of the system.

mod print;
mod view;

use std::time::{Duration, Instant};

use super::args::StatusArgs;
use super::{Exit, Failure, OperatorClients, Output, operator_clients};

pub use view::{ClassView, FleetView, ModelView, ZoneView};

/// Interval between two views, which is also the time over which progress is measured.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn run(args: &StatusArgs, out: &mut Output) -> Result<Exit, Failure> {
    let clients = operator_clients(&args.settings)?;
    let mut view = fetch_view(&clients).await?;
    if !args.watch && view.is_rolling_out() {
        view = fetch_next_view(&clients, view).await?;
    }
    print_view(&view, out);
    if args.watch {
        loop {
            view = fetch_next_view(&clients, view).await?;
            out.clear_terminal();
            print_view(&view, out);
        }
    }
    Ok(if view.matches_targets() {
        Exit::Done
    } else {
        Exit::NotInForce
    })
}

/// Fetches a view after [`REFRESH_INTERVAL`] and estimates the time left from the progress since
/// `earlier`.
async fn fetch_next_view(
    clients: &OperatorClients,
    earlier: FleetView,
) -> Result<FleetView, Failure> {
    let start = Instant::now();
    tokio::time::sleep(REFRESH_INTERVAL).await;
    let view = fetch_view(clients).await?;
    Ok(view.with_time_left(&earlier, start.elapsed()))
}

async fn fetch_view(clients: &OperatorClients) -> Result<FleetView, Failure> {
    let hosts = clients.hosts().await?;
    let statuses = clients.entry_statuses(&hosts).await;
    let current = clients.current_config_once().await;
    Ok(FleetView::new(current.as_ref(), &hosts, &statuses))
}

fn print_view(view: &FleetView, out: &mut Output) {
    out.print_json(view);
    if !out.is_json() {
        print::print(view, out);
    }
}
