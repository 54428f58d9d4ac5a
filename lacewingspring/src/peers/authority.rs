//! Certificate authority of the fleet, and the certificates that instances issue at their start.

use std::{fs, io, path::Path, sync::Arc};

use lacewingspring_core::names::InstanceName;
use quinn::{
    ClientConfig, ServerConfig,
    crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig},
};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, pem::PemObject},
    server::{VerifierBuilderError, WebPkiClientVerifier},
};
use thiserror::Error;

/// ALPN protocol name of the exchanges between instances.
const ALPN: &[u8] = b"lacewingspring/1";

/// File name of an authority's certificate.
const CERTIFICATE_FILE: &str = "authority.pem";

/// File name of an authority's private key.
const KEY_FILE: &str = "authority.key";

/// Why an authority can't be used or a certificate can't be issued.
#[derive(Debug, Error)]
pub enum AuthorityError {
    /// A file could not be read or written.
    #[error("authority file: {0}")]
    File(#[from] io::Error),
    /// A certificate could not be issued or parsed.
    #[error("authority certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The PEM text is invalid.
    #[error("authority certificate: {0}")]
    Pem(#[from] rustls::pki_types::pem::Error),
    /// TLS rejects the certificate.
    #[error("authority certificate: {0}")]
    Tls(#[from] rustls::Error),
    /// TLS rejects the authority as a root certificate.
    #[error("authority certificate: {0}")]
    Verifier(#[from] VerifierBuilderError),
    /// TLS lacks a cipher suite that QUIC needs.
    #[error("authority: TLS lacks a cipher suite that QUIC needs: {0}")]
    CipherSuite(#[from] NoInitialCipherSuite),
}

/// Certificate authority that signs the certificates of instances.
#[derive(Debug)]
pub struct Authority {
    certificate: String,
    key: String,
}

impl Authority {
    /// Creates a new authority.
    ///
    /// # Errors
    ///
    /// Fails if the key or the certificate can't be generated.
    pub fn create() -> Result<Self, AuthorityError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.distinguished_name.push(DnType::CommonName, "lacewingspring authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let certificate = params.self_signed(&key)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Reads an authority from its two PEM files, without parsing them.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn read(certificate: &Path, key: &Path) -> Result<Self, AuthorityError> {
        let certificate = fs::read_to_string(certificate)?;
        let key = fs::read_to_string(key)?;
        Ok(Self { certificate, key })
    }

    /// Writes the authority's two files into a folder, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written.
    pub fn write(&self, folder: &Path) -> Result<(), AuthorityError> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(CERTIFICATE_FILE), &self.certificate)?;
        fs::write(folder.join(KEY_FILE), &self.key)?;
        Ok(())
    }

    /// Issues a certificate for an instance.
    ///
    /// # Errors
    ///
    /// Fails if the authority's files do not hold a certificate and its private key.
    pub fn issue(&self, instance: &InstanceName) -> Result<Identity, AuthorityError> {
        let ca_key = KeyPair::from_pem(&self.key)?;
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, ca_key)?;
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![instance.as_str().to_owned()])?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &issuer)?;
        let mut roots = RootCertStore::empty();
        roots.add(CertificateDer::from_pem_slice(self.certificate.as_bytes())?)?;
        Ok(Identity {
            certificate: certificate.der().clone(),
            key: key.serialize_der(),
            roots: Arc::new(roots),
        })
    }
}

/// Certificate and private key of one instance, with the authority that it trusts.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: Vec<u8>,
    roots: Arc<RootCertStore>,
}

impl Identity {
    /// Returns the server configuration, which accepts peers with certificates of the same
    /// authority.
    ///
    /// # Errors
    ///
    /// Fails if TLS rejects the certificate.
    pub fn server_config(&self) -> Result<ServerConfig, AuthorityError> {
        let verifier = WebPkiClientVerifier::builder(self.roots.clone()).build()?;
        let mut tls = rustls::ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.private_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?)))
    }

    /// Returns the client configuration, which connects to peers with certificates of the same
    /// authority.
    ///
    /// # Errors
    ///
    /// Fails if TLS rejects the certificate.
    pub fn client_config(&self) -> Result<ClientConfig, AuthorityError> {
        let mut tls = rustls::ClientConfig::builder()
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(vec![self.certificate.clone()], self.private_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?)))
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::from(PrivatePkcs8KeyDer::from(self.key.clone()))
    }
}
