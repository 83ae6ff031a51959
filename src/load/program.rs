//! The shape of one agent program.

use std::time::Duration;

/// One call of a program.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSpec {
    /// Index of the service in the deployment.
    pub service: usize,
    /// Prompt tokens beyond the conversation so far; 0 for a plain service.
    pub new_tokens: u64,
    /// Tokens that the engine generates; 0 for a plain service.
    pub completion_tokens: u64,
    /// Work of a plain call relative to the service's mean.
    pub work: f64,
}

/// What an agent does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends a call and waits for its answer.
    Call(CallSpec),
    /// Runs a tool of its own.
    Pause(Duration),
    /// Starts sub-agents and waits for all of them.
    Agents(Vec<Agent>),
}

/// A chain of dependent steps over one conversation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agent {
    /// Steps in their order.
    pub steps: Vec<Step>,
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// When it starts, from the start of the trace.
    pub arrival: Duration,
    /// Index of its customer in the deployment.
    pub customer: usize,
    /// Index of the data centre that its caller uses.
    pub data_centre: usize,
    /// The agent that everything else is done for.
    pub root: Agent,
}

impl Agent {
    /// Calls of this agent and of its sub-agents.
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
