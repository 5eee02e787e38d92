//! The daily report: reads the tallies of all instances and renders an HTML page.

use agateroute_core::Table;
use agateroute_core::tally::{OUTCOME_COUNT, Tally, Times};
use agateroute_storage::PlatformError;
use maud::{DOCTYPE, Markup, PreEscaped, html};

use crate::clock::{day_of, unix_seconds};
use crate::daemon::{Config, Daemon};
use crate::tallies::{TallyEntry, TallyRecord, flush};

/// The most rows of tallies that one query returns.
const QUERY_PAGE_ROWS: usize = 200;
/// The share of requests of each organisation and rank that must be complete and on time on a good day.
const MIN_ON_TIME_SHARE: f64 = 0.95;
/// The flushes that an instance may miss before the page reports it as silent.
const MAX_MISSED_FLUSHES: u64 = 3;
/// The column titles of [`Tally::ended`].
const OUTCOME_NAMES: [&str; OUTCOME_COUNT] =
    ["on time", "late", "not run", "partial", "unknown", "cancelled"];
const PLOT_WIDTH: f64 = 320.0;
const PLOT_HEIGHT: f64 = 120.0;

const STYLE: &str = "body{font:16px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:70rem;\
padding:0 1rem;color:#1b1b1b}h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}\
.verdict{font-size:1.25rem;border-left:.4rem solid #2a7a3b;padding-left:.8rem}\
.verdict.bad{border-color:#b03020}.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%}\
th,td{padding:.25rem .5rem;text-align:right;border-bottom:1px solid #ddd;white-space:nowrap}th{white-space:normal;vertical-align:bottom}\
th:first-child,td:first-child,td.text,th.text{text-align:left}\
td.bad{color:#b03020;font-weight:600}.plots{display:flex;flex-wrap:wrap;gap:1.5rem}\
figure{margin:0}figcaption{font-size:.85rem}svg{max-width:100%}\
@media print{body{margin:0;max-width:none;font-size:9px}th,td{padding:.1rem .25rem}a{color:inherit}}";

/// The tallies of a day and the instances that wrote them.
#[derive(Clone, Debug, Default)]
pub struct DayData {
    /// The day in UTC, as YYYY-MM-DD.
    pub day: String,
    /// The tallies by organisation, kind and rank.
    pub tallies: Table<(String, String, String), Tally>,
    /// The instances that wrote tallies, and the time that these cover.
    pub instances: Vec<Coverage>,
    /// When the page is rendered, in seconds since 1970.
    pub now: u64,
    /// The time without a flush after which an instance counts as silent, in seconds.
    pub max_silence_s: u64,
}

/// The time that one row of an instance covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The name of the instance.
    pub instance: String,
    /// The start of the instance, in milliseconds since 1970.
    pub start: u64,
    /// When the instance began to count, in seconds since 1970.
    pub from: u64,
    /// The time of the last flush, up to which requests are counted, in seconds since 1970.
    pub until: u64,
    /// Whether the instance stopped gracefully.
    pub closed: bool,
}

/// Reads and renders the report of a day, by default today. Fails if the table service can't be read.
pub async fn page(daemon: &Daemon, day: Option<&str>) -> Result<String, PlatformError> {
    let now = unix_seconds();
    let day = day.map_or_else(|| day_of(now), str::to_owned);
    flush(daemon, false).await;
    let data = read(daemon, &day, now).await?;
    Ok(render(&daemon.config(), &data).into_string())
}

async fn read(daemon: &Daemon, day: &str, now: u64) -> Result<DayData, PlatformError> {
    let tally_ms = daemon.config().document.routing.tally_ms;
    let max_silence_s = (tally_ms * MAX_MISSED_FLUSHES).div_ceil(1000) + 1;
    let mut data = DayData { day: day.to_owned(), now, max_silence_s, ..DayData::default() };
    let Some(platform) = &daemon.platform else { return Ok(data) };
    let mut after = " ".to_owned();
    loop {
        let rows = platform.table.query(&format!("tally-{day}"), &after, QUERY_PAGE_ROWS).await?;
        let Some(last) = rows.last() else { return Ok(data) };
        after.clone_from(&last.sort);
        for row in &rows {
            if let Ok(record) = serde_json::from_str(&row.value) {
                data.add(record);
            }
        }
    }
}

impl DayData {
    /// Adds the tallies and the coverage of a row.
    pub fn add(&mut self, record: TallyRecord) {
        let coverage = Coverage {
            instance: record.instance,
            start: record.start,
            from: record.from,
            until: record.until,
            closed: record.closed,
        };
        if !self.instances.contains(&coverage) {
            self.instances.push(coverage);
        }
        for TallyEntry { organisation, kind, rank, tally } in record.entries {
            self.tallies.entry((organisation, kind, rank), Tally::default).merge(&tally);
        }
    }

    /// Describes the instances that stopped writing tallies, and for how long their requests may be missing.
    fn silences(&self) -> Vec<String> {
        let mut silences = Vec::new();
        for coverage in self.instances.iter().filter(|c| !c.closed) {
            if coverage.until + self.max_silence_s >= self.now {
                continue;
            }
            let successor = self
                .instances
                .iter()
                .filter(|c| c.instance == coverage.instance && c.start > coverage.start)
                .map(|c| c.from)
                .min();
            let end = successor.unwrap_or(self.now);
            let seconds = end.saturating_sub(coverage.until);
            silences.push(format!(
                "{} was last heard at {} and not for up to {seconds} s after it; what it served then \
                 is not in the figures",
                coverage.instance,
                time_of_day(coverage.until),
            ));
        }
        silences
    }

    /// Says until when the requests of instances that still serve are counted.
    fn coverage_sentence(&self) -> Option<String> {
        let serving: Vec<String> = self
            .instances
            .iter()
            .filter(|c| !c.closed && c.until + self.max_silence_s >= self.now)
            .map(|c| format!("{} {}", c.instance, time_of_day(c.until)))
            .collect();
        (!serving.is_empty()).then(|| {
            format!(
                "Instances that still serve are counted until: {}. What they served after that is not \
                 in the figures yet.",
                serving.join(", ")
            )
        })
    }

    fn by_rank(&self, organisation: &str, rank: &str) -> Tally {
        let mut sum = Tally::default();
        for ((o, _, r), tally) in self.tallies.iter() {
            if o == organisation && r == rank {
                sum.merge(tally);
            }
        }
        sum
    }

    fn organisations(&self) -> Vec<String> {
        let mut all: Vec<String> = self.tallies.keys().map(|(o, _, _)| o.clone()).collect();
        all.dedup();
        all
    }

    fn ranks(&self) -> Vec<String> {
        let mut all: Vec<String> = self.tallies.keys().map(|(_, _, r)| r.clone()).collect();
        all.sort();
        all.dedup();
        all
    }
}

/// Formats the time of the day in UTC.
fn time_of_day(seconds: u64) -> String {
    let second = seconds % 86_400;
    format!("{:02}:{:02}:{:02} UTC", second / 3600, second / 60 % 60, second % 60)
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

/// The requests that the report judges: all except those that their callers cancelled.
fn counted_requests(tally: &Tally) -> u64 {
    tally.total() - tally.ended[5]
}

/// The reasons why an organisation's day was not good, by rank.
fn shortfalls(data: &DayData, organisation: &str) -> Vec<String> {
    let mut all = Vec::new();
    for rank in data.ranks() {
        let tally = data.by_rank(organisation, &rank);
        let requests = counted_requests(&tally);
        if ratio(tally.ended[0], requests) < MIN_ON_TIME_SHARE {
            let missed = requests - tally.ended[0];
            all.push(format!("{rank}: {missed} of {requests} not whole and on time"));
        }
        if tally.ended[4] > 0 {
            all.push(format!("{rank}: {} with unknown outcome", tally.ended[4]));
        }
    }
    all
}

/// The sentence at the top of the page, and whether the day was good and is fully known.
fn verdict(data: &DayData) -> (bool, String) {
    let bad: Vec<String> = data
        .organisations()
        .iter()
        .filter_map(|o| {
            let reasons = shortfalls(data, o);
            (!reasons.is_empty()).then(|| format!("{o} ({})", reasons.join(", ")))
        })
        .collect();
    let unknown = !data.silences().is_empty();
    match (bad.is_empty(), unknown) {
        (true, false) if data.tallies.is_empty() => (true, "No organisation asked for anything.".into()),
        (true, false) => (true, "The day went well for every organisation.".into()),
        (true, true) => (
            false,
            "As far as is known, the day went well for every organisation; but some of it is not known."
                .into(),
        ),
        (false, false) => (false, format!("The day did not go well for {}.", bad.join("; "))),
        (false, true) => (
            false,
            format!("The day did not go well for {}, and some of it is not known.", bad.join("; ")),
        ),
    }
}

/// Renders the page, which needs no scripts or other files.
pub fn render(config: &Config, data: &DayData) -> Markup {
    let deployment = &config.document.deployment;
    let (is_good, sentence) = verdict(data);
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (deployment) " on " (data.day) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (deployment) " on " (data.day) }
                p class=(if is_good { "verdict" } else { "verdict bad" }) { (sentence) }
                p { (value_sentence(config, data)) }
                (unknown_section(data))
                (organisation_table(config, data))
                (outcome_table(data))
                (stream_section(data))
                (instance_table(data))
                p { "Written at " (time_of_day(data.now)) ". Times are counted in buckets and may be up to "
                    "10 percent too high. A request counts as on time when its first token, and 95 in "
                    "100 of the gaps between its tokens, or its whole plain answer, met the targets "
                    "of its rank." }
            }
        }
    }
}

/// The value of requests that were complete and on time, weighted by the `worth` of their rank.
fn value_sentence(config: &Config, data: &DayData) -> String {
    let (mut total, mut delivered) = (0.0, 0.0);
    for ((_, _, rank), tally) in data.tallies.iter() {
        let declared = config.document.ranks.iter().find(|r| r.name == *rank);
        let worth = declared.map_or(1.0, |r| r.worth);
        total += worth * counted_requests(tally) as f64;
        delivered += worth * tally.ended[0] as f64;
    }
    format!("Worth delivered whole and on time: {delivered:.0} of {total:.0}.")
}

fn unknown_section(data: &DayData) -> Markup {
    let silences = data.silences();
    html! {
        h2 { "What is not known" }
        @if silences.is_empty() {
            p { "No instance fell silent." }
        } @else {
            ul { @for silence in silences { li { (silence) } } }
        }
        @if let Some(coverage_sentence) = data.coverage_sentence() {
            p { (coverage_sentence) }
        }
    }
}

fn organisation_table(config: &Config, data: &DayData) -> Markup {
    let document = &config.document;
    let total_share: u32 = document.organisations.iter().map(|o| o.share).sum();
    let all_tokens: u64 = data.tallies.values().map(|t| t.tokens).sum();
    let ranks = data.ranks();
    html! {
        h2 { "Organisations" }
        div class="scroll" { table {
            thead { tr {
                th { "organisation" } th { "owed" } th { "asked" } th { "got whole and on time" }
                th { "tokens" } th { "of all tokens" }
                @for rank in &ranks { th { (rank) ": on time" } }
                th { "refused" } th { "unknown" }
            } }
            tbody { @for organisation in data.organisations() {
                @let sum = organisation_total(data, &organisation);
                @let share_owed = document.organisation(&organisation).map(|o| o.share);
                tr {
                    td { (organisation) }
                    td { @if let Some(s) = share_owed { (percent(f64::from(s) / f64::from(total_share))) } }
                    td { (sum.total()) } td { (sum.ended[0]) }
                    td { (sum.tokens) } td { (percent(ratio(sum.tokens, all_tokens))) }
                    @for rank in &ranks {
                        @let tally = data.by_rank(&organisation, rank);
                        @let on_time = ratio(tally.ended[0], counted_requests(&tally));
                        td class=(if on_time < MIN_ON_TIME_SHARE { "bad" } else { "" }) {
                            @if tally.total() > 0 { (percent(on_time)) } @else { "–" }
                        }
                    }
                    td { (sum.ended[2]) }
                    td class=(if sum.ended[4] > 0 { "bad" } else { "" }) { (sum.ended[4]) }
                }
            } }
        } }
    }
}

fn organisation_total(data: &DayData, organisation: &str) -> Tally {
    let mut sum = Tally::default();
    for rank in data.ranks() {
        sum.merge(&data.by_rank(organisation, &rank));
    }
    sum
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn outcome_table(data: &DayData) -> Markup {
    html! {
        h2 { "Outcomes by organisation and kind" }
        div class="scroll" { table {
            thead { tr {
                th { "organisation" } th class="text" { "kind" } th class="text" { "rank" } th { "asked" }
                @for name in OUTCOME_NAMES { th { (name) } }
                th { "tokens" } th { "stalls" } th { "stalled s" }
                th { "first ms p50 / p95" } th { "gap ms p95 / p99" }
            } }
            tbody { @for ((organisation, kind, rank), tally) in data.tallies.iter() {
                tr {
                    td { (organisation) } td class="text" { (kind) } td class="text" { (rank) }
                    td { (tally.total()) }
                    @for count in tally.ended { td { (count) } }
                    td { (tally.tokens) } td { (tally.stalls) }
                    td { (format!("{:.1}", tally.stalled_ms as f64 / 1000.0)) }
                    td { (tally.first.quantile(0.5)) " / " (tally.first.quantile(0.95)) }
                    td { @if tally.gaps.count() > 0 {
                        (tally.gaps.quantile(0.95)) " / " (tally.gaps.quantile(0.99))
                    } @else { "–" } }
                }
            } }
        } }
    }
}

fn stream_section(data: &DayData) -> Markup {
    html! {
        h2 { "Times" }
        div class="plots" {
            @for rank in data.ranks() {
                @let sum = rank_total(data, &rank);
                (plot(&format!("{rank}: time to the first token or plain answer, ms"), &sum.first))
                @if sum.gaps.count() > 0 {
                    (plot(&format!("{rank}: time between tokens, ms"), &sum.gaps))
                }
            }
        }
    }
}

fn rank_total(data: &DayData, rank: &str) -> Tally {
    let mut sum = Tally::default();
    for ((_, _, r), tally) in data.tallies.iter() {
        if r == rank {
            sum.merge(tally);
        }
    }
    sum
}

/// Plots the cumulative distribution of times on a logarithmic axis.
fn plot(caption: &str, times: &Times) -> Markup {
    let buckets = times.buckets();
    let longest = buckets.last().map_or(10, |(ms, _)| (*ms).max(10)) as f64;
    let x = |ms: f64| 30.0 + (PLOT_WIDTH - 40.0) * ms.max(1.0).ln() / longest.ln();
    let y = |part: f64| PLOT_HEIGHT - 20.0 - (PLOT_HEIGHT - 30.0) * part;
    let total = times.count().max(1) as f64;
    let mut points = format!("{:.1},{:.1}", x(1.0), y(0.0));
    let mut sum = 0.0;
    for (ms, count) in &buckets {
        points += &format!(" {:.1},{:.1}", x(*ms as f64), y(sum / total));
        sum += f64::from(*count);
        points += &format!(" {:.1},{:.1}", x(*ms as f64), y(sum / total));
    }
    let ticks = (0..8).map(|e| 10_f64.powi(e)).filter(|t| *t <= longest);
    html! {
        figure {
            svg viewBox=(format!("0 0 {PLOT_WIDTH} {PLOT_HEIGHT}")) width=(PLOT_WIDTH)
                height=(PLOT_HEIGHT) role="img" aria-label=(caption) {
                @for part in [0.0, 0.5, 0.95] {
                    line x1="30" x2=(PLOT_WIDTH - 10.0) y1=(y(part)) y2=(y(part)) stroke="#ccc" {}
                    text x="26" y=(y(part) + 3.0) font-size="9" text-anchor="end" {
                        (format!("{:.0}%", part * 100.0))
                    }
                }
                @for tick in ticks {
                    line x1=(x(tick)) x2=(x(tick)) y1=(y(0.0)) y2=(y(1.0)) stroke="#eee" {}
                    text x=(x(tick)) y=(PLOT_HEIGHT - 6.0) font-size="9" text-anchor="middle" {
                        (tick)
                    }
                }
                polyline points=(points) fill="none" stroke="#1f5fa8" stroke-width="1.5" {}
            }
            figcaption { (caption) ": " (times.count()) ", half within " (times.quantile(0.5))
                ", 95 in 100 within " (times.quantile(0.95)) }
        }
    }
}

fn instance_table(data: &DayData) -> Markup {
    html! {
        h2 { "Instances" }
        div class="scroll" { table {
            thead { tr {
                th { "instance" } th { "start" } th { "counted from" } th { "until" }
                th { "stopped in good order" }
            } }
            tbody { @for coverage in &data.instances {
                tr {
                    td { (coverage.instance) } td { (coverage.start) }
                    td { (time_of_day(coverage.from)) } td { (time_of_day(coverage.until)) }
                    td { (if coverage.closed { "yes" } else { "no" }) }
                }
            } }
        } }
    }
}
