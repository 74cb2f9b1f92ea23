use std::fmt;

/// A table for a page in Markdown.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(title: &str, head: &[&str]) -> Table {
        let head = head.iter().map(|cell| cell.to_string()).collect();
        Table { title: title.to_string(), head, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}\n", self.title)?;
        writeln!(f, "| {} |", self.head.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(self.head.len()))?;
        for row in &self.rows {
            writeln!(f, "| {} |", row.join(" | "))?;
        }
        Ok(())
    }
}

/// Returns the least-squares slope and intercept of points.
pub fn slope(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let over: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = over / under;
    (slope, mean_y - slope * mean_x)
}
