//! Answers of a shard's owner, and placement of keys and shards.

use coordination::home::{Home, Layout, account_key, rank};
use coordination::owner::{Owner, Refusal, Verdict};
use coordination::records::Records;
use policy::name::Name;
use policy::time::Millis;

const RETENTION_MS: u64 = 1_000;
const NOW: Millis = Millis(10);

fn name(text: &str) -> Name {
    Name::from(text)
}

fn owner() -> Owner {
    Owner::new(1, name("deputy"), Records::default(), 1)
}

fn claim(owner: &mut Owner, request: &str, now: Millis) -> Result<(), Refusal> {
    owner.claim(&name("k"), &name(request), RETENTION_MS, now)
}

#[test]
fn verdict_waits_for_the_deputy() {
    let mut owner = owner();
    assert_eq!(claim(&mut owner, "one", NOW), Ok(()));
    assert_eq!(claim(&mut owner, "two", NOW), Ok(()));
    assert_eq!(owner.verdict("k", "one", NOW), None);
    assert_eq!(owner.verdict("k", "two", NOW), None);
    owner.mark_replicated(2);
    assert_eq!(owner.verdict("k", "one", NOW), Some(Verdict::Granted));
    assert_eq!(owner.verdict("k", "two", NOW), Some(Verdict::Taken { request: name("one") }));
}

/// A request is refused as not run after its claim. The caller sends the key again, which must be
/// granted and not refused as possibly run. A delayed repeat of the first claim must not regain the
/// key.
#[test]
fn abandon_frees_the_key() {
    let mut owner = owner();
    assert_eq!(claim(&mut owner, "one", NOW), Ok(()));
    assert_eq!(owner.abandon(&name("k"), &name("two"), NOW), Ok(()));
    owner.mark_replicated(2);
    assert_eq!(owner.verdict("k", "one", NOW), Some(Verdict::Granted));
    assert_eq!(owner.abandon(&name("k"), &name("one"), NOW), Ok(()));
    assert_eq!(owner.verdict("k", "one", NOW), None);
    assert_eq!(claim(&mut owner, "one", NOW), Ok(()));
    assert_eq!(claim(&mut owner, "two", NOW), Ok(()));
    owner.mark_replicated(owner.next_number());
    assert_eq!(owner.verdict("k", "two", NOW), Some(Verdict::Granted));
    assert_eq!(owner.verdict("k", "one", NOW), Some(Verdict::Taken { request: name("two") }));
}

#[test]
fn claim_after_expiry() {
    let mut owner = owner();
    assert_eq!(claim(&mut owner, "one", NOW), Ok(()));
    let later = NOW + RETENTION_MS;
    assert_eq!(claim(&mut owner, "two", later), Ok(()));
    owner.mark_replicated(owner.next_number());
    assert_eq!(owner.verdict("k", "two", later), Some(Verdict::Granted));
}

/// After the loss of owner and deputy, the request of any unknown key may have run. So unknown keys
/// are refused for as long as a claim is kept; known keys are answered.
#[test]
fn claim_while_closed() {
    let mut first = owner();
    assert_eq!(claim(&mut first, "one", NOW), Ok(()));
    let (records, next_number) = first.into_records();
    let until = Millis(500);
    let mut owner = Owner::new(2, name("deputy"), records, next_number).closed_until(until);
    assert_eq!(claim(&mut owner, "two", NOW), Ok(()));
    assert_eq!(owner.verdict("k", "two", NOW), Some(Verdict::Taken { request: name("one") }));
    let other = owner.claim(&name("other"), &name("two"), RETENTION_MS, NOW);
    assert_eq!(other, Err(Refusal::Closed { until }));
    assert_eq!(owner.claim(&name("other"), &name("two"), RETENTION_MS, until), Ok(()));
}

#[test]
fn pin_keeps_the_first_version() {
    let mut owner = owner();
    assert_eq!(owner.pin(&name("s"), &name("v1"), RETENTION_MS, NOW), Ok(()));
    assert_eq!(owner.version("s", NOW), None, "the record is not replicated yet");
    owner.mark_replicated(2);
    assert_eq!(owner.pin(&name("s"), &name("v2"), RETENTION_MS, NOW), Ok(()));
    assert_eq!(owner.next_number(), 2, "a use in the first half of the pin's time makes no record");
    let later = NOW + RETENTION_MS / 2 + 1;
    assert_eq!(owner.pin(&name("s"), &name("v2"), RETENTION_MS, later), Ok(()));
    assert_eq!(owner.next_number(), 3, "a use in the second half prolongs the pin");
    owner.mark_replicated(3);
    assert_eq!(owner.version("s", NOW + RETENTION_MS), Some(name("v1")));
}

/// A retry of a caller must reach the shard of its first request, in whatever order a host lists
/// the failure domains.
#[test]
fn home_independent_of_list_order() {
    let failure_domains: Vec<_> = ["a", "b", "c", "d"].map(name).to_vec();
    let layout = Layout { failure_domains: failure_domains.clone(), shards: 16 };
    let other = Layout { failure_domains: failure_domains.into_iter().rev().collect(), shards: 16 };
    let mut homes = std::collections::BTreeMap::<Home, u32>::new();
    for index in 0..6_400 {
        let key = account_key("account", &index.to_string());
        let home = layout.home(&key).expect("there are failure domains");
        assert_eq!(other.home(&key), Some(home.clone()));
        *homes.entry(home).or_default() += 1;
    }
    assert_eq!(homes.len(), 64);
    assert!(homes.values().all(|count| (40..200).contains(count)), "{homes:?}");
    assert_eq!(Layout::default().home("k"), None);
}

#[test]
fn rank_moves_only_shards_of_a_lost_host() {
    let hosts: Vec<_> = ["h1", "h2", "h3", "h4"].map(name).to_vec();
    for shard in 0..64 {
        let place = format!("a/{shard}");
        let before = rank(&place, &hosts);
        let lost = before[3].clone();
        let left: Vec<_> = hosts.iter().filter(|host| **host != lost).cloned().collect();
        assert_eq!(rank(&place, &left), before[..3]);
    }
}
