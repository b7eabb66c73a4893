//! Command line of the load tool: runs an experiment and writes its results.

use std::path::PathBuf;

use bpaf::Bpaf;
use load::compare::{self, Row};
use load::real;
use load::report;
use load::variant::Variant;
use load::workload::Shape;

/// Compares policies on the same arrivals of programs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs the policies over a model in virtual time, without real processes.
    #[bpaf(command)]
    Model {
        #[bpaf(external)]
        experiment: Experiment,
    },
    /// Runs the policies over real entry and sidecar processes, all policies in turn for each seed.
    #[bpaf(command)]
    Processes {
        /// Binary to run; by default `balsamhold` in the directory of this one
        #[bpaf(argument("FILE"))]
        binary: Option<PathBuf>,
        /// Skips the runs without slow endpoints, with and without stragglers
        full_only: bool,
        #[bpaf(external)]
        experiment: Experiment,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Experiment {
    /// Shape of the deployment: meche or pindan
    #[bpaf(argument::<String>("NAME"), parse(parse_shape), fallback(Shape::meche()))]
    shape: Shape,
    /// Factor by which the shape's demand is scaled
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    demand: f64,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(5))]
    seeds: u64,
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    first_seed: u64,
    /// File to write the results to, as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// File to write a chart to, as SVG
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
    /// Policies as PRESET[,KEY=VALUE...]; presets: default and the baselines round-robin and
    /// least-outstanding
    #[bpaf(positional("POLICY"), many)]
    variants: Vec<Variant>,
}

fn parse_shape(name: String) -> Result<Shape, String> {
    match name.as_str() {
        "meche" => Ok(Shape::meche()),
        "pindan" => Ok(Shape::pindan()),
        _ => Err(format!("unknown shape {name}: use meche or pindan")),
    }
}

impl Experiment {
    fn scaled_shape(&self) -> Shape {
        self.shape.clone().with_demand(self.demand)
    }

    fn seeds(&self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.seeds).collect()
    }

    fn write_results(&self, title: &str, rows: &[Row]) -> std::io::Result<()> {
        println!("{title}\n\n{}", report::table(rows));
        if let Some(file) = &self.json {
            std::fs::write(file, serde_json::to_string_pretty(rows)?)?;
        }
        if let Some(file) = &self.svg {
            std::fs::write(file, report::svg(title, rows))?;
        }
        Ok(())
    }
}

fn main() -> Result<(), real::Error> {
    match command().run() {
        Command::Model { experiment } => {
            let (shape, seeds) = (&experiment.scaled_shape(), experiment.seeds());
            let samples = compare::run_model(shape, &experiment.variants, &seeds);
            let rows = compare::rows(&experiment.variants, &samples);
            let title = format!(
                "Model in virtual time, shape {}, demand {}, seeds {seeds:?}",
                shape.name, experiment.demand
            );
            experiment.write_results(&title, &rows)?;
        }
        Command::Processes {
            binary,
            full_only,
            experiment,
        } => {
            let (shape, seeds) = (&experiment.scaled_shape(), experiment.seeds());
            let own_path = std::env::current_exe()?;
            let binary = binary.unwrap_or_else(|| own_path.with_file_name("balsamhold"));
            let variants = &experiment.variants;
            let samples = compare::run_processes(&binary, shape, variants, &seeds, full_only)?;
            let rows = compare::rows(variants, &samples);
            let title = format!(
                "Real processes, shape {}, demand {}, seeds {seeds:?}",
                shape.name, experiment.demand
            );
            experiment.write_results(&title, &rows)?;
        }
    }
    Ok(())
}
