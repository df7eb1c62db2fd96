//! Runs the experiment with the interference policy and prints what it measured.

use std::{error::Error, path::PathBuf};

use clap::{Parser, ValueEnum};
use hickorylink_standin::experiment::{
    Setup, User,
    outcome::{Figures, Outcome},
    plot, run,
    strategy::Strategy,
};

/// Runs the experiment with the interference policy and prints what it measured.
#[derive(Debug, Parser)]
struct Arguments {
    /// Whose sizes and objective.
    #[arg(long, value_enum, default_value_t = User::Kowhai)]
    user: User,
    /// Workers in all data centres together.
    #[arg(long, default_value_t = 48)]
    workers: usize,
    /// Seconds of the fake's time.
    #[arg(long, default_value_t = 3_600)]
    seconds: u64,
    /// Seconds at the start that count in no figure.
    #[arg(long, default_value_t = 300)]
    warmup: u64,
    /// Seeds.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 3, 4, 5])]
    seeds: Vec<u64>,
    /// Strategies; all if none is given.
    #[arg(long, value_enum, value_delimiter = ',')]
    strategies: Vec<Strategy>,
    /// Prints one JSON object a run instead of a table.
    #[arg(long)]
    json: bool,
    /// Writes a picture of the latencies of the first seed.
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
        println!("{setup:?}, seeds {:?}: median (least to most) of the seeds", arguments.seeds);
        println!("{HEAD}");
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

const HEAD: &str = "| strategy | p50 ms | p99 ms | p99.9 ms | p99 / good | not good, ‰ | batch done/h \
| evictions/h | throttles/h | queue |\n|---|---|---|---|---|---|---|---|---|---|";

/// What a column shows, with how many digits.
type Column = (fn(&Figures) -> f64, usize);

fn print_row(strategy: Strategy, outcomes: &[Outcome]) {
    let figures: Vec<_> = outcomes.iter().map(Outcome::figures).collect();
    let columns: [Column; 9] = [
        (|figures| figures.p50, 1),
        (|figures| figures.p99, 1),
        (|figures| figures.p999, 1),
        (|figures| figures.p99_ratio, 2),
        (|figures| figures.bad_permille, 1),
        (|figures| figures.hourly_done, 0),
        (|figures| figures.hourly_evictions, 0),
        (|figures| figures.hourly_throttles, 0),
        (|figures| figures.mean_queue, 1),
    ];
    print!("| {strategy:?} |");
    for (column, digits) in columns {
        let mut values: Vec<_> = figures.iter().map(column).collect();
        values.sort_by(f64::total_cmp);
        let (least, most) = (values[0], values[values.len() - 1]);
        let median = values[values.len() / 2];
        print!(" {median:.digits$} ({least:.digits$} to {most:.digits$}) |");
    }
    println!();
}

fn print_json(outcome: &Outcome) -> Result<(), serde_json::Error> {
    let line = serde_json::json!({
        "strategy": outcome.strategy,
        "seed": outcome.seed,
        "figures": outcome.figures(),
        "unfinished": outcome.unfinished,
        "samples": outcome.counters,
    });
    println!("{}", serde_json::to_string(&line)?);
    Ok(())
}
