use std::fmt;

/// A table that is printed as Markdown.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, header: &[&str]) -> Table {
        let header = header.iter().map(|cell| cell.to_string()).collect();
        Table { title: title.to_string(), header, rows: Vec::new() }
    }

    /// Adds a row, one cell per column.
    pub fn row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}\n", self.title)?;
        writeln!(f, "| {} |", self.header.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(self.header.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}

/// Slope and intercept of the least-squares line through points (x, y).
pub fn slope(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
