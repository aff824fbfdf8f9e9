//! Prediction of when an engine starts to answer.

use std::time::Duration;

/// How an engine spends its time, as operators declare it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Time of one token step without any request.
    pub step: Duration,
    /// Time that each running request adds to a step.
    pub per_request: Duration,
    /// Prompt tokens that are read in a second.
    pub read_rate: f64,
    /// Token steps that run before the engine looks at new work.
    pub stride: u32,
    /// Requests that run at once.
    pub places: u32,
    /// Mean prompt in tokens.
    pub usual_prompt: f64,
    /// Mean answer in tokens.
    pub usual_answer: f64,
    /// Layers of the model.
    pub layers: u32,
}

impl EngineModel {
    /// Time of one pass, between two looks at new work, with `running` requests.
    pub fn pass(&self, running: u32) -> Duration {
        let running = running.min(self.places);
        (self.step + self.per_request * running) * self.stride.max(1)
    }

    /// Time to read a prompt.
    pub fn read(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.read_rate.max(1.0))
    }

    /// Time to write an answer while all places are taken.
    pub fn run(&self, tokens: f64) -> Duration {
        (self.step + self.per_request * self.places).mul_f64(tokens.max(0.0))
    }

    /// Mean time between two ends of requests while all places are taken.
    pub fn turn(&self) -> Duration {
        let places = self.places.max(1);
        let step = self.step + self.per_request * places;
        self.read(self.usual_prompt) + step.mul_f64(self.usual_answer / f64::from(places))
    }

    /// Time until the first event of a request.
    ///
    /// `in_system` requests are at the engine already, and `unread` prompt tokens wait to be read.
    pub fn first_event(&self, in_system: u32, unread: f64, prompt: f64) -> Duration {
        let pass = self.pass(in_system + 1);
        let ahead = (in_system + 1).saturating_sub(self.places);
        // A request arrives half a pass before the next look at new work, on average.
        pass / 2 + self.read(unread + prompt) + pass + self.turn() * ahead
    }
}
