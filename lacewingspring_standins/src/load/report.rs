//! Reports of load runs, as JSON files and as tables.

use std::{
    fmt::{self, Display, Formatter},
    fs, io,
    path::Path,
};

use serde::{Deserialize, Serialize};

use super::{journals::Work, stats::GroupReport};

/// Report of one load run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Measurements by tier, and by tier and workspace.
    pub groups: Vec<GroupReport>,
    /// Work of the upstreams.
    pub work: Work,
}

impl Report {
    /// Name of the report file.
    pub fn file_name(&self) -> String {
        format!("{}-{}.json", self.scenario, self.policy)
    }

    /// Writes the report into a folder, which is created if missing.
    ///
    /// # Errors
    ///
    /// Fails if the folder or the file can't be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self)?;
        fs::write(folder.join(self.file_name()), text)
    }

    /// Reads a report file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed.
    pub fn read(path: &Path) -> io::Result<Self> {
        Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
    }

    /// Groups that span all workspaces of a tier.
    pub fn tiers(&self) -> impl Iterator<Item = &GroupReport> {
        self.groups.iter().filter(|group| group.name.workspace.is_none())
    }

    /// Goodput over all tiers: responses in time, in percent of the offered requests.
    pub fn total_goodput_percent(&self) -> f64 {
        let (in_time, offered) = self.tiers().fold((0, 0), |(in_time, offered), group| {
            (in_time + group.counts.in_time, offered + group.counts.offered)
        });
        100.0 * in_time as f64 / offered.max(1) as f64
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "scenario {}, policy {}, seed {}", self.scenario, self.policy, self.seed)?;
        writeln!(
            f,
            "{:<12} {:<10} {:>7} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9} {:>8}  {:>26}  {:>23}",
            "tier",
            "workspace",
            "offered",
            "answered",
            "in time",
            "refused",
            "may run",
            "wrong",
            "abandoned",
            "goodput",
            "first token p50/p95/p99 ms",
            "between p50/p95/p99 ms"
        )?;
        self.groups.iter().try_for_each(|group| write_group(f, group))?;
        let work = &self.work;
        writeln!(
            f,
            "prefill {} tokens, wasted {} ({:.1}%), of which unanswered {}; duplicate completions \
             {}, of which under a new key {}; duplicate calls {}, resumptions {}, evictions {}",
            work.prefilled_tokens,
            work.wasted_tokens,
            work.wasted_percent(),
            work.unanswered_tokens,
            work.duplicate_completions,
            work.under_new_key,
            work.duplicate_calls,
            work.resumptions,
            work.evictions
        )
    }
}

fn write_group(f: &mut Formatter<'_>, group: &GroupReport) -> fmt::Result {
    let (counts, first, between) = (&group.counts, &group.first_token, &group.between_tokens);
    writeln!(
        f,
        "{:<12} {:<10} {:>7} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9} {:>7.1}%  {:>8.1} {:>8.1} {:>8.1}  \
         {:>7.1} {:>7.1} {:>7.1}",
        group.name.tier,
        group.name.workspace.as_deref().unwrap_or("(all)"),
        counts.offered,
        counts.answered,
        counts.in_time,
        counts.refused,
        counts.may_have_run,
        counts.wrong,
        counts.abandoned,
        group.goodput_percent,
        first.p50,
        first.p95,
        first.p99,
        between.p50,
        between.p95,
        between.p99
    )
}

/// Markdown table of the goodput and the wasted prefill of several runs.
pub struct Comparison<'a>(pub &'a [Report]);

impl Display for Comparison<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.0.first() else { return Ok(()) };
        write!(f, "| scenario | policy |")?;
        first.tiers().try_for_each(|tier| write!(f, " {} |", tier.name.tier))?;
        writeln!(
            f,
            " all tiers | wasted prefill, tokens | wasted | duplicates | under a new key |"
        )?;
        write!(f, "| --- | --- |")?;
        first.tiers().try_for_each(|_| write!(f, " ---: |"))?;
        writeln!(f, " ---: | ---: | ---: | ---: | ---: |")?;
        self.0.iter().try_for_each(|report| write_row(f, report))
    }
}

fn write_row(f: &mut Formatter<'_>, report: &Report) -> fmt::Result {
    write!(f, "| {} | {} |", report.scenario, report.policy)?;
    report.tiers().try_for_each(|tier| write!(f, " {:.1}% |", tier.goodput_percent))?;
    let work = &report.work;
    writeln!(
        f,
        " {:.1}% | {} | {:.1}% | {} | {} |",
        report.total_goodput_percent(),
        work.wasted_tokens,
        work.wasted_percent(),
        work.duplicate_completions - work.under_new_key + work.duplicate_calls,
        work.under_new_key
    )
}
