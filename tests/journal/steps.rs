//! Steps of a random case and the strategies that generate them.

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

/// Number of hosts that may own the partition.
pub(crate) const HOSTS: usize = 3;

/// Fault injected into a platform call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The call takes effect and its answer arrives.
    None,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The answer is lost; a write may take effect later.
    Late,
    /// The call fails without effect.
    NoEffect,
}

/// Parameters of a call to begin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BeginStep {
    pub(crate) program: Option<u8>,
    pub(crate) customer: u8,
    pub(crate) ordinal: Option<u8>,
    pub(crate) key: Option<u8>,
    pub(crate) body: bool,
    pub(crate) cost: u8,
}

/// One step; `pick` selects one of the host's calls in the required stage.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Advance(u16),
    Pump(usize),
    Poll(usize),
    Complete(usize, Fault),
    ApplyLate(u8),
    SetOutage(bool),
    AcquireRead(usize),
    AcquireWrite(usize, Fault),
    TakeOver(usize),
    Release(usize),
    Kill(usize),
    Open {
        host: usize,
        budget: u8,
        parent: Option<u8>,
    },
    End(usize, u8),
    Begin(usize, BeginStep),
    /// Begins a call and checks its dispatch; with `answer` also runs it to its
    /// answer.
    RunCall {
        host: usize,
        begin: BeginStep,
        answer: bool,
    },
    Check(usize, u8),
    Dispatch(usize, u8),
    Finish {
        host: usize,
        pick: u8,
        large: bool,
    },
    LoseAnswer(usize, u8),
    NotRun(usize, u8),
    Abandon(usize, u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Late),
        1 => Just(Fault::NoEffect),
    ]
}

fn begin() -> impl Strategy<Value = BeginStep> {
    let fields = (
        option::weighted(0.7, any::<u8>()),
        0..8_u8,
        option::weighted(0.5, 0..8_u8),
        option::weighted(0.6, 0..6_u8),
        0..8_u8,
        1..40_u8,
    );
    fields.prop_map(|(program, customer, ordinal, key, body, cost)| BeginStep {
        program,
        // Mostly the first customer and the first body.
        customer: u8::from(customer == 0),
        ordinal,
        key,
        body: body == 0,
        cost,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    let pick = any::<u8>;
    prop_oneof![
        8 => (1..400_u16).prop_map(Step::Advance),
        14 => host().prop_map(Step::Pump),
        8 => host().prop_map(Step::Poll),
        8 => (host(), fault()).prop_map(|(host, fault)| Step::Complete(host, fault)),
        2 => pick().prop_map(Step::ApplyLate),
        1 => any::<bool>().prop_map(Step::SetOutage),
        1 => host().prop_map(Step::AcquireRead),
        2 => (host(), fault()).prop_map(|(host, fault)| Step::AcquireWrite(host, fault)),
        1 => host().prop_map(Step::TakeOver),
        1 => host().prop_map(Step::Release),
        1 => host().prop_map(Step::Kill),
        3 => (host(), 20..200_u8, option::weighted(0.4, pick()))
            .prop_map(|(host, budget, parent)| Step::Open { host, budget, parent }),
        1 => (host(), pick()).prop_map(|(host, program)| Step::End(host, program)),
        10 => (host(), begin(), any::<bool>())
            .prop_map(|(host, begin, answer)| Step::RunCall { host, begin, answer }),
        14 => (host(), begin()).prop_map(|(host, begin)| Step::Begin(host, begin)),
        10 => (host(), pick()).prop_map(|(host, pick)| Step::Check(host, pick)),
        10 => (host(), pick()).prop_map(|(host, pick)| Step::Dispatch(host, pick)),
        8 => (host(), pick(), any::<bool>())
            .prop_map(|(host, pick, large)| Step::Finish { host, pick, large }),
        1 => (host(), pick()).prop_map(|(host, pick)| Step::LoseAnswer(host, pick)),
        1 => (host(), pick()).prop_map(|(host, pick)| Step::NotRun(host, pick)),
        1 => (host(), pick()).prop_map(|(host, pick)| Step::Abandon(host, pick)),
    ]
}

/// The steps of one case, fewer than `length`.
pub(crate) fn steps(length: usize) -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 1..length)
}
