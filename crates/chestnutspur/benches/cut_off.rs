//! Share of requests that are answered during a fault, by kind of request.
//!
//! Run with `cargo bench -p chestnutspur --bench cut_off`; the table is in the project's
//! measurements. Shares are fractions of the callers' requests; refusals are counted by their code.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst};

/// Number of requests of each kind during each fault.
const REQUEST_COUNT: usize = 240;
/// Number of requests sent at the same time.
const BURST_SIZE: usize = 24;
/// Time between the beginning of a fault and the first request.
const SETTLING_TIME: Duration = Duration::from_secs(6);

const KINDS: [&str; 5] =
    ["repeatable", "may not repeat", "with key", "session token", "session name"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    PlatformDown,
    DomainFromPlatform,
    DomainFromAll,
    HostLost,
    HostPaused,
}

impl Fault {
    const ALL: [Self; 6] = [
        Self::None,
        Self::PlatformDown,
        Self::DomainFromPlatform,
        Self::DomainFromAll,
        Self::HostLost,
        Self::HostPaused,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::PlatformDown => "platform down",
            Self::DomainFromPlatform => "failure domain cut from the platform",
            Self::DomainFromAll => "failure domain cut from all else",
            Self::HostLost => "one entry host lost",
            Self::HostPaused => "one control paused",
        }
    }

    fn inject(self, deployment: &mut Deployment) {
        match self {
            Self::None => {}
            Self::PlatformDown => {
                let faults = Faults { down: Outage::Cut, ..Faults::default() };
                deployment.platform.set_faults(faults);
            }
            Self::DomainFromPlatform => deployment.set_paths(Mode::Silent, |from, to| {
                *to == support::Target::Platform && matches!(from, support::Source::Control(0 | 1))
            }),
            Self::DomainFromAll => deployment.cut_domain("north", true, Mode::Silent),
            Self::HostLost => {
                deployment.hosts[0].entry.kill();
                deployment.hosts[0].control.kill();
            }
            Self::HostPaused => deployment.hosts[0].control.signal("STOP"),
        }
    }

    /// Returns the hosts that the callers' balancer still uses during the fault.
    fn hosts(self) -> &'static [usize] {
        match self {
            Self::HostLost => &[1, 2, 3],
            Self::DomainFromPlatform | Self::DomainFromAll => &[0, 1],
            _ => &[0, 1, 2, 3],
        }
    }
}

fn call(kind: &str, token: &str, index: usize) -> Call {
    let prompt = format!("{kind} {index}");
    match kind {
        "repeatable" => Call::chat("tag", &prompt),
        "may not repeat" => Call::chat("letter", &prompt),
        "with key" => Call::chat("letter", &prompt).header("idempotency-key", &prompt),
        "session token" => Call::chat("tag", &prompt).header("chestnutspur-session", token),
        _ => Call::chat("tag", &prompt).header("chestnutspur-session", &format!("case-{index}")),
    }
}

fn outcome(reply: Option<&Reply>) -> String {
    match reply {
        Some(reply) if reply.status == 200 && reply.is_whole => "answered".to_owned(),
        Some(reply) if reply.status == 200 => "broken".to_owned(),
        Some(reply) => format!("{} (ran {})", reply.code(), reply.ran()),
        None => "no answer".to_owned(),
    }
}

async fn measure(fault: Fault) {
    let name = format!("bench-{fault:?}");
    let mut deployment = Deployment::start(&name, Plan::default()).await;
    let begin = Call::chat("tag", "begin").header("chestnutspur-session", "new");
    let token = begin.send(deployment.callers(1)).await.expect("a session");
    let token = token.header("chestnutspur-session");
    deployment.wait_for_shard_holders().await;
    fault.inject(&mut deployment);
    tokio::time::sleep(SETTLING_TIME).await;
    for kind in KINDS {
        let to: Vec<_> = fault.hosts().iter().map(|&host| deployment.callers(host)).collect();
        let mut counts = BTreeMap::<String, usize>::new();
        for start in (0..REQUEST_COUNT).step_by(BURST_SIZE) {
            let calls =
                (start..start + BURST_SIZE).map(|index| call(kind, &token, index)).collect();
            for reply in burst(&to, calls).await {
                *counts.entry(outcome(reply.as_ref())).or_default() += 1;
            }
        }
        let answered = counts.remove("answered").unwrap_or(0) as f64 / REQUEST_COUNT as f64;
        let refused: Vec<_> = counts.iter().map(|(code, n)| format!("{code}: {n}")).collect();
        println!(
            "| {} | {kind} | {:.1} % | {} |",
            fault.name(),
            answered * 100.0,
            refused.join(", ")
        );
    }
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!("| fault | kind | answered | refused |\n|---|---|---|---|");
    for fault in Fault::ALL {
        runtime.block_on(measure(fault));
    }
}
