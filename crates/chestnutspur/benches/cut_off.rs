//! What share of requests is answered while something is cut off, by kind of request.
//!
//! Run with `cargo bench -p chestnutspur --bench cut_off`; the table is in the project's
//! measurements. Shares are of callers' requests, refusals by their code.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use standin::fault::Outage;
use standin::platform::fault::Faults;
use standin::proxy::Mode;
use support::call::{Call, Reply};
use support::{Deployment, Plan, burst};

/// Requests of each kind and fault.
const REQUESTS: usize = 240;
/// Requests at a time.
const AT_ONCE: usize = 24;
/// Time that a fault has lasted when the requests begin.
const SETTLED: Duration = Duration::from_secs(6);

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

    fn bring_about(self, deployment: &mut Deployment) {
        match self {
            Self::None => {}
            Self::PlatformDown => {
                let faults = Faults { down: Outage::Cut, ..Faults::default() };
                deployment.platform.set_faults(faults);
            }
            Self::DomainFromPlatform => deployment.set_paths(Mode::Silent, |user, part| {
                *part == support::Part::Platform && matches!(user, support::User::Control(0 | 1))
            }),
            Self::DomainFromAll => deployment.cut_domain("north", true, Mode::Silent),
            Self::HostLost => {
                deployment.hosts[0].entry.kill();
                deployment.hosts[0].control.kill();
            }
            Self::HostPaused => deployment.hosts[0].control.signal("STOP"),
        }
    }

    /// The hosts that callers' balancer would still use.
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
        Some(reply) if reply.status == 200 && reply.whole => "answered".to_owned(),
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
    deployment.shards_held().await;
    fault.bring_about(&mut deployment);
    tokio::time::sleep(SETTLED).await;
    for kind in KINDS {
        let to: Vec<_> = fault.hosts().iter().map(|&host| deployment.callers(host)).collect();
        let mut counts = BTreeMap::<String, usize>::new();
        for start in (0..REQUESTS).step_by(AT_ONCE) {
            let calls = (start..start + AT_ONCE).map(|index| call(kind, &token, index)).collect();
            for reply in burst(&to, calls).await {
                *counts.entry(outcome(reply.as_ref())).or_default() += 1;
            }
        }
        let answered = counts.remove("answered").unwrap_or(0) as f64 / REQUESTS as f64;
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
