//! A walk from the best plan to cheaper ones, one change at a time.

use super::outlook::Outlook;

/// The plan at which no one change is cheaper and still meets the target.
#[must_use]
pub fn cheapest(outlooks: &[Outlook], target: f64) -> Vec<(f64, Outlook)> {
    let best = |a: &&Outlook, b: &&Outlook| a.quality.total_cmp(&b.quality);
    let Some(mut at) = outlooks.iter().filter(|o| o.then.is_none()).max_by(best) else {
        return Vec::new();
    };
    loop {
        let near =
            |o: &&Outlook| o.first == at.first || o.then == at.then || o.then == Some(at.first);
        let better = |o: &&Outlook| o.cost < at.cost && o.quality >= target && near(o);
        let benefit = |o: &Outlook| (at.cost - o.cost) / (at.quality - o.quality).max(1e-6);
        let next = outlooks.iter().filter(better).max_by(|a, b| benefit(a).total_cmp(&benefit(b)));
        match next {
            Some(next) => at = next,
            None => return vec![(1.0, at.clone())],
        }
    }
}
