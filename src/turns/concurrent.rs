//! Futures of one type that run concurrently within their caller's task.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Number of times that other tasks run before a time limit counts. After a
/// standstill of the process, answers may have arrived that the tasks of their
/// connections have not read yet.
const YIELDS: usize = 3;

/// Futures that run while [`Concurrent::next`] is awaited. Dropping it cancels
/// them.
#[derive(Debug)]
pub(super) struct Concurrent<F>(Vec<Pin<Box<F>>>);

impl<F: Future> Concurrent<F> {
    pub(super) const fn new() -> Self {
        Self(Vec::new())
    }

    pub(super) fn push(&mut self, future: F) {
        self.0.push(Box::pin(future));
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns an output that is ready now.
    pub(super) async fn ready(&mut self) -> Option<F::Output> {
        future::poll_once(self.next()).await
    }

    /// Waits for the next output; `None` if there is none within `time`.
    pub(super) async fn next_within(&mut self, time: Duration) -> Option<F::Output> {
        let next = async { Some(self.next().await) };
        let expire = async {
            Timer::after(time).await;
            None
        };
        let mut output = future::or(next, expire).await;
        for _ in 0..YIELDS {
            if output.is_some() {
                break;
            }
            future::yield_now().await;
            output = self.ready().await;
        }
        output
    }

    /// Waits for the next output; never ends if no future is left.
    async fn next(&mut self) -> F::Output {
        poll_fn(|cx| {
            for index in 0..self.0.len() {
                if let Poll::Ready(output) = self.0[index].as_mut().poll(cx) {
                    drop(self.0.swap_remove(index));
                    return Poll::Ready(output);
                }
            }
            Poll::Pending
        })
        .await
    }
}
