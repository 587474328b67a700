//! Renders the HTML report of measured drains: a table, and a plot of each team's availability against its budget.

use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;

use super::measure::Measurement;

const SIZE: (u32, u32) = (760, 260);

/// Renders the report page.
pub fn render(measurements: &[Measurement]) -> String {
    let seconds = |time: std::time::Duration| format!("{:.1}", time.as_secs_f64());
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Drains, measured (simulated)" }
                style { "body{font-family:sans-serif;max-width:60em;margin:2em auto} td,th{padding:.2em .7em;text-align:right} th:first-child,td:first-child{text-align:left}" }
            }
            body {
                h1 { "Drains, measured" }
                p {
                    "Simulated fleets with three controllers and two teams, each with 2,000 replicas of long-running services. Each team may have 5% of its tasks disrupted, and a drain empties 10% of its machines at a time. "
                    "Least: the rounds that the budget requires, times the median time that a moved replica is down. "
                    "Changes and machine hours are in addition to those of the same run without a drain."
                }
                table {
                    tr {
                        th { "drain" } th { "fleet" } th { "machines" } th { "took, s" } th { "least, s" }
                        th { "evictions" } th { "down, median s" } th { "most down" } th { "allowed" }
                        th { "changes for each machine" } th { "machine hours" }
                    }
                    @for measurement in measurements {
                        tr {
                            td { (measurement.name) }
                            td { (measurement.fleet_machines) }
                            td { (measurement.drained_machines) }
                            td { (measurement.duration.map_or("not done".to_owned(), seconds)) }
                            td { (seconds(measurement.min_duration)) }
                            td { (measurement.evictions) }
                            td { (seconds(measurement.median_down)) }
                            td { (measurement.max_tasks_down) }
                            td { (measurement.allowed_down) }
                            td { (format!("{:+.1}", measurement.extra_changes / measurement.drained_machines.max(1) as f64)) }
                            td { (format!("{:+.1}", measurement.extra_machine_hours)) }
                        }
                    }
                }
                @for measurement in measurements {
                    h2 { (measurement.name) }
                    (PreEscaped(plot(measurement)))
                }
            }
        }
    };
    page.into_string()
}

/// Plots the share of running replicas of each team, and the least share that the budget allows.
fn plot(measurement: &Measurement) -> String {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let end = measurement.availability.last().map_or(1.0, |(at, _)| *at);
        let lowest = measurement
            .availability
            .iter()
            .flat_map(|(_, shares)| shares)
            .fold(0.94_f64, |lowest, share| lowest.min(*share));
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, lowest..1.0)
            .expect("the chart can be built");
        chart
            .configure_mesh()
            .x_desc("seconds since the drain was requested")
            .y_desc("replicas running")
            .draw()
            .expect("the axes can be drawn");
        for (team, color) in [RED, BLUE].iter().enumerate() {
            let points = measurement
                .availability
                .iter()
                .map(|(at, shares)| (*at, shares[team]));
            chart
                .draw_series(LineSeries::new(points, color))
                .expect("the line can be drawn");
        }
        let budget_line = [(0.0, 0.95), (end, 0.95)];
        chart
            .draw_series(LineSeries::new(budget_line, &BLACK))
            .expect("the line can be drawn");
        area.present().expect("the plot can be drawn");
    }
    svg
}
