use crate::measure::Measure;

/// One line of the table: a policy over several seeds.
#[derive(Debug)]
pub struct Row {
    /// The scenario.
    pub scenario: &'static str,
    /// The policy.
    pub policy: String,
    /// One measure a seed.
    pub runs: Vec<Measure>,
}

/// Returns the mean and the standard deviation.
fn mean_and_spread(values: &[f64]) -> (f64, f64) {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, variance.sqrt())
}

impl Row {
    fn cell(&self, digits: usize, value: impl Fn(&Measure) -> f64) -> String {
        let values: Vec<f64> = self.runs.iter().map(value).collect();
        let (mean, spread) = mean_and_spread(&values);
        format!("{mean:.digits$} ± {spread:.digits$}")
    }

    fn print(&self) {
        let classes = self.runs.first().map_or(0, |m| m.classes.len());
        let mut cells = vec![self.scenario.to_string(), self.policy.clone()];
        for class in 0..classes {
            cells.push(self.cell(1, |m| 100.0 * m.attainment(class)));
        }
        cells.push(self.cell(0, Measure::goodput));
        cells.push(self.cell(2, |m| 100.0 * m.waste()));
        cells.push(self.cell(1, |m| m.link_bytes as f64 / 1e6));
        cells.push(self.cell(1, |m| 100.0 * m.small_attainment()));
        let windows = |f: fn(&Measure) -> u64| -> u64 { self.runs.iter().map(f).sum() };
        let all = windows(|m| m.classes.iter().map(|c| c.windows).sum());
        let served = windows(|m| m.classes.iter().map(|c| c.served_windows).sum());
        cells.push(format!("{served}/{all}"));
        cells.push(windows(|m| m.open).to_string());
        cells.push(windows(|m| m.violations).to_string());
        println!("| {} |", cells.join(" | "));
    }
}

/// Prints the rows as one table in Markdown.
pub fn print_table(rows: &[Row]) {
    println!(
        "| workload | policy | tier 1 % | tier 2 % | tier 3 % | tier 4 % | goodput tokens/s \
         | wasted % | link MB | small accounts % | windows served | open | violations |"
    );
    println!("|{}", "---|".repeat(13));
    for row in rows {
        row.print();
    }
}
