//! The examples have the sizes of the users' two deployments, and their files fit together.

use standin::deployment::Deployment;
use wire::host::Role;

fn count_hosts(deployment: &Deployment, role: Role, pool: &str) -> usize {
    deployment.hosts_with_role(role).filter(|host| &*host.pool == pool).count()
}

#[test]
fn nl_centraal_has_the_users_host_counts() {
    let deployment = Deployment::named("nl-centraal").unwrap();
    assert_eq!(deployment.failure_domains().len(), 4);
    assert_eq!(count_hosts(&deployment, Role::Backend, "dossier-workers"), 10);
    assert_eq!(count_hosts(&deployment, Role::Backend, "claim-portal"), 4);
    assert_eq!(count_hosts(&deployment, Role::Entry, ""), 7);
}

#[test]
fn midlands_has_the_users_host_counts() {
    let deployment = Deployment::named("midlands").unwrap();
    assert_eq!(deployment.failure_domains().len(), 3);
    assert_eq!(count_hosts(&deployment, Role::Backend, "feed-planners"), 20);
    assert_eq!(count_hosts(&deployment, Role::Backend, "order-desk"), 3);
    assert_eq!(count_hosts(&deployment, Role::Entry, ""), 6);
}

#[test]
fn account_keys_match_hashes_in_the_configuration() {
    use sha2::{Digest, Sha256};
    for name in Deployment::NAMES {
        let deployment = Deployment::named(name).unwrap();
        assert_eq!(deployment.document.accounts.len(), 10);
        for (account, settings) in &deployment.document.accounts {
            let digest = Sha256::digest(deployment.account_key(account));
            let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(&*settings.key_hashes[0], hash, "{name}: {account}");
        }
    }
}

#[test]
fn error_for_unknown_deployment_names_the_known_ones() {
    let error = Deployment::named("nowhere").unwrap_err().to_string();
    assert!(error.contains("nl-centraal, midlands"), "{error}");
}
