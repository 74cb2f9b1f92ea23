use crate::measure::Measure;

/// A row of the table: one policy in one scenario over several seeds.
#[derive(Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: String,
    /// One result per seed.
    pub runs: Vec<Measure>,
}

/// Mean and sample standard deviation.
fn mean_and_deviation(values: &[f64]) -> (f64, f64) {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, variance.sqrt())
}

impl Row {
    fn cell(&self, digits: usize, value: impl Fn(&Measure) -> f64) -> String {
        let values: Vec<f64> = self.runs.iter().map(value).collect();
        let (mean, deviation) = mean_and_deviation(&values);
        format!("{mean:.digits$} ± {deviation:.digits$}")
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
        let total = |f: fn(&Measure) -> u64| -> u64 { self.runs.iter().map(f).sum() };
        let all = total(|m| m.classes.iter().map(|c| c.windows).sum());
        let served = total(|m| m.classes.iter().map(|c| c.served_windows).sum());
        cells.push(format!("{served}/{all}"));
        cells.push(total(|m| m.open).to_string());
        cells.push(total(|m| m.violations).to_string());
        println!("| {} |", cells.join(" | "));
    }
}

/// Prints the rows as a Markdown table.
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
