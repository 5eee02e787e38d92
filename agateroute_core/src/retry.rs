//! The budget that keeps retries from amplifying an outage.

/// The most retries that can be saved up.
const SAVED_MOST: f64 = 20.0;

/// A budget that fills with arrivals and empties with retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: SAVED_MOST / 2.0 }
    }
}

impl Budget {
    /// Counts an arrival, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(SAVED_MOST);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
