//! A multi-threaded executor and the handle that spawns tasks on it.

use std::future::Future;
use std::sync::Arc;
use std::thread;

use async_executor::Executor;
use async_executor::Task;

/// Handle to an executor that runs on several threads.
#[derive(Clone, Debug, Default)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// Starts `threads` worker threads and returns a handle to their executor.
    ///
    /// At least one thread is started. The threads run until the process exits.
    pub fn start(threads: usize) -> Self {
        let spawner = Self::default();
        for index in 0..threads.max(1) {
            let executor = Arc::clone(&spawner.executor);
            let run = move || async_io::block_on(executor.run(std::future::pending::<()>()));
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(run)
                .expect("worker thread could not be started");
        }
        spawner
    }

    /// Spawns a future; dropping the task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Spawns a future that runs in the background until it completes.
    pub fn detach(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(future).detach();
    }
}
