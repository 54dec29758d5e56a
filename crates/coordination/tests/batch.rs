//! Batch logs with lost answers, delayed puts, paused writers and writers that lose their memory.

mod model;

use std::collections::BTreeMap;

use coordination::batch::{Entry, Log};
use model::Rng;
use policy::name::Name;
use policy::time::Millis;

const NOW: Millis = Millis(1);
const WRITERS: usize = 3;

#[derive(Clone, Debug)]
struct Item(Name);

impl Entry for Item {
    fn id(&self) -> &Name {
        &self.0
    }
}

type NumberedBatch = (u64, Vec<Name>);

/// The object store, puts that have not taken effect yet, and the writers of one log.
#[derive(Default)]
struct Simulation {
    store: BTreeMap<u64, Vec<Name>>,
    delayed: Vec<NumberedBatch>,
    writers: Vec<Log<Item>>,
    /// For each writer, whether it read that the batch of its next number is absent.
    is_at_end: Vec<bool>,
    added: Vec<Name>,
}

impl Simulation {
    fn new() -> Self {
        let writers = (0..WRITERS).map(|_| Log::default()).collect();
        Self { writers, is_at_end: vec![false; WRITERS], ..Self::default() }
    }

    /// Puts a batch unless its number is present. Returns whether the put took effect.
    fn put_if_absent(&mut self, (number, ids): NumberedBatch) -> bool {
        let absent = !self.store.contains_key(&number);
        if absent {
            self.store.insert(number, ids);
        }
        absent
    }

    fn add(&mut self, rng: &mut Rng) {
        let id = Name::from(format!("r{}", rng.below(40)));
        if !self.added.contains(&id) {
            self.added.push(id.clone());
            // Two or all writers get the entry; a retry may bring it to any of them again later.
            for writer in 0..2 + rng.below(WRITERS - 1) {
                self.give(writer, &id);
            }
        } else {
            self.give(rng.below(WRITERS), &id);
        }
    }

    /// Gives a writer an entry, which may be stored in batches that the writer has already read.
    fn give(&mut self, writer: usize, id: &Name) {
        self.writers[writer].add(Item(id.clone()));
    }

    /// Lets a writer read the batch of its next number, or put that batch if it is absent.
    fn write(&mut self, writer: usize, rng: &mut Rng) {
        let number = self.writers[writer].next_number();
        if !self.is_at_end[writer] {
            match self.store.get(&number) {
                Some(ids) => _ = self.writers[writer].apply_batch(number, &ids.clone(), NOW),
                None => self.is_at_end[writer] = true,
            }
            return;
        }
        let Some((number, items)) = self.writers[writer].next_batch(3) else { return };
        let ids: Vec<_> = items.iter().map(|item| item.0.clone()).collect();
        let batch = (number, ids.clone());
        self.is_at_end[writer] = false;
        match rng.below(4) {
            // The answer is lost, and the put takes effect later or never.
            0 => self.delayed.push(batch),
            // The put takes effect, and its answer is lost.
            1 => _ = self.put_if_absent(batch),
            _ if self.put_if_absent(batch) => {
                self.is_at_end[writer] = true;
                self.writers[writer].apply_batch(number, &ids, NOW);
            }
            _ => {}
        }
    }

    fn step(&mut self, rng: &mut Rng) {
        match rng.below(10) {
            0 | 1 => self.add(rng),
            2 if !self.delayed.is_empty() => {
                let index = rng.below(self.delayed.len());
                let batch = self.delayed.swap_remove(index);
                self.put_if_absent(batch);
            }
            // One of the three writers loses its memory and restarts.
            3 if rng.once_in(8) => {
                self.writers[2] = Log::default();
                self.is_at_end[2] = false;
            }
            _ => self.write(rng.below(WRITERS), rng),
        }
    }

    fn check(&self) {
        let mut seen = std::collections::BTreeSet::new();
        for id in self.store.values().flatten() {
            assert!(seen.insert(id), "{id} is stored twice");
        }
        for id in &self.added {
            let held = self.writers.iter().any(|writer| writer.pending().contains_key(id));
            assert!(held || seen.contains(id), "{id} is lost");
        }
        let next = self.store.len() as u64;
        assert!(self.store.keys().copied().eq(0..next), "the log has a gap");
    }
}

fn run(seed: u64) {
    let mut rng = Rng::new(seed);
    let mut simulation = Simulation::new();
    for _ in 0..250 {
        simulation.step(&mut rng);
        simulation.check();
    }
    // Without further faults, all writers reach the end of the log and all entries are stored.
    simulation.delayed.clear();
    for _ in 0..300 {
        let writer = rng.below(WRITERS);
        let number = simulation.writers[writer].next_number();
        match simulation.store.get(&number).cloned() {
            Some(ids) => _ = simulation.writers[writer].apply_batch(number, &ids, NOW),
            None => {
                if let Some((number, items)) = simulation.writers[writer].next_batch(3) {
                    simulation
                        .put_if_absent((number, items.into_iter().map(|item| item.0).collect()));
                }
            }
        }
    }
    simulation.check();
    assert!(simulation.writers.iter().all(|writer| writer.pending().is_empty()));
}

/// Guards against a bill that is stored twice or never. Entry hosts send a bill to several control
/// processes after lost answers, answers to puts are lost before or after the put takes effect, and
/// a control process loses its memory. The store rejects a second put of a number, and the rejected
/// writer reads that batch before it continues.
#[test]
fn log_random_events() {
    (0..60).for_each(run);
    fuzz::check(60, |seed: &u64| run(*seed));
}

/// A paused writer resumes after another holder of its entries stored them, and finds the batch of
/// its next number present.
#[test]
fn log_paused_writer_returns() {
    let mut paused = Log::default();
    let mut holder = Log::default();
    for id in ["a", "b"] {
        assert!(paused.add(Item(Name::from(id))));
        assert!(holder.add(Item(Name::from(id))));
    }
    let (number, tail) = holder.next_batch(10).expect("two pending");
    let ids: Vec<_> = tail.into_iter().map(|item| item.0).collect();
    holder.apply_batch(number, &ids, NOW);
    assert!(paused.add(Item(Name::from("c"))));
    assert_eq!(paused.apply_batch(0, &ids, NOW).len(), 2);
    let (number, rest) = paused.next_batch(10).expect("one pending");
    assert_eq!((number, rest.len(), rest[0].id().as_str()), (1, 1, "c"));
    assert!(!paused.add(Item(Name::from("a"))), "a retry of a stored bill is no new bill");
}

#[test]
fn log_forgets_stored_entries() {
    let mut log = Log::default().starting_at(7);
    assert!(log.add(Item(Name::from("a"))));
    log.apply_batch(7, &[Name::from("a")], Millis(5));
    assert_eq!(log.next_number(), 8);
    log.forget(Millis(6));
    assert!(log.add(Item(Name::from("a"))));
    // A writer that treats the entry as old rereads the batch and finds the entry there.
    let mut log = log.starting_at(7);
    assert_eq!(log.apply_batch(7, &[Name::from("a")], Millis(9)).len(), 1);
}
