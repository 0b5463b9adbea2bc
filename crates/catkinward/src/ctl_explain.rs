//! What became of a request, and why, from the logs of one or more processes.

use super::*;
use serde_json::Value;

/// How long before and after a request's own lines those about its upstreams are shown.
const AROUND: Duration = Duration::from_secs(2);

/// A line of a log.
struct LogLine {
    /// Time of day at the process, in microseconds since 1970.
    micros: u64,
    /// Name of the file that it stands in.
    file: Arc<str>,
    fields: Value,
}

/// Reads the logs, and tells what became of a request.
pub(crate) fn run(request: Option<&RequestId>, files: &[PathBuf]) -> Result<String> {
    let request = request.ok_or(Error::CtlRequestAbsent)?;
    let mut lines = Vec::new();
    let mut unread = 0;
    for path in files {
        unread += read_log(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.micros);
    let mut text = explain(request.as_str(), &lines);
    if unread > 0 {
        let note = format!("{unread} lines are no JSON with a time and were left out\n");
        text.push_str(&note);
    }
    Ok(text)
}

/// Adds the lines of a log; returns how many cannot be read.
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
    let mut unread = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match read_line(line, &file) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    Ok(unread)
}

fn read_line(line: &str, file: &Arc<str>) -> Option<LogLine> {
    // A collector may have put something before the line.
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
    let own = lines
        .iter()
        .filter(|line| line.text("request") == request)
        .collect::<Vec<_>>();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return format!("no line names the request {request}\n");
    };
    let around = u64::try_from(AROUND.as_micros()).unwrap_or(u64::MAX);
    let span = first.micros.saturating_sub(around)..=last.micros.saturating_add(around);
    let upstreams = own
        .iter()
        .map(|line| line.text("upstream"))
        .collect::<Vec<_>>();
    let concerns = |line: &&LogLine| {
        let of_upstream = !line.text("upstream").is_empty()
            && line.text("request").is_empty()
            && upstreams.contains(&line.text("upstream"));
        let of_process = line.is_of_process() && own.iter().any(|own| own.file == line.file);
        line.text("request") == request
            || (span.contains(&line.micros) && (of_upstream || of_process))
    };
    let mut text = String::new();
    for line in lines.iter().filter(concerns) {
        text.push_str(&line.show(first.micros));
    }
    text.extend(["cause: ", &cause(&own, lines), "\n"]);
    text
}

/// The cause that the lines of a request give, in the words of an operator.
fn cause(own: &[&LogLine], all: &[LogLine]) -> String {
    let last = own.last().expect("a request with lines has a last one");
    let losses = own
        .iter()
        .filter(|line| line.message() == "run of a stream lost");
    let losses = losses.collect::<Vec<_>>();
    let loss = losses.last().map_or_else(String::new, |line| {
        format!(
            "; the last of {} lost runs was on {} ({})",
            losses.len(),
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
            let failed = own
                .iter()
                .rev()
                .find(|line| line.message() == "call failed");
            let failed = failed.map_or_else(String::new, |line| {
                format!(
                    "; {} failed it ({})",
                    line.text("upstream"),
                    line.text("fault")
                )
            });
            format!(
                "answered by the VM itself: {}{reason}{failed}{loss}",
                last.text("outcome")
            )
        }
        "caller left" => format!("its caller left before the answer was whole{loss}"),
        "stream cut" => format!("cut: {}{loss}", last.text("cut")),
        "answered" => format!(
            "answered by the upstream with status {}",
            last.fields["status"]
        ),
        "stream whole" if losses.is_empty() => "whole, no run was lost".to_owned(),
        "stream whole" => {
            let pauses = own.iter().filter(|line| line.message() == "stream resumed");
            let longest = pauses.filter_map(|line| line.fields["ms"].as_u64()).max();
            format!(
                "whole, after a longest resume of {} ms{loss}",
                longest.unwrap_or(0)
            )
        }
        _ => unfinished(last, all),
    }
}

/// The cause where a request's lines just end.
fn unfinished(last: &LogLine, all: &[LogLine]) -> String {
    let mut after = all
        .iter()
        .filter(|line| line.file == last.file && line.micros >= last.micros);
    let process = after.find(|line| matches!(line.message(), "start" | "shutdown cut calls"));
    match process.map(LogLine::message) {
        Some("shutdown cut calls") => "cut by the end of its process' grace time".to_owned(),
        Some("start") => "its process died and was started anew".to_owned(),
        _ => "the lines do not tell: lines are missing".to_owned(),
    }
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or_default()
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    fn is_of_process(&self) -> bool {
        matches!(
            self.message(),
            "start"
                | "stop"
                | "shutdown begun"
                | "shutdown cut calls"
                | "configuration in force"
                | "store unreachable"
                | "store reachable"
        )
    }

    /// The line for a reader: milliseconds since the request's first line, file, message, fields.
    fn show(&self, start: u64) -> String {
        let sign = if self.micros < start { '-' } else { '+' };
        let ms = self.micros.abs_diff(start) / 1000;
        let mut text = format!("{sign}{ms:>6} ms  {}  {}", self.file, self.message());
        let left_out = ["timestamp", "level", "message", "target", "request"];
        for (name, value) in self.fields.as_object().into_iter().flatten() {
            if !left_out.contains(&name.as_str()) {
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
