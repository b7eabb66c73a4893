//! `load`: measures policies under load.

use std::path::PathBuf;

use bpaf::Bpaf;
use load::compare::{self, Row};
use load::real;
use load::report;
use load::variant::Variant;
use load::workload::Shape;

/// Measures policies on the same arrivals.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs the policy over the model in virtual time; no real processes.
    #[bpaf(command)]
    Model {
        #[bpaf(external)]
        experiment: Experiment,
    },
    /// Runs the policies over real entry and sidecar processes, interleaved.
    #[bpaf(command)]
    Processes {
        /// The shipped binary; by default the one next to this
        #[bpaf(argument("FILE"))]
        binary: Option<PathBuf>,
        /// Leaves out the runs without slowed endpoints and without stragglers
        full_only: bool,
        #[bpaf(external)]
        experiment: Experiment,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Experiment {
    /// Shape of the deployment: meche or pindan
    #[bpaf(argument::<String>("NAME"), parse(shape), fallback(Shape::meche()))]
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
    /// File for the results as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// File for a chart
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
    /// Policies as PRESET[,KEY=VALUE...]; the baselines come first
    #[bpaf(positional("POLICY"), many)]
    variants: Vec<Variant>,
}

fn shape(name: String) -> Result<Shape, String> {
    match name.as_str() {
        "meche" => Ok(Shape::meche()),
        "pindan" => Ok(Shape::pindan()),
        _ => Err(format!("{name} is no shape: meche, pindan")),
    }
}

impl Experiment {
    fn scaled_shape(&self) -> Shape {
        self.shape.clone().with_demand(self.demand)
    }

    fn seeds(&self) -> Vec<u64> {
        (self.first_seed..self.first_seed + self.seeds).collect()
    }

    fn show(&self, title: &str, rows: &[Row]) -> std::io::Result<()> {
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
            let samples = compare::by_model(shape, &experiment.variants, &seeds);
            let rows = compare::rows(&experiment.variants, &samples);
            let title = format!(
                "Model in virtual time, shape {}, demand {}, seeds {seeds:?}",
                shape.name, experiment.demand
            );
            experiment.show(&title, &rows)?;
        }
        Command::Processes {
            binary,
            full_only,
            experiment,
        } => {
            let (shape, seeds) = (&experiment.scaled_shape(), experiment.seeds());
            let own = std::env::current_exe()?;
            let binary = binary.unwrap_or_else(|| own.with_file_name("balsamhold"));
            let variants = &experiment.variants;
            let samples = compare::by_processes(&binary, shape, variants, &seeds, full_only)?;
            let rows = compare::rows(variants, &samples);
            let title = format!(
                "Real processes, shape {}, demand {}, seeds {seeds:?}",
                shape.name, experiment.demand
            );
            experiment.show(&title, &rows)?;
        }
    }
    Ok(())
}
