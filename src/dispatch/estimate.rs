//! Prediction of an engine's time to the first event.

use std::time::Duration;

/// Performance model of an engine with continuous batching, as declared by the operator.
///
/// An engine admits new requests between passes of [`Self::steps_per_pass`] token steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Fixed time of one token step.
    pub step: Duration,
    /// Additional time of a token step for each running request.
    pub per_request: Duration,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Token steps between two admissions of new requests.
    pub steps_per_pass: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Mean prompt length in tokens.
    pub mean_prompt_tokens: f64,
    /// Mean answer length in tokens.
    pub mean_answer_tokens: f64,
    /// Number of layers of the model.
    pub layers: u32,
}

impl EngineModel {
    /// Duration of one pass (the token steps between two admissions) with `running` requests.
    pub fn pass_duration(&self, running: u32) -> Duration {
        let running = running.min(self.slots);
        (self.step + self.per_request * running) * self.steps_per_pass.max(1)
    }

    /// Time to process a prompt of `tokens` tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.prefill_rate.max(1.0))
    }

    /// Time to generate an answer of `tokens` tokens while all slots are in use.
    pub fn decode_time(&self, tokens: f64) -> Duration {
        (self.step + self.per_request * self.slots).mul_f64(tokens.max(0.0))
    }

    /// Mean time between two completions while all slots are in use.
    pub fn completion_interval(&self) -> Duration {
        let slots = self.slots.max(1);
        let step = self.step + self.per_request * slots;
        self.prefill_time(self.mean_prompt_tokens)
            + step.mul_f64(self.mean_answer_tokens / f64::from(slots))
    }

    /// Predicted time to the first event of a new request.
    ///
    /// `in_system` is the number of requests running or queued at the engine, `pending_prefill` the
    /// number of their prompt tokens that it has yet to process, and `prompt` the number of prompt
    /// tokens of the new request.
    pub fn time_to_first_event(
        &self,
        in_system: u32,
        pending_prefill: f64,
        prompt: f64,
    ) -> Duration {
        let with_new = in_system.saturating_add(1);
        let pass = self.pass_duration(with_new);
        let ahead = with_new.saturating_sub(self.slots);
        // On average a request arrives half a pass before the engine's next admission.
        pass / 2
            + self.prefill_time(pending_prefill + prompt)
            + pass
            + self.completion_interval() * ahead
    }
}
