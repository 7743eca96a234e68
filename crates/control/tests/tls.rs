//! Mutual TLS between proxies and the service.

mod common;

use common::*;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use runtrack_testkit::{Control, Scripted, TempDir, connect, request};
use std::time::Duration;
use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Identity};

struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        Authority(CertifiedIssuer::self_signed(params, key).expect("a certificate"))
    }

    fn pem(&self) -> String {
        self.0.pem()
    }

    /// Issues a certificate; returns it with its key, both as PEM.
    fn sign(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("a name");
        (params.signed_by(&key, &self.0).expect("a certificate").pem(), key.serialize_pem())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_proxies_with_a_certificate_of_the_ca_are_served() {
    let (authority, stranger) = (Authority::new(), Authority::new());
    let folder = TempDir::new();
    let (certificate, key) = authority.sign("localhost");
    let files = [("cert.pem", &certificate), ("key.pem", &key), ("ca.pem", &authority.pem())];
    let paths = files.map(|(name, pem)| folder.write(name, pem));
    let settings =
        format!("[tls]\ncertificate = {:?}\nkey = {:?}\nclient_ca = {:?}\n", paths[0], paths[1], paths[2]);
    let control = Control::start(BINARY, &static_fleet(&[(7001, "ready")]), &settings, false).await;

    let endpoint = |identity: Option<(String, String)>| {
        let tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(authority.pem()));
        let tls = tls.domain_name("localhost");
        let tls = match identity {
            Some((certificate, key)) => tls.identity(Identity::from_pem(certificate, key)),
            None => tls,
        };
        let to = format!("https://{}", control.xds);
        Endpoint::from_shared(to)
            .expect("a URL")
            .tls_config(tls)
            .expect("sound")
            .timeout(Duration::from_secs(10))
    };
    let known = endpoint(Some(authority.sign("kiosk"))).connect().await.expect("the authority's own");
    let mut stream = Scripted::open(known).await;
    stream.send(request("kiosk", "cds", &[]));
    assert_eq!(stream.next().await.expect("clusters").resources.len(), 1);

    for identity in [None, Some(stranger.sign("kiosk"))] {
        // In TLS 1.3 a client learns of the rejection only with its first read.
        if let Ok(channel) = endpoint(identity).connect().await {
            let mut client = envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient::new(channel);
            let opened =
                client.stream_aggregated_resources(tokio_stream::iter([request("x", "cds", &[])])).await;
            assert!(opened.is_err(), "served without a certificate of the authority");
        }
    }

    // Plain text is rejected.
    let plain = connect(control.xds).await;
    let mut client = envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient::new(plain);
    let opened = client.stream_aggregated_resources(tokio_stream::iter([request("x", "cds", &[])])).await;
    assert!(opened.is_err());
}
