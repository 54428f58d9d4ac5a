//! Client of the platform's instance list: the Consul HTTP API, `/v1/health/service/{name}`.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Uri;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use lacewingspring_core::{
    membership::ListedInstance,
    names::{DataCentreName, InstanceName},
};
use serde::Deserialize;
use thiserror::Error;
use tokio::time::timeout;

/// Largest response of the instance list, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for reading the instance list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The instance list can't be read.
#[derive(Clone, Copy, Debug, Error)]
#[error("the instance list can't be read")]
pub struct ListUnavailable;

/// Client of the instance list.
#[derive(Clone, Debug)]
pub struct InstanceList {
    client: Client<HttpConnector, Empty<Bytes>>,
    uri: Uri,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Listed {
    node: ListedNode,
    service: ListedService,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListedNode {
    datacenter: String,
}

#[derive(Deserialize)]
struct ListedService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: HashMap<String, String>,
}

impl InstanceList {
    /// Creates a client for the instances listed under a service name.
    ///
    /// # Errors
    ///
    /// Fails if the name makes no valid URI path.
    pub fn new(endpoint: SocketAddr, service: &str) -> Result<Self, ListUnavailable> {
        let uri = format!("http://{endpoint}/v1/health/service/{service}");
        let uri = uri.parse().map_err(|_| ListUnavailable)?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { client, uri })
    }

    /// Reads the listed instances; skips entries without valid addresses.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be read in time or can't be parsed.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, ListUnavailable> {
        let body = timeout(TIMEOUT, self.fetch()).await.map_err(|_| ListUnavailable)??;
        let listed: Vec<Listed> = serde_json::from_slice(&body).map_err(|_| ListUnavailable)?;
        Ok(listed.into_iter().filter_map(to_instance).collect())
    }

    async fn fetch(&self) -> Result<Bytes, ListUnavailable> {
        let response = self.client.get(self.uri.clone()).await.map_err(|_| ListUnavailable)?;
        if !response.status().is_success() {
            return Err(ListUnavailable);
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok(body.map_err(|_| ListUnavailable)?.to_bytes())
    }
}

fn to_instance(listed: Listed) -> Option<ListedInstance> {
    let service = listed.service;
    let address = service.address.parse().ok()?;
    Some(ListedInstance {
        name: InstanceName::from(service.id),
        data_centre: DataCentreName::from(listed.node.datacenter),
        caller_address: SocketAddr::new(address, service.port),
        peer_address: service.meta.get("peers")?.parse().ok()?,
        leaving: service.meta.get("state").is_some_and(|state| state == "leaving"),
    })
}
