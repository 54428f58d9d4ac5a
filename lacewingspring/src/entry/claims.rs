//! Claims in the key-value service, which decide who may dispatch a non-idempotent request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lacewingspring_core::{
    claim::{ClaimRecord, ClaimState, ClaimVerdict, StoredAnswer, evaluate_claim},
    error::ErrorKind,
    key_index::KeyId,
    names::{InstanceName, RequestKey, UpstreamName},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{Refusal, Work, retention::Retention};
use crate::{
    clock,
    platform::key_value::{Compare, KeyValue, KeyValueEntry, KeyValueError, Purpose, Put, Swap},
    settings::{Mechanism, Settings},
};

/// Maximum time to write a claim. The request holds its permit meanwhile.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// First backoff between two attempts at the key-value service.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between two attempts at the key-value service.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);

/// Retry-after of a refusal while the key-value service is unavailable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A claim that this instance holds.
#[derive(Debug)]
pub struct WonClaim {
    key: String,
    /// Key of the record of the act; `None` if the request has no act digest.
    act_key: Option<String>,
    record: ClaimRecord,
    /// Time after which the claim may expire, so that its request must not be dispatched any more.
    pub(super) dispatch_by: Duration,
}

/// Result of a claim attempt, or of the look-up of an earlier claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This attempt holds the claim and may dispatch.
    Won(WonClaim),
    /// The request ran and this is its stored answer.
    Answered(StoredAnswer),
    /// The key was recorded as not run.
    Voided,
    /// The key belongs to another request.
    Conflict,
    /// Another attempt holds the claim.
    Pending {
        /// Instance that holds the claim.
        instance: InstanceName,
        /// Incarnation of that instance.
        incarnation: u64,
        /// Key of the request that holds the claim.
        key: RequestKey,
        /// Upstream of the run, for an idempotent request.
        upstream: Option<UpstreamName>,
    },
}

/// Record of an act (see [`Work::act_digest`]) that names the request that performs it.
#[derive(Serialize, Deserialize)]
struct ActRecord {
    key: RequestKey,
}

/// Reads and writes the claims of this instance.
#[derive(Debug)]
pub struct Claims {
    store: KeyValue,
    retention: Arc<Retention>,
    prefix: String,
    instance: InstanceName,
    incarnation: u64,
    next_nonce: AtomicU64,
    enabled: bool,
}

impl Claims {
    /// Creates the claim client of one incarnation of an instance.
    pub fn new(store: KeyValue, settings: &Settings, incarnation: u64) -> Self {
        Self {
            store: store.with_purpose(Purpose::Claim),
            retention: Arc::new(Retention::new(settings.key_value.claim_retention())),
            prefix: settings.key_value.prefix.clone(),
            instance: settings.instance.clone(),
            incarnation,
            next_nonce: AtomicU64::new(rand::random()),
            enabled: settings.test.is_on(Mechanism::Claim),
        }
    }

    /// Looks up an earlier claim of the same request and retries until the deadline.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the service cannot be read by the deadline.
    pub async fn look_up(
        &self,
        work: &Work,
        deadline: Duration,
    ) -> Result<Option<ClaimOutcome>, Refusal> {
        if !self.enabled {
            return Ok(None);
        }
        let key = self.key(&work.id);
        let record = self.record(work);
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.store.get(&key).await {
                Ok(Some(entry)) => return self.evaluate(&record, &entry, &work.id.key).map(Some),
                Ok(None) => return Ok(None),
                Err(e) => {
                    log::warn!(reason:% = e; "Reading a claim fails; retrying until the deadline.")
                }
            }
            if clock::now() + backoff >= deadline {
                return Err(Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER));
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns whether another attempt holds or held a claim of the key; also true if the service
    /// cannot be read. A claim of this incarnation doesn't count, since it is being abandoned
    /// without a dispatch.
    pub async fn may_have_run(&self, id: &KeyId) -> bool {
        match self.store.get(&self.key(id)).await {
            Ok(Some(entry)) => parse(&entry).is_none_or(|claim| {
                let is_own =
                    claim.incarnation == self.incarnation && claim.instance == self.instance;
                claim.state != ClaimState::Void && !is_own
            }),
            Ok(None) => false,
            Err(_) => true,
        }
    }

    /// Creates the claim if it is absent. If a reply is lost, the next attempt reads the claim
    /// back.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the service does not confirm the claim within `CLAIM_TIMEOUT`;
    /// the claim is then abandoned.
    pub async fn claim(&self, work: &Work) -> Result<ClaimOutcome, Refusal> {
        let claim = WonClaim {
            key: self.key(&work.id),
            act_key: work.act_digest().map(|act| self.act_key(work, &act)),
            record: self.record(work),
            dispatch_by: self.retention.dispatch_by(clock::now()),
        };
        self.create_with_retries(work, claim, clock::now() + CLAIM_TIMEOUT).await
    }

    /// Creates the claim of an idempotent request; used while membership views may differ.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the service does not confirm the claim within `CLAIM_TIMEOUT`;
    /// the claim is then abandoned.
    pub async fn claim_run(
        &self,
        work: &Work,
        upstream: &UpstreamName,
    ) -> Result<ClaimOutcome, Refusal> {
        let record = ClaimRecord { upstream: Some(upstream.clone()), ..self.record(work) };
        let dispatch_by = self.retention.dispatch_by(clock::now());
        let claim = WonClaim { key: self.key(&work.id), act_key: None, record, dispatch_by };
        self.create_with_retries(work, claim, clock::now() + CLAIM_TIMEOUT).await
    }

    async fn create_with_retries(
        &self,
        work: &Work,
        claim: WonClaim,
        deadline: Duration,
    ) -> Result<ClaimOutcome, Refusal> {
        if !self.enabled {
            return Ok(ClaimOutcome::Won(claim));
        }
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.create(&claim, &work.id).await {
                Ok(Swap::Done(_)) => return Ok(ClaimOutcome::Won(claim)),
                Ok(Swap::Refused(entries)) => return self.resolve(work, claim, &entries).await,
                Err(e) => {
                    log::warn!(reason:% = e; "Writing a claim fails; retrying until the time-out.")
                }
            }
            if clock::now() + backoff >= deadline {
                self.abandon(claim);
                return Err(Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER));
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Stores the outcome of a claimed request in the background, with retries until the service
    /// accepts it.
    pub fn finish(&self, claim: WonClaim, answer: StoredAnswer) {
        let record = ClaimRecord { state: ClaimState::Done(answer), ..claim.record };
        let Ok(value) = serde_json::to_vec(&record) else { return };
        let (store, retention) = (self.store.clone(), self.retention.clone());
        let put = Put::new(claim.key, value);
        tokio::spawn(async move {
            let mut backoff = FIRST_BACKOFF;
            while let Err(e) = put_with_lease(&store, &retention, &put).await {
                log::warn!(reason:% = e; "Storing an outcome fails; retrying.");
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// Removes, in the background, a claim whose request was not and will not be dispatched.
    pub fn abandon(&self, claim: WonClaim) {
        let store = self.store.clone();
        tokio::spawn(async move {
            let mut backoff = FIRST_BACKOFF;
            while let Err(e) = remove_own(&store, &claim).await {
                log::warn!(reason:% = e; "Removing a claim fails; retrying.");
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// Returns the claim of a key for a status query. Records an unclaimed key as void, so that it
    /// never runs.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached or its record cannot be parsed.
    pub async fn void_if_absent(&self, id: &KeyId) -> Result<ClaimRecord, KeyValueError> {
        let key = self.key(id);
        let void = ClaimRecord {
            nonce: self.nonce(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            fingerprint: String::new(),
            upstream: None,
            state: ClaimState::Void,
        };
        let value = serde_json::to_vec(&void).unwrap_or_default();
        let compare = vec![Compare::Absent(key.clone())];
        let swap = self.create_with_lease(compare, vec![Put::new(key, value)]).await?;
        match swap {
            Swap::Done(_) => Ok(void),
            Swap::Refused(entries) => {
                let entry = entries.first().ok_or_else(unreadable_claim)?;
                parse(entry).ok_or_else(unreadable_claim)
            }
        }
    }

    async fn create(&self, claim: &WonClaim, id: &KeyId) -> Result<Swap, KeyValueError> {
        let value = serde_json::to_vec(&claim.record).unwrap_or_default();
        let mut compares = vec![Compare::Absent(claim.key.clone())];
        let mut puts = vec![Put::new(claim.key.clone(), value)];
        if let Some(act_key) = &claim.act_key {
            let act = serde_json::to_vec(&ActRecord { key: id.key.clone() }).unwrap_or_default();
            compares.push(Compare::Absent(act_key.clone()));
            puts.push(Put::new(act_key.clone(), act));
        }
        self.create_with_lease(compares, puts).await
    }

    /// Writes records with a lease that expires after the retention.
    async fn create_with_lease(
        &self,
        compares: Vec<Compare>,
        puts: Vec<Put>,
    ) -> Result<Swap, KeyValueError> {
        let lease = self.retention.lease(&self.store).await?;
        let puts = puts.into_iter().map(|put| put.with_lease(lease)).collect();
        let swap = self.store.compare_and_swap(compares, puts, vec![]).await;
        if let Err(e) = &swap {
            self.retention.forget_if_rejected(lease, e).await;
        }
        swap
    }

    /// Evaluates the records that made a claim fail: the claim of the same key, or the claim of the
    /// same act by another key.
    async fn resolve(
        &self,
        work: &Work,
        claim: WonClaim,
        entries: &[KeyValueEntry],
    ) -> Result<ClaimOutcome, Refusal> {
        if let Some(entry) = entries.iter().find(|entry| entry.key == claim.key) {
            let is_own = parse(entry)
                .is_some_and(|stored| evaluate_claim(&claim.record, &stored) == ClaimVerdict::Won);
            if is_own {
                return Ok(ClaimOutcome::Won(claim));
            }
            return self.evaluate(&claim.record, entry, &work.id.key);
        }
        let unavailable = Refusal::new(ErrorKind::StoreUnavailable, OUTAGE_RETRY_AFTER);
        let act = entries.iter().find(|entry| Some(&entry.key) == claim.act_key.as_ref());
        let act: ActRecord = act
            .and_then(|entry| serde_json::from_slice(&entry.value).ok())
            .ok_or(Refusal::permanent(ErrorKind::Internal))?;
        let first = KeyId { workspace: work.id.workspace.clone(), key: act.key.clone() };
        let entry = self.store.get(&self.key(&first)).await.map_err(|_| unavailable)?;
        let entry = entry.ok_or(unavailable)?;
        let stored = parse(&entry).ok_or(Refusal::permanent(ErrorKind::Internal))?;
        // The act is the same even if the bodies differ elsewhere, so the fingerprints are not
        // compared.
        let record = ClaimRecord { fingerprint: stored.fingerprint, ..claim.record };
        self.evaluate(&record, &entry, &act.key)
    }

    fn evaluate(
        &self,
        own: &ClaimRecord,
        entry: &KeyValueEntry,
        key: &RequestKey,
    ) -> Result<ClaimOutcome, Refusal> {
        let stored = parse(entry).ok_or(Refusal::permanent(ErrorKind::Internal))?;
        Ok(match evaluate_claim(own, &stored) {
            ClaimVerdict::Won => return Err(Refusal::permanent(ErrorKind::Internal)),
            ClaimVerdict::Conflict => ClaimOutcome::Conflict,
            ClaimVerdict::Answered(answer) => ClaimOutcome::Answered(answer),
            ClaimVerdict::Voided => ClaimOutcome::Voided,
            ClaimVerdict::Pending(record) => ClaimOutcome::Pending {
                instance: record.instance,
                incarnation: record.incarnation,
                key: key.clone(),
                upstream: record.upstream,
            },
        })
    }

    fn record(&self, work: &Work) -> ClaimRecord {
        ClaimRecord {
            nonce: self.nonce(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            fingerprint: work.fingerprint.to_string(),
            upstream: None,
            state: ClaimState::Claimed,
        }
    }

    fn nonce(&self) -> u64 {
        self.next_nonce.fetch_add(1, Ordering::Relaxed)
    }

    fn key(&self, id: &KeyId) -> String {
        format!("{}claims/{}/{}", self.prefix, id.workspace, id.key)
    }

    fn act_key(&self, work: &Work, act: &str) -> String {
        format!("{}acts/{}/{}/{act}", self.prefix, work.id.workspace, work.service_name)
    }
}

fn parse(entry: &KeyValueEntry) -> Option<ClaimRecord> {
    serde_json::from_slice(&entry.value).ok()
}

fn unreadable_claim() -> KeyValueError {
    KeyValueError::Malformed("claim record is missing or not valid JSON".into())
}

/// Writes one record with a lease that expires after the retention.
async fn put_with_lease(
    store: &KeyValue,
    retention: &Retention,
    put: &Put,
) -> Result<(), KeyValueError> {
    let lease = retention.lease(store).await?;
    let put = store.put(put.clone().with_lease(lease)).await;
    if let Err(e) = &put {
        retention.forget_if_rejected(lease, e).await;
    }
    put.map(drop)
}

/// Removes a claim if its stored record still has the same nonce.
async fn remove_own(store: &KeyValue, claim: &WonClaim) -> Result<(), KeyValueError> {
    let Some(entry) = store.get(&claim.key).await? else { return Ok(()) };
    let is_own = parse(&entry).is_some_and(|stored| stored.nonce == claim.record.nonce);
    if !is_own {
        return Ok(());
    }
    let compares = vec![Compare::ModRevision(claim.key.clone(), entry.mod_revision)];
    let mut deletes = vec![claim.key.clone()];
    deletes.extend(claim.act_key.clone());
    store.compare_and_swap(compares, Vec::<Put>::new(), deletes).await?;
    Ok(())
}
