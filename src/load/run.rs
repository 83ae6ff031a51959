//! Runs a seeded trace against hosts. Programs arrive at the times of the
//! trace, regardless of how slow the answers are.

use std::sync::Arc;

use async_io::Timer;
use bytes::Bytes;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::client::ClientConfig;
use http::HeaderMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use super::caller::CallRequest;
use super::caller::Caller;
use super::caller::Records;
use super::crowd;
use super::deployment::Deployment;
use super::program::Agent;
use super::program::CallSpec;
use super::program::Program;
use super::program::Step;
use super::result::Latencies;
use super::result::LoadResult;
use super::trace;
use super::trace::Surge;
use super::trace::TraceSpec;
use crate::balance::calls::PromptSize;
use crate::configs::balance::BalanceConfig;
use crate::configs::load::LoadConfig;
use crate::configs::load::Shape;
use crate::connection::headers;
use crate::units::Moment;

/// Characters for each token of a generated prompt.
const CHARS_PER_TOKEN: usize = 4;
/// Maximum number of idle connections kept for each host.
const MAX_IDLE: usize = 256;

/// Path of completions, relative to a model service.
const COMPLETIONS: &str = "v1/chat/completions";

#[derive(Deserialize)]
struct Opened {
    id: String,
}

/// Runs a plan until all its programs have ended and returns the result.
pub async fn run(cfg: LoadConfig, secrets: &[String], spawner: &Spawner) -> LoadResult {
    let deployment = match cfg.shape {
        Shape::Crowd => return crowd::run(&cfg, spawner).await,
        Shape::Labels => Deployment::labels(),
        Shape::Scores => Deployment::scores(),
    };
    let programs = trace::generate(&deployment, &trace_spec(&cfg));
    let records = Arc::new(Mutex::new(Records {
        customers: vec![Latencies::default(); deployment.customers.len()],
        ..Records::default()
    }));
    let client_cfg = ClientConfig {
        max_idle: MAX_IDLE,
        ..ClientConfig::default()
    };
    let client = Client::new(spawner.clone(), client_cfg);
    let cfg = Arc::new(cfg);
    let deployment = Arc::new(deployment);
    let started = Moment::now();
    let mut tasks = Vec::with_capacity(programs.len());
    for (number, program) in programs.into_iter().enumerate() {
        Timer::after(Moment::now().until(started + program.arrival)).await;
        let hosts = &cfg.hosts[program.data_centre % cfg.hosts.len()];
        let runner = Runner {
            caller: Caller {
                cfg: Arc::clone(&cfg),
                client: client.clone(),
                records: Arc::clone(&records),
                hosts: hosts.clone(),
                secret: secrets[program.customer % secrets.len()].clone(),
            },
            deployment: Arc::clone(&deployment),
            name: format!("{}-{number}", cfg.seed),
        };
        tasks.push(spawner.spawn(runner.run_program(program, started)));
    }
    for task in tasks {
        task.await;
    }
    load_result(&cfg, &records.lock())
}

fn trace_spec(cfg: &LoadConfig) -> TraceSpec {
    TraceSpec {
        seed: cfg.seed,
        rate: cfg.programs_per_second,
        length: cfg.length,
        surge: cfg.surge_customer.map(|customer| Surge {
            customer,
            factor: cfg.surge_factor,
            from: cfg.length / 4,
            until: cfg.length * 3 / 4,
        }),
    }
}

fn load_result(cfg: &LoadConfig, records: &Records) -> LoadResult {
    let customers = records.customers.iter().map(Latencies::summary);
    LoadResult {
        seed: cfg.seed,
        program: records.program.summary(),
        call: records.call.summary(),
        customers: customers.enumerate().collect(),
        first_event_ms: [PromptSize::Short, PromptSize::Long]
            .map(|size| {
                let times = &records.first_event[size as usize];
                (size.as_str().to_owned(), times.summary())
            })
            .into(),
        ..records.result.clone()
    }
}

/// Runs the agents of one program.
#[derive(Clone)]
struct Runner {
    caller: Caller,
    deployment: Arc<Deployment>,
    name: String,
}

impl Runner {
    async fn run_program(self, program: Program, started: Moment) {
        let due = started + program.arrival;
        self.caller.records.lock().result.programs += 1;
        let finished = self.run_agent(&program.root, None, &self.name).await;
        let latency = Moment::now().since(due);
        let mut records = self.caller.records.lock();
        if finished {
            records.result.finished += 1;
            records.program.record(latency);
            records.customers[program.customer].record(latency);
        }
    }

    /// Runs an agent to its end; false if one of its calls failed.
    async fn run_agent(&self, agent: &Agent, parent: Option<&str>, name: &str) -> bool {
        let body = match parent {
            Some(parent) => json!({"parent": parent}).to_string(),
            None => String::new(),
        };
        let opened = self
            .caller
            .call(CallRequest {
                path: "/programs",
                fields: &HeaderMap::new(),
                body: &body.into(),
                prompt: None,
            })
            .await;
        let opened = opened.and_then(|body| serde_json::from_slice::<Opened>(&body).ok());
        let Some(Opened { id }) = opened else {
            return false;
        };
        let mut conversation = Vec::new();
        for (number, step) in agent.steps.iter().enumerate() {
            let done = match step {
                Step::Pause(pause) => {
                    Timer::after(pause.mul_f64(self.caller.cfg.scale)).await;
                    true
                }
                Step::Call(call) => {
                    let name = format!("{name}-{number}");
                    self.run_call(call, &id, &name, &mut conversation).await
                }
                Step::Agents(agents) => {
                    self.run_agents(agents, &id, &format!("{name}-{number}"))
                        .await
                }
            };
            if !done {
                return false;
            }
        }
        true
    }

    async fn run_agents(&self, agents: &[Agent], parent: &str, name: &str) -> bool {
        let mut all_done = true;
        // Sub-agents run one after the other; the load is the same. The future
        // is boxed because a recursive future has no known size.
        for (number, agent) in agents.iter().enumerate() {
            let name = format!("{name}.{number}");
            all_done &= Box::pin(self.run_agent(agent, Some(parent), &name)).await;
        }
        all_done
    }

    async fn run_call(
        &self,
        call: &CallSpec,
        program: &str,
        name: &str,
        conversation: &mut Vec<serde_json::Value>,
    ) -> bool {
        let service = &self.deployment.services[call.service];
        let mut fields = HeaderMap::new();
        fields.insert(headers::PROGRAM, headers::value(program));
        if !service.model {
            if !service.repeatable {
                fields.insert(headers::IDEMPOTENCY_KEY, headers::value(name));
            }
            let path = format!("/{}/run", service.name);
            let body = Bytes::from(json!({"name": name}).to_string());
            let request = CallRequest {
                path: &path,
                fields: &fields,
                body: &body,
                prompt: None,
            };
            return self.caller.call(request).await.is_some();
        }
        let scaled = |tokens: u64| (tokens as f64 * self.caller.cfg.scale).ceil() as usize;
        let text = "abc ".repeat(scaled(call.new_tokens) * CHARS_PER_TOKEN / "abc ".len());
        conversation.push(json!({"role": "user", "content": text}));
        let body = json!({
            "model": service.name,
            "stream": true,
            "max_tokens": scaled(call.completion_tokens).max(1),
            "messages": conversation,
        });
        let path = format!("/{}/{COMPLETIONS}", service.name);
        // Engines cache the conversation, and read what the call adds to it.
        let unread_tokens = scaled(call.new_tokens) as f64;
        let request = CallRequest {
            path: &path,
            fields: &fields,
            body: &body.to_string().into(),
            prompt: Some(PromptSize::of(&BalanceConfig::default(), unread_tokens)),
        };
        let answer = self.caller.call(request).await;
        conversation.push(json!({"role": "assistant", "content": "ok"}));
        answer.is_some()
    }
}
