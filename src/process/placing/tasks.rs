//! Background tasks that feed configuration changes and load reports to
//! placement.

use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::process::timers::Timers;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::ServiceKind;

/// Updates the interactive services and makes waiting calls recheck their
/// endpoints after each configuration change.
///
/// Ends when the configuration sends no more changes.
pub async fn run_configuration_updates<P: Platform>(cx: Cx<P>) {
    let changes = cx.configuration.subscribe();
    loop {
        let snapshot = cx.configuration.snapshot();
        let services = snapshot.services();
        let interactive = services.filter(|(_, service)| service.interactive);
        let interactive = interactive.map(|(id, _)| id.clone()).collect();
        cx.placing.set_interactive(interactive);
        cx.placing.recheck_waiting();
        if changes.recv().await.is_err() {
            return;
        }
    }
}

/// Polls the load of the endpoints of model services.
pub async fn run_load_polling<P: Platform>(cx: Cx<P>, timers: Timers) {
    let endpoints = || model_endpoints(&cx);
    let placing = cx.placing.clone();
    let client = cx.client.clone();
    placing.run_load_polling(client, endpoints, &timers).await;
}

fn model_endpoints<P: Platform>(cx: &Cx<P>) -> Vec<ConfiguredEndpoint> {
    let snapshot = cx.configuration.snapshot();
    let is_model = |id| {
        let service = snapshot.service(id);
        service.is_some_and(|service| service.kind == ServiceKind::Model)
    };
    let endpoints = snapshot.endpoints();
    let models = endpoints.filter(|(_, endpoint)| endpoint.services.iter().any(is_model));
    models
        .map(|(id, endpoint)| ConfiguredEndpoint {
            id: id.clone(),
            endpoint: endpoint.clone(),
        })
        .collect()
}
