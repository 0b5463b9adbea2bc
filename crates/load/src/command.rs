use super::*;
use std::{io::IsTerminal, str::FromStr};

/// Text of `catkin-load help`.
const HELP: &str = "\
Usage: catkin-load COMMAND

  list                                      list the scenarios
  run SCENARIO [FLAGS]                      run one; exit code 1 if an invariant is broken
  compare A B SCENARIO [FLAGS]              run it alternately with router flags A and B
  bench relay [FLAGS]                       measure CPU and memory of a router that relays streams
  help                                      print this text

`catkin-load COMMAND --help` lists the flags of a command.
";

/// Text of `catkin-load run --help`.
const RUN_HELP: &str = "\
Usage: catkin-load run SCENARIO [FLAGS]

  --seed N         seed of the random number generator [1]
  --size SIZE      small, cobalt or thistlegate [small]
  --seconds N      time for which calls arrive [the scenario's own]
  --router-flags F extra flags of the routers, separated by commas
  --routers N      number of routers in `racing-operators` [1]
  --json           print only the report, as one line of JSON
";

/// Text of `catkin-load compare --help`.
const COMPARE_HELP: &str = "\
Usage: catkin-load compare A B SCENARIO [FLAGS]

  --rounds N       runs with each set of flags [3]
  --seed N         seed of the first round [1]
  --size SIZE      small, cobalt or thistlegate [small]
  --seconds N      time for which calls arrive [the scenario's own]
  --json           print only the comparison, as one line of JSON
";

/// Text of `catkin-load bench --help`.
const BENCH_HELP: &str = "\
Usage: catkin-load bench relay [FLAGS]

  --streams N      open streams [500]
  --routers N      routers, connected as peers [1]
  --seconds N      length of the measurement [5]
";

/// Scenario name of [`racing_operators()`], which makes no caller requests.
const RACING_OPERATORS: &str = "racing-operators";

/// Number of concurrent roll-out pairs in a run of [`racing_operators()`].
const RACE_COUNT: u64 = 20;

/// Runs `catkin-load` with the given arguments, which exclude the program name.
#[must_use]
pub fn run_command(args: Vec<OsString>) -> ExitCode {
    match command(args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(2)
        }
    }
}

fn command(args: Vec<OsString>) -> Result<ExitCode, LoadError> {
    let mut args = args.into_iter();
    let first = args.next().unwrap_or_default();
    match first.to_str() {
        Some("process") => {
            let role = args.next().and_then(|role| role.to_str()?.parse().ok());
            let role: Role = role.ok_or(LoadError::UnknownCommand)?;
            Ok(run_process(role, args.collect()))
        }
        Some("list") => {
            for scenario in SCENARIOS {
                println!("{:28} {}", scenario.name, scenario.description);
            }
            for scenario in QUICK_SCENARIOS {
                println!("{:28} {}", scenario.name, scenario.description);
            }
            println!(
                "{RACING_OPERATORS:28} two operators roll out concurrently while responses are lost"
            );
            Ok(ExitCode::SUCCESS)
        }
        Some("run") => run_with_flags(args, RUN_HELP, run),
        Some("bench") => run_with_flags(args, BENCH_HELP, bench),
        Some("compare") => run_with_flags(args, COMPARE_HELP, compare),
        Some("help" | "--help") => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(LoadError::UnknownCommand),
    }
}

/// Parses the flags and runs the command, or prints its help if `--help` is among them.
fn run_with_flags(
    args: impl Iterator<Item = OsString>,
    help: &str,
    run: fn(&Flags) -> Result<ExitCode, LoadError>,
) -> Result<ExitCode, LoadError> {
    let flags = Flags::parse(args)?;
    if flags.help {
        print!("{help}");
        return Ok(ExitCode::SUCCESS);
    }
    run(&flags)
}

/// Flags and operands that follow the command name.
struct Flags {
    operands: Vec<String>,
    settings: RunSettings,
    relay: RelaySettings,
    rounds: usize,
    json: bool,
    help: bool,
}

impl Flags {
    fn parse(args: impl Iterator<Item = OsString>) -> Result<Self, LoadError> {
        let mut flags = Self {
            operands: Vec::new(),
            settings: RunSettings::default(),
            relay: RelaySettings::default(),
            rounds: 3,
            json: false,
            help: false,
        };
        let mut parser = lexopt::Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            let settings = &mut flags.settings;
            match arg {
                lexopt::Arg::Value(operand) => {
                    flags.operands.push(operand.to_string_lossy().into_owned());
                }
                lexopt::Arg::Long("json") => flags.json = true,
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => flags.help = true,
                lexopt::Arg::Long("seed") => settings.seed = value("seed", &mut parser)?,
                lexopt::Arg::Long("size") => settings.size = value("size", &mut parser)?,
                lexopt::Arg::Long("rounds") => flags.rounds = value("rounds", &mut parser)?,
                lexopt::Arg::Long("seconds") => {
                    let seconds: f64 = value("seconds", &mut parser)?;
                    settings.arrival_window = Duration::try_from_secs_f64(seconds).ok();
                    flags.relay.window = settings.arrival_window.unwrap_or(flags.relay.window);
                }
                lexopt::Arg::Long("streams") => {
                    flags.relay.streams = value("streams", &mut parser)?;
                }
                lexopt::Arg::Long("routers") => {
                    flags.relay.routers = value("routers", &mut parser)?;
                }
                lexopt::Arg::Long("router-flags") => {
                    let text: String = value("router-flags", &mut parser)?;
                    settings.router_flags = split_flags(&text);
                }
                _ => return Err(arg.unexpected().into()),
            }
        }
        Ok(flags)
    }

    fn operand(&self, i: usize) -> Result<&str, LoadError> {
        let operand = self.operands.get(i).map(String::as_str);
        operand.ok_or(LoadError::UnknownCommand)
    }
}

fn value<T: FromStr>(flag: &'static str, parser: &mut lexopt::Parser) -> Result<T, LoadError> {
    let value = parser.value()?.to_string_lossy().into_owned();
    value.parse().map_err(|_| LoadError::Value { flag, value })
}

fn split_flags(text: &str) -> Vec<String> {
    let flags = text.split(',').filter(|flag| !flag.is_empty());
    flags.map(str::to_owned).collect()
}

#[tokio::main]
async fn run(flags: &Flags) -> Result<ExitCode, LoadError> {
    if flags.operand(0)? == RACING_OPERATORS {
        return run_racing_operators(flags).await;
    }
    if let Some(scenario) = QuickScenario::find(flags.operand(0)?) {
        let program = std::env::current_exe()?;
        let report = run_quick(&program, &scenario, &flags.settings).await?;
        return Ok(print_verdict(&report, &report.violations, flags.json));
    }
    let scenario = Scenario::find(flags.operand(0)?)?;
    let report = run_with_progress_bar(&scenario, flags, &flags.settings).await?;
    Ok(print_verdict(&report, &report.violations, flags.json))
}

fn print_verdict(report: &impl Serialize, violations: &[String], json: bool) -> ExitCode {
    if !json {
        for violation in violations {
            println!("violation: {violation}");
        }
    }
    println!("{}", to_json(report));
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_racing_operators(flags: &Flags) -> Result<ExitCode, LoadError> {
    let settings = OperatorsSettings {
        seed: flags.settings.seed,
        routers: flags.relay.routers,
        races: RACE_COUNT,
    };
    let program = std::env::current_exe()?;
    let report = racing_operators(&program, &settings).await?;
    Ok(print_verdict(&report, &report.violations, flags.json))
}

async fn run_with_progress_bar(
    scenario: &Scenario,
    flags: &Flags,
    settings: &RunSettings,
) -> Result<Report, LoadError> {
    let interactive = !flags.json && std::io::stderr().is_terminal();
    let bar = if interactive {
        indicatif::ProgressBar::new(0)
    } else {
        indicatif::ProgressBar::hidden()
    };
    let program = std::env::current_exe()?;
    let report = run_scenario(&program, scenario, settings, |done, count| {
        bar.set_length(count.try_into().unwrap_or_default());
        bar.set_position(done.try_into().unwrap_or_default());
    });
    let report = report.await;
    bar.finish_and_clear();
    report
}

/// Runs a scenario alternately with two sets of router flags and prints each metric as a ratio.
#[tokio::main]
async fn compare(flags: &Flags) -> Result<ExitCode, LoadError> {
    let scenario = Scenario::find(flags.operand(2)?)?;
    let mut reports_by_side = [Vec::new(), Vec::new()];
    for round in 0..flags.rounds {
        for (side, reports) in reports_by_side.iter_mut().enumerate() {
            let settings = RunSettings {
                seed: flags.settings.seed + u64::try_from(round).unwrap_or_default(),
                router_flags: split_flags(flags.operand(side)?),
                ..flags.settings.clone()
            };
            reports.push(run_with_progress_bar(&scenario, flags, &settings).await?);
        }
    }
    let comparison = Comparison::of(&scenario, &reports_by_side[0], &reports_by_side[1]);
    println!("{}", to_json(&comparison));
    Ok(ExitCode::SUCCESS)
}

#[tokio::main]
async fn bench(flags: &Flags) -> Result<ExitCode, LoadError> {
    if flags.operand(0)? != "relay" {
        return Err(LoadError::UnknownCommand);
    }
    let program = std::env::current_exe()?;
    println!("{}", to_json(&bench_relay(&program, &flags.relay).await?));
    Ok(ExitCode::SUCCESS)
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("reports serialize with string keys only")
}
