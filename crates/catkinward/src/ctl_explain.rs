//! `catkinctl explain`: reconstructs the outcome of a request and its cause from the logs of one or
//! more processes.

use super::*;
use serde_json::Value;

/// Lines about a request's upstreams and processes are shown from this long before its first line
/// until this long after its last one.
const CONTEXT_WINDOW: Duration = Duration::from_secs(2);

/// A parsed log line.
struct LogLine {
    /// Wall-clock time of the process, in microseconds since the Unix epoch.
    micros: u64,
    /// Stem of the name of the log file.
    file: Arc<str>,
    fields: Value,
}

/// Reads the log files and explains the outcome of a request.
pub(crate) fn run(request: Option<&RequestId>, files: &[PathBuf]) -> Result<String> {
    let request = request.ok_or(Error::CtlRequestAbsent)?;
    let mut lines = Vec::new();
    let mut unparsed = 0;
    for path in files {
        unparsed += read_log(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.micros);
    let mut text = explain(request.as_str(), &lines);
    if unparsed > 0 {
        let notice = format!("{unparsed} lines are not JSON with a timestamp and were skipped\n");
        text.push_str(&notice);
    }
    Ok(text)
}

/// Appends the lines of a log file and returns the number of lines that cannot be parsed.
fn read_log(path: &std::path::Path, lines: &mut Vec<LogLine>) -> Result<usize> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    let file: Arc<str> = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into();
    let mut unparsed = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse_line(line, &file) {
            Some(line) => lines.push(line),
            None => unparsed += 1,
        }
    }
    Ok(unparsed)
}

fn parse_line(line: &str, file: &Arc<str>) -> Option<LogLine> {
    // A log collector may prepend a prefix to the line.
    let json = &line[line.find('{')?..];
    let fields: Value = serde_json::from_str(json).ok()?;
    let time = humantime::parse_rfc3339(fields["timestamp"].as_str()?).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some(LogLine {
        micros: u64::try_from(since.as_micros()).ok()?,
        file: file.clone(),
        fields,
    })
}

fn explain(request: &str, lines: &[LogLine]) -> String {
    let request_lines = lines
        .iter()
        .filter(|line| line.text("request") == request)
        .collect::<Vec<_>>();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return format!("no log line mentions the request {request}\n");
    };
    let context = u64::try_from(CONTEXT_WINDOW.as_micros()).unwrap_or(u64::MAX);
    let span = first.micros.saturating_sub(context)..=last.micros.saturating_add(context);
    let upstreams = request_lines
        .iter()
        .map(|line| line.text("upstream"))
        .collect::<Vec<_>>();
    let back_offs = back_offs_behind(&request_lines, lines);
    let bodies = request_lines
        .iter()
        .map(|line| line.text("body"))
        .collect::<Vec<_>>();
    let causes = request_lines
        .iter()
        .map(|line| line.text("cause"))
        .filter(|cause| !cause.is_empty())
        .collect::<Vec<_>>();
    let is_relevant = |line: &&LogLine| {
        let about_upstream = !line.text("upstream").is_empty()
            && line.text("request").is_empty()
            && upstreams.contains(&line.text("upstream"));
        let about_process =
            line.is_process_event() && request_lines.iter().any(|other| other.file == line.file);
        let about_body = !line.text("body").is_empty()
            && line.text("request").is_empty()
            && bodies.contains(&line.text("body"));
        // What is known of a part may be much older than the request.
        let about_cause = line.micros <= last.micros
            && ((line.text("request").is_empty() && causes.contains(&line.text("cause")))
                || causes.iter().any(|cause| line.lost_run_with(cause)));
        let about_back_off = back_offs.iter().any(|other| std::ptr::eq(*other, *line));
        line.text("request") == request
            || about_cause
            || about_back_off
            || (span.contains(&line.micros) && (about_upstream || about_body || about_process))
    };
    let mut text = String::new();
    for line in lines.iter().filter(is_relevant) {
        text.push_str(&line.format_line(first.micros));
    }
    let mut cause = cause(&request_lines, lines);
    if last.text("reason") == "back_off" {
        cause.extend(back_offs.iter().map(|line| line.format_back_off()));
    }
    text.extend(["cause: ", &cause, "\n"]);
    text
}

/// The lines about back-offs that were in force when the request was logged last, of the upstreams that were left out
/// of its choice or that it was sent to.
fn back_offs_behind<'a>(request_lines: &[&LogLine], all: &'a [LogLine]) -> Vec<&'a LogLine> {
    let Some(last) = request_lines.last() else {
        return Vec::new();
    };
    let left_out = request_lines
        .iter()
        .filter(|line| line.text("reason") == "back_off")
        .flat_map(|line| line.text("left_out").split(','));
    let sent_to = request_lines.iter().map(|line| line.text("upstream"));
    let upstreams = left_out.chain(sent_to).collect::<Vec<_>>();
    all.iter()
        .filter(|line| {
            let left = line.fields["left_ms"].as_u64().unwrap_or(0);
            let until = line.micros.saturating_add(left.saturating_mul(1000));
            line.message() == "back-off of an upstream"
                && line.file == last.file
                && (line.micros..until).contains(&last.micros)
                && upstreams.contains(&line.text("upstream"))
        })
        .collect()
}

/// Determines the cause of a request's outcome from its log lines, as text for the operator.
fn cause(request_lines: &[&LogLine], all: &[LogLine]) -> String {
    let last = request_lines
        .last()
        .expect("`explain` passes at least one line");
    let lost_runs = request_lines
        .iter()
        .filter(|line| line.message() == "run of a stream lost");
    let lost_runs = lost_runs.collect::<Vec<_>>();
    let loss = lost_runs.last().map_or_else(String::new, |line| {
        format!(
            "; the last of {} lost runs was on {} ({})",
            lost_runs.len(),
            line.text("upstream"),
            line.text("loss")
        )
    });
    match last.message() {
        "request rejected locally" => {
            let reason = last.text("reason");
            let reason = if reason.is_empty() {
                String::new()
            } else {
                format!(", {reason}")
            };
            let failed_call = request_lines
                .iter()
                .rev()
                .find(|line| line.message() == "call failed");
            let failed_call = failed_call.map_or_else(String::new, |line| {
                format!(
                    "; {} failed the call ({})",
                    line.text("upstream"),
                    line.text("fault")
                )
            });
            let overload = request_lines
                .iter()
                .find(|line| line.message() == "call refused: no room in time");
            let overload = overload.map_or_else(String::new, |line| line.format_overload());
            format!(
                "answered by the VM itself: {}{reason}{overload}{failed_call}{loss}",
                last.text("outcome")
            )
        }
        "body of a request refused" => last.format_body_refusal(),
        "caller left" => format!("the caller disconnected before the response was complete{loss}"),
        "stream cut" => format!("cut: {}{loss}", last.text("cut")),
        "answered" => format!(
            "answered by the upstream with status {}",
            last.fields["status"]
        ),
        "stream whole" if lost_runs.is_empty() => "complete, no run was lost".to_owned(),
        "stream whole" => {
            let resumes = request_lines
                .iter()
                .filter(|line| line.message() == "stream resumed");
            let longest = resumes.filter_map(|line| line.fields["ms"].as_u64()).max();
            format!(
                "complete, the longest resume took {} ms{loss}",
                longest.unwrap_or(0)
            )
        }
        _ => cause_without_outcome(last, all),
    }
}

/// Determines the cause for a request whose lines end without an outcome.
fn cause_without_outcome(last: &LogLine, all: &[LogLine]) -> String {
    let mut later_lines = all
        .iter()
        .filter(|line| line.file == last.file && line.micros >= last.micros);
    let process_event =
        later_lines.find(|line| matches!(line.message(), "start" | "shutdown cut calls"));
    match process_event.map(LogLine::message) {
        Some("shutdown cut calls") => {
            "aborted when the drain grace period of its process ended".to_owned()
        }
        Some("start") => "its process crashed and was restarted".to_owned(),
        _ => "unknown: log lines are missing".to_owned(),
    }
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    /// Formats why the body of a request was refused.
    fn format_body_refusal(&self) -> String {
        let [held, limit, waiting] =
            ["held", "memory_limit", "waiting"].map(|field| self.fields[field].as_u64());
        format!(
            "not run: its body was refused, {}; {} bytes were held of {}, and {} requests waited",
            self.text("reason"),
            held.unwrap_or(0),
            limit.unwrap_or(0),
            waiting.unwrap_or(0)
        )
    }

    /// Whether this line reports the loss of a run that had not produced an event, of a call with the part that
    /// `cause` names.
    fn lost_run_with(&self, cause: &str) -> bool {
        let part = cause
            .strip_prefix("part ")
            .and_then(|c| c.split('@').next());
        let mut parts = self.text("parts").split(',');
        self.message() == "run of a stream lost"
            && self.fields["produced_events"] == false
            && part.is_some_and(|part| parts.any(|p| p == part))
    }

    /// Formats where a back-off comes from.
    fn format_back_off(&self) -> String {
        let answer_to = match self.text("answer_to") {
            "" => String::new(),
            request => format!(" in its response to {request}"),
        };
        format!(
            "; {} asked for a back-off of {} ms{answer_to}",
            self.text("upstream"),
            self.fields["asked_ms"]
        )
    }

    /// Formats why a call got no room at an upstream.
    fn format_overload(&self) -> String {
        let fields = &self.fields;
        match self.text("cause") {
            "forecast" => format!(
                "; {} calls were ahead, its start was expected in {} ms and had to be within {} ms",
                fields["ahead"], fields["expected_ms"], fields["allowed_ms"]
            ),
            "expired" => format!(
                "; no upstream had room within the {} ms that it could wait",
                fields["waited_ms"]
            ),
            limit => format!("; the queue of the VM had reached its limit of {limit}"),
        }
    }

    fn is_process_event(&self) -> bool {
        matches!(
            self.message(),
            "start"
                | "stop"
                | "shutdown begun"
                | "shutdown cut calls"
                | "configuration in force"
                | "store unreachable"
                | "store refused a read"
                | "table call refused"
                | "store reachable"
        )
    }

    /// Formats the line for display: milliseconds since the request's first line, file, message and
    /// fields.
    fn format_line(&self, start: u64) -> String {
        let sign = if self.micros < start { '-' } else { '+' };
        let ms = self.micros.abs_diff(start) / 1000;
        let mut text = format!("{sign}{ms:>6} ms  {}  {}", self.file, self.message());
        let omitted = ["timestamp", "level", "message", "target", "request"];
        for (name, value) in self.fields.as_object().into_iter().flatten() {
            if !omitted.contains(&name.as_str()) {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), ToOwned::to_owned);
                text.extend([" ", name.as_str(), "=", value.as_str()]);
            }
        }
        text.push('\n');
        text
    }
}
