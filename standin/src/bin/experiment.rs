//! Command line of the experiment with placement strategies.

use std::{error::Error, path::PathBuf};

use clap::{Parser, ValueEnum};
use hickorylink_standin::experiment::{
    Setup, User,
    outcome::{Outcome, Summary},
    plot, run,
    strategy::Strategy,
};

/// Simulate placement strategies under interference and print their measurements
#[derive(Debug, Parser)]
struct Arguments {
    /// User whose workers, services and objective are modelled
    #[arg(long, value_enum, default_value_t = User::Kowhai)]
    user: User,
    /// Total number of workers in all data centres
    #[arg(long, default_value_t = 48)]
    workers: usize,
    /// Simulated time, in seconds
    #[arg(long, default_value_t = 3_600)]
    seconds: u64,
    /// Warm-up time that the measurements exclude, in seconds
    #[arg(long, default_value_t = 300)]
    warmup: u64,
    /// Seeds of the runs, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3, 4, 5])]
    seeds: Vec<u64>,
    /// Strategies to run, separated by commas; all by default
    #[arg(long, value_enum, value_delimiter = ',')]
    strategies: Vec<Strategy>,
    /// Print one JSON object per run instead of a table
    #[arg(long)]
    json: bool,
    /// Write a plot of the latency distributions of the first seed to this SVG file
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    let Arguments { user, workers, seconds, warmup, .. } = arguments;
    let setup = Setup { user, workers, seconds, warmup };
    let strategies = match arguments.strategies.as_slice() {
        [] => Strategy::value_variants(),
        chosen => chosen,
    };
    if !arguments.json {
        println!(
            "{setup:?}, seeds {:?}: median (minimum to maximum) of the seeds",
            arguments.seeds
        );
        println!("{TABLE_HEADER}");
    }
    let mut first = Vec::new();
    for strategy in strategies {
        let outcomes: Vec<_> =
            arguments.seeds.iter().map(|seed| run(&setup, *strategy, *seed)).collect();
        if arguments.json {
            outcomes.iter().try_for_each(print_json)?;
        } else {
            print_row(*strategy, &outcomes);
        }
        first.extend(outcomes.into_iter().next());
    }
    if let Some(path) = &arguments.svg {
        plot::write_svg(path, format!("{user:?}, {workers} workers"), &first)?;
    }
    Ok(())
}

const TABLE_HEADER: &str = "| strategy | p50 ms | p99 ms | p99.9 ms | p99 / objective | \
missed objective, ‰ | batch done/h | evictions/h | throttles/h | queue |\n\
|---|---|---|---|---|---|---|---|---|---|";

/// The value of a column and its number of decimal places.
type Column = (fn(&Summary) -> f64, usize);

fn print_row(strategy: Strategy, outcomes: &[Outcome]) {
    let summaries: Vec<_> = outcomes.iter().map(Outcome::summary).collect();
    let columns: [Column; 9] = [
        (|summary| summary.p50, 1),
        (|summary| summary.p99, 1),
        (|summary| summary.p999, 1),
        (|summary| summary.p99_ratio, 2),
        (|summary| summary.bad_permille, 1),
        (|summary| summary.hourly_done, 0),
        (|summary| summary.hourly_evictions, 0),
        (|summary| summary.hourly_throttles, 0),
        (|summary| summary.mean_queue, 1),
    ];
    print!("| {strategy:?} |");
    for (column, digits) in columns {
        let mut values: Vec<_> = summaries.iter().map(column).collect();
        values.sort_by(f64::total_cmp);
        let (min, max) = (values[0], values[values.len() - 1]);
        let median = values[values.len() / 2];
        print!(" {median:.digits$} ({min:.digits$} to {max:.digits$}) |");
    }
    println!();
}

fn print_json(outcome: &Outcome) -> Result<(), serde_json::Error> {
    let line = serde_json::json!({
        "strategy": outcome.strategy,
        "seed": outcome.seed,
        "figures": outcome.summary(),
        "unfinished": outcome.unfinished,
        "samples": outcome.counters,
    });
    println!("{}", serde_json::to_string(&line)?);
    Ok(())
}
