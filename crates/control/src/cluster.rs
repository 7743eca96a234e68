//! Cluster membership of this instance: starting the member, and the admin routes for the cluster.

use crate::settings::{Cluster, Settings, Tls};
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use runtrack_agree::host::{self, Handle, PeerService, RequestError};
use runtrack_agree::{
    Command, Identity, Invitation, MemberChange, MemberId, Outcome, State as Agreed, Tuning,
};
use runtrack_store::{Folder, Version};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::{Certificate, ClientTlsConfig, Identity as TlsIdentity};

/// Time limit of a write or a consistent read; after it the outcome is reported as unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens the member's folder and starts the member. The caller must serve the returned service to its peers.
pub fn start(cluster: &Cluster, settings: &Settings) -> Result<(Handle, PeerService), io::Error> {
    let tls = settings.tls.as_ref().map(client_tls).transpose()?;
    let folder = Folder::new(&cluster.member)?;
    let seed = RandomState::new().hash_one(std::process::id());
    let tuning = Tuning { log_bytes: cluster.log_bytes, ..Tuning::default() };
    let tick = Duration::from_millis(cluster.tick_ms);
    let started = host::start(folder, host::Settings { tick, tuning, tls, seed });
    started.map_err(|problem| io::Error::other(problem.to_string()))
}

fn client_tls(tls: &Tls) -> io::Result<ClientTlsConfig> {
    let identity = TlsIdentity::from_pem(std::fs::read(&tls.certificate)?, std::fs::read(&tls.key)?);
    let config = ClientTlsConfig::new().identity(identity);
    Ok(match &tls.client_ca {
        Some(ca) => config.ca_certificate(Certificate::from_pem(std::fs::read(ca)?)),
        None => config,
    })
}

/// A membership change, with members identified by name.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Change {
    Add { name: String, address: String },
    Remove { name: String },
    Transfer { name: String },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    id: String,
    change: Change,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteRequest {
    id: String,
    command: Command,
}

/// The committed versions, and how old this information is.
#[derive(Debug, Serialize)]
struct Versions<'a> {
    lineage: &'a str,
    index: u64,
    serial: u64,
    versions: &'a [Version],
    /// Endpoints that must get no new requests, by pool and name.
    held: &'a BTreeSet<(String, String)>,
    /// Milliseconds since this instance was last in touch with a majority; none if it never was.
    age_ms: Option<u64>,
}

type JsonResult = Result<Json<Value>, (StatusCode, Json<Value>)>;

fn error_response(problem: &RequestError) -> (StatusCode, Json<Value>) {
    let code = match problem {
        RequestError::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        RequestError::Refused(_) => StatusCode::CONFLICT,
    };
    (code, Json(json!({ "error": problem.to_string() })))
}

fn refusal(why: impl Into<String>) -> (StatusCode, Json<Value>) {
    error_response(&RequestError::Refused(why.into()))
}

fn age_ms(handle: &Handle) -> Option<u64> {
    handle.view().last_quorum_contact.map(|at| at.elapsed().as_millis() as u64)
}

async fn state(handle: &Handle, consistent: bool) -> Result<Arc<Agreed>, (StatusCode, Json<Value>)> {
    match consistent {
        true => handle.read(REQUEST_TIMEOUT).await.map_err(|problem| error_response(&problem)),
        false => handle.view().state.clone().ok_or_else(|| refusal("nothing was heard of the cluster yet")),
    }
}

async fn versions(handle: Handle, consistent: bool) -> JsonResult {
    let state = state(&handle, consistent).await?;
    let age_ms = if consistent { Some(0) } else { age_ms(&handle) };
    let versions = Versions {
        lineage: &state.lineage,
        index: state.index,
        serial: state.serial(),
        versions: &state.versions,
        held: &state.held,
        age_ms,
    };
    Ok(Json(json!(versions)))
}

async fn text(
    State(handle): State<Handle>,
    Path(serial): Path<u64>,
) -> Result<String, (StatusCode, Json<Value>)> {
    let state = state(&handle, false).await?;
    let text = state.text(serial).map(str::to_owned);
    text.ok_or_else(|| {
        (StatusCode::NOT_FOUND, Json(json!({ "error": format!("serial {serial} is not kept") })))
    })
}

async fn write(
    State(handle): State<Handle>,
    Json(WriteRequest { id, command }): Json<WriteRequest>,
) -> JsonResult {
    // These commands come from members, over the links between them.
    if matches!(command, Command::Seen { .. } | Command::Listed(_) | Command::Draining { .. }) {
        return Err(refusal("this is for instances alone"));
    }
    match handle.write(&id, command, REQUEST_TIMEOUT).await {
        Ok((index, Outcome::Refused(why))) => {
            Err((StatusCode::CONFLICT, Json(json!({"error": why, "index": index}))))
        }
        Ok((index, outcome)) => Ok(Json(json!({"index": index, "outcome": outcome}))),
        Err(problem) => Err(error_response(&problem)),
    }
}

fn member_by_name(state: &Agreed, name: &str) -> Result<MemberId, (StatusCode, Json<Value>)> {
    let found = state.members.iter().find(|(id, member)| member.name == name || id.to_string() == name);
    found.map(|(id, _)| *id).ok_or_else(|| refusal(format!("there is no member {name}")))
}

async fn change(
    State(handle): State<Handle>,
    Json(ChangeRequest { id, change }): Json<ChangeRequest>,
) -> JsonResult {
    let before = state(&handle, true).await?;
    let done = match change {
        Change::Add { name, address } => {
            let ticket = format!(
                "{:016x}{:016x}",
                RandomState::new().hash_one(&id),
                RandomState::new().hash_one(&name)
            );
            let member = before.next_member();
            let change = MemberChange::Add { member, name: name.clone(), address, ticket };
            handle
                .change(&id, change, REQUEST_TIMEOUT)
                .await
                .map_err(|problem| error_response(&problem))?;
            // A repeated request returns the invitation of the first one.
            let state = state(&handle, true).await?;
            let member = member_by_name(&state, &name)?;
            let others = state.members.iter().filter(|(id, _)| **id != member);
            let identity = Identity {
                lineage: state.lineage.clone(),
                member,
                ticket: state.members[&member].ticket.clone(),
                folder: String::new(),
                others: others.map(|(id, other)| (*id, other.address.clone())).collect(),
            };
            return Ok(Json(json!(Invitation { name, identity })));
        }
        Change::Remove { name } => {
            let member = member_by_name(&before, &name)?;
            handle.change(&id, MemberChange::Remove { member }, REQUEST_TIMEOUT).await
        }
        Change::Transfer { name } => {
            handle.transfer(member_by_name(&before, &name)?, REQUEST_TIMEOUT).await
        }
    };
    done.map(|()| Json(json!({"done": true}))).map_err(|problem| error_response(&problem))
}

/// The status of the cluster as seen by this instance.
pub fn status(handle: &Handle) -> Value {
    let view = handle.view();
    let state = view.state.as_ref();
    let members: Vec<Value> = state
        .iter()
        .flat_map(|state| &state.members)
        .map(|(id, member)| {
            let link = view.links.get(id);
            let peer = view.status.as_ref().and_then(|status| status.peers.get(id));
            json!({
                "id": id, "name": member.name, "address": member.address, "voter": member.voter,
                "joined": member.folder.is_some(),
                "connected": link.map(|link| link.connected), "problem": link.and_then(|link| link.problem.clone()),
                "matched": peer.map(|peer| peer.matched), "heard": peer.map(|peer| peer.heard),
                "dropped": link.map(|link| link.dropped),
            })
        })
        .collect();
    json!({
        "lineage": handle.identity().lineage, "member": handle.identity().member,
        "majority": handle.has_majority(), "in_touch_ms_ago": age_ms(handle),
        "trouble": view.storage_error, "removed": view.removed, "elections": view.elections,
        "standing": view.status, "members": members,
        "index": state.map(|state| state.index), "served": state.map(|state| state.served),
        "epoch": state.map(|state| state.epoch), "serial": state.map(|state| state.serial()),
        "held": state.map(|state| state.held.len()),
    })
}

/// The admin routes of a cluster member.
pub fn router(handle: Handle) -> Router {
    Router::new()
        .route("/cluster", get(|State(handle): State<Handle>| async move { Json(status(&handle)) }))
        .route("/cluster/change", post(change))
        .route("/versions", get(|State(handle): State<Handle>| versions(handle, false)))
        .route("/versions/now", get(|State(handle): State<Handle>| versions(handle, true)))
        .route("/text/{serial}", get(text))
        .route("/write", post(write))
        .layer(axum::extract::DefaultBodyLimit::max(96 << 20))
        .with_state(handle)
}
