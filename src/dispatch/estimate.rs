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
    pub prefill_rate: f64,
    /// Token steps that run before the engine looks at new work.
    pub steps_per_pass: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Mean prompt in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer in tokens.
    pub mean_answer_tokens: f64,
    /// Layers of the model.
    pub layers: u32,
}

impl EngineModel {
    /// Time of one pass, between two looks at new work, with `running` requests.
    pub fn pass_duration(&self, running: u32) -> Duration {
        let running = running.min(self.slots);
        (self.step + self.per_request * running) * self.steps_per_pass.max(1)
    }

    /// Time to read a prompt.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_rate.max(1.0))
    }

    /// Time to write an answer while all places are taken.
    pub fn decode_time(&self, tokens: f64) -> Duration {
        (self.step + self.per_request * self.slots).mul_f64(tokens.max(0.0))
    }

    /// Mean time between two ends of requests while all places are taken.
    pub fn completion_interval(&self) -> Duration {
        let slots = self.slots.max(1);
        let step = self.step + self.per_request * slots;
        self.prefill_time(self.mean_prompt_tokens)
            + step.mul_f64(self.mean_answer_tokens / f64::from(slots))
    }

    /// Time until the first event of a request.
    ///
    /// `in_system` requests are at the engine already, and `unread` prompt tokens wait to be read.
    pub fn time_to_first_event(&self, in_system: u32, unread: f64, prompt: f64) -> Duration {
        let pass = self.pass_duration(in_system + 1);
        let ahead = (in_system + 1).saturating_sub(self.slots);
        // A request arrives half a pass before the next look at new work, on average.
        pass / 2 + self.prefill_time(unread + prompt) + pass + self.completion_interval() * ahead
    }
}
