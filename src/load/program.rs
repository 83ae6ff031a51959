//! The steps of one agent program.

use std::time::Duration;

/// One call of a program.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSpec {
    /// Index of the service in the deployment.
    pub service: usize,
    /// Prompt tokens added to the conversation; 0 for a plain service.
    pub new_tokens: u64,
    /// Tokens that the engine generates; 0 for a plain service.
    pub completion_tokens: u64,
    /// Duration of a plain call relative to the mean of the service.
    pub work: f64,
}

/// One step of an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends a call and waits for its answer.
    Call(CallSpec),
    /// Runs a local tool for the given time.
    Pause(Duration),
    /// Starts sub-agents and waits for all of them.
    Agents(Vec<Agent>),
}

/// A chain of dependent steps over one conversation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agent {
    /// Steps in order of execution.
    pub steps: Vec<Step>,
}

/// A program of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Arrival time, from the start of the trace.
    pub arrival: Duration,
    /// Index of the customer in the deployment.
    pub customer: usize,
    /// Index of the data centre that the caller uses.
    pub data_centre: usize,
    /// Root agent; the program ends with it.
    pub root: Agent,
}

impl Agent {
    /// Returns the calls of this agent and of its sub-agents.
    pub fn calls(&self) -> Vec<&CallSpec> {
        let mut calls = Vec::new();
        for step in &self.steps {
            match step {
                Step::Call(call) => calls.push(call),
                Step::Pause(_) => {}
                Step::Agents(agents) => calls.extend(agents.iter().flat_map(Self::calls)),
            }
        }
        calls
    }
}
