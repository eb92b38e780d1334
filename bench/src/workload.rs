//! Event lists of the two deployments, drawn from a seed.

use std::sync::Arc;

use model::job::{JobRecord, JobSpec, JobState};
use model::name::{DomainName, QueueName, TeamName};
use model::object::{ClassKind, ObjectSet};
use model::resource::ResourceAmounts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};

/// Milliseconds of a task that does not end by itself.
pub const ENDLESS_MS: u64 = 1 << 50;

/// Jobs of one queue: how much they offer and how they are shaped.
#[derive(Clone, Copy, Debug)]
struct JobStream {
    queue: &'static str,
    /// Part of the fleet's processors that the jobs offer over the whole run.
    load: f64,
    /// Fewest and most tasks of a job; between them the number is Pareto distributed.
    tasks: (f64, f64),
    /// Median cores of a task.
    cores: f64,
    /// Median gibibytes a core.
    memory: f64,
    /// Median run time in seconds.
    run: f64,
}

/// Requests of one queue, as a part of all requests.
type RequestStream = (&'static str, f64);

/// A deployment of docs/design.md, section 1.1.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSpec {
    /// Name, as in tables.
    pub name: &'static str,
    config: &'static str,
    jobs: &'static [JobStream],
    requests: &'static [RequestStream],
    /// Queue whose work must be done by the [`MORNING`].
    pub dated: Option<&'static str>,
}

/// Part of the run after which dated work is late.
pub const MORNING: f64 = 0.9;

/// Both deployments.
pub const DEPLOYMENTS: [DeploymentSpec; 2] = [
    DeploymentSpec {
        name: "meskel",
        config: include_str!("../../examples/meskel.json"),
        jobs: &[
            stream("quarterly", 0.38, (8.0, 120.0), 3.0, 3.2, 150.0),
            stream("quarterly-gang", 0.08, (8.0, 24.0), 2.0, 3.2, 120.0),
            stream("north-quarterly", 0.16, (4.0, 60.0), 2.0, 3.2, 100.0),
            stream("weekly", 0.30, (1.0, 16.0), 1.0, 3.2, 30.0),
            stream("surveys", 0.08, (6.0, 16.0), 1.5, 3.2, 0.0),
        ],
        requests: &[("answer-sheets", 0.85), ("audit-sheets", 0.15)],
        dated: None,
    },
    DeploymentSpec {
        name: "dunmore",
        config: include_str!("../../examples/dunmore.json"),
        jobs: &[
            stream("keepsake-letters", 0.43, (1.0, 40.0), 1.0, 1.6, 45.0),
            stream("school-letters", 0.22, (4.0, 60.0), 1.5, 1.6, 60.0),
            stream("class-batches", 0.15, (4.0, 24.0), 1.5, 1.6, 90.0),
            stream("north-class-batches", 0.12, (4.0, 16.0), 1.5, 1.6, 90.0),
            stream("letters", 0.08, (4.0, 12.0), 1.0, 1.6, 0.0),
        ],
        requests: &[("reply-notes", 0.85), ("open-notes", 0.15)],
        dated: Some("keepsake-letters"),
    },
];

const fn stream(
    queue: &'static str,
    load: f64,
    tasks: (f64, f64),
    cores: f64,
    memory: f64,
    run: f64,
) -> JobStream {
    JobStream { queue, load, tasks, cores, memory, run }
}

/// A job with what its tasks really use.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Submission, in milliseconds.
    pub at: u64,
    /// The job as it is declared.
    pub record: Arc<JobRecord>,
    /// What each task really uses.
    pub actual: ResourceAmounts,
    /// Milliseconds that each task really runs when it gets what it uses.
    pub runs: Vec<u64>,
    /// Position of the domain to which it is submitted.
    pub domain: usize,
    /// Kind of its class.
    pub kind: ClassKind,
    /// Position of its urgency, from 0 for urgent work.
    pub urgency: usize,
}

/// A request for which a person waits.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Arrival, in milliseconds.
    pub at: u64,
    /// Queue.
    pub queue: QueueName,
    /// Milliseconds that the worker takes.
    pub service_ms: u64,
    /// Position of the domain at which it arrives.
    pub domain: usize,
}

/// A worker that fails everything for some time.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFault {
    /// Position in the configuration.
    pub worker: usize,
    /// From when on, in milliseconds.
    pub from: u64,
    /// Until when, in milliseconds.
    pub until: u64,
}

/// Everything that happens in one run, apart from decisions.
#[derive(Clone, Debug)]
pub struct WorkloadList {
    /// Name of the deployment.
    pub name: &'static str,
    /// Queue whose work must be done by the [`MORNING`].
    pub dated: Option<QueueName>,
    /// Milliseconds of the run.
    pub horizon: u64,
    /// Configuration.
    pub set: Arc<ObjectSet>,
    /// Jobs, in order of submission.
    pub jobs: Vec<JobPlan>,
    /// Requests, in order of arrival.
    pub requests: Vec<RequestPlan>,
    /// Bursts of cancellations: instant, and positions of jobs.
    pub cancels: Vec<(u64, Vec<usize>)>,
    /// Workers that fail everything.
    pub faults: Vec<WorkerFault>,
    /// Domain that is taken out at a third of the run and returns at two thirds.
    pub outage: usize,
}

/// Draws the lists of one deployment.
struct WorkloadDraw {
    rng: StdRng,
    set: ObjectSet,
    horizon: u64,
    /// Processors of each domain.
    weights: Vec<u64>,
}

impl WorkloadList {
    /// Builds the lists of a deployment for a run of `horizon` milliseconds.
    ///
    /// # Panics
    /// If the configuration of the deployment, which is compiled in, is not valid.
    #[must_use]
    pub fn build(spec: &DeploymentSpec, seed: u64, horizon: u64) -> Self {
        let set: ObjectSet = serde_json::from_str(spec.config).expect("compiled-in configuration");
        let weights = set.domains.iter().map(|domain| capacity_of(&set, &domain.name).cpu_millis);
        let weights: Vec<u64> = weights.collect();
        let mut draw = WorkloadDraw { rng: StdRng::seed_from_u64(seed), set, horizon, weights };
        let mut jobs: Vec<JobPlan> =
            spec.jobs.iter().flat_map(|stream| draw.jobs_of(stream)).collect();
        jobs.sort_by_key(|job| job.at);
        let requests = draw.requests(spec.requests);
        let cancels = draw.cancels(&jobs);
        let faults = draw.faults();
        let outage = draw.rng.random_range(0..draw.weights.len());
        Self {
            name: spec.name,
            dated: spec.dated.map(QueueName::from),
            horizon,
            set: Arc::new(draw.set),
            jobs,
            requests,
            cancels,
            faults,
            outage,
        }
    }
}

/// Returns what the workers of a domain offer together.
#[must_use]
pub fn capacity_of(set: &ObjectSet, domain: &DomainName) -> ResourceAmounts {
    let mine = set.workers.iter().filter(|worker| worker.domain == *domain);
    mine.fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.capacity))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "all amounts are positive and far below 2^52"
)]
impl WorkloadDraw {
    fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        let shape = LogNormal::new(median.ln(), sigma).expect("positive sigma");
        shape.sample(&mut self.rng)
    }

    /// Returns the error of a declaration, from 0.3 to 3.
    fn error(&mut self) -> f64 {
        self.rng.random_range(0.3_f64.ln()..3.0_f64.ln()).exp()
    }

    fn domain(&mut self) -> usize {
        let total: u64 = self.weights.iter().sum();
        let mut left = self.rng.random_range(0..total);
        for (index, weight) in self.weights.iter().enumerate() {
            if left < *weight {
                return index;
            }
            left -= weight;
        }
        0
    }

    /// Draws jobs until they offer the load of their stream.
    fn jobs_of(&mut self, stream: &JobStream) -> Vec<JobPlan> {
        let total: u64 = self.weights.iter().sum();
        let endless = stream.run == 0.0;
        let span = if endless { 1.0 } else { self.horizon as f64 };
        let mut budget = stream.load * total as f64 * span;
        let mut jobs = Vec::new();
        while budget > 0.0 {
            let job = self.job(stream, jobs.len());
            let run: u64 = if endless { job.runs.len() as u64 } else { job.runs.iter().sum() };
            budget -= run as f64 * job.actual.cpu_millis as f64;
            jobs.push(job);
        }
        jobs
    }

    fn job(&mut self, stream: &JobStream, number: usize) -> JobPlan {
        let queue = QueueName::from(stream.queue);
        let object = self.set.queues.iter().find(|object| object.name == queue);
        let object = object.expect("queue of the stream").clone();
        let class = self.set.classes.iter().find(|class| class.name == object.class);
        let class = class.expect("class of the queue").clone();
        let worker = self.set.workers[0].capacity;
        let cores = self.log_normal(stream.cores, 0.6).clamp(0.1, 14.0);
        let memory = cores * self.log_normal(stream.memory, 0.4) * 1024.0;
        let actual = ResourceAmounts {
            cpu_millis: (cores * 1000.0) as u64,
            memory_mb: (memory as u64).clamp(64, worker.memory_mb / 2),
            ..ResourceAmounts::ZERO
        };
        let shape = Pareto::new(stream.tasks.0, 1.3).expect("positive shape");
        let mut tasks = shape.sample(&mut self.rng).min(stream.tasks.1) as u64;
        let amounts = ResourceAmounts {
            cpu_millis: ((actual.cpu_millis as f64 * self.error()) as u64).min(28_000),
            memory_mb: ((actual.memory_mb as f64 * self.error()) as u64)
                .min(worker.memory_mb * 9 / 10),
            ..ResourceAmounts::ZERO
        };
        if class.kind == ClassKind::Gang {
            tasks = tasks.min(self.most_together(&object.team, amounts)).max(1);
        }
        let error = self.error();
        let median = self.log_normal(stream.run, 0.8).clamp(2.0, 900.0);
        let endless = stream.run == 0.0;
        let run = |draw: &mut Self| {
            if endless {
                ENDLESS_MS
            } else {
                (draw.log_normal(median, 0.3).min(1_200.0) * 1000.0) as u64
            }
        };
        let runs: Vec<u64> = (0..tasks).map(|_| run(self)).collect();
        let spec = JobSpec {
            id: format!("{}-{number}", stream.queue).into(),
            queue,
            tasks: tasks as u32,
            amounts,
            run_ms: if endless { 0 } else { (median * error * 1000.0) as u64 },
            payload: serde_json::Value::Null,
        };
        let domain = self.domain();
        let record = JobRecord {
            spec,
            team: object.team.clone(),
            domain: self.set.domains[domain].name.clone(),
            state: JobState::Accepted,
            done: Vec::new(),
        };
        // Services and a twelfth of the other jobs are there from the start, so
        // that the fleet is full from the first minute on.
        let early = endless || self.rng.random_range(0..12) == 0;
        let at = if early {
            self.rng.random_range(0..1000)
        } else {
            self.rng.random_range(0..self.horizon * 97 / 100)
        };
        JobPlan {
            at,
            record: Arc::new(record),
            actual,
            runs,
            domain,
            kind: class.kind,
            urgency: class.urgency as usize,
        }
    }

    /// Returns how many tasks of a gang fit the allotment of any one domain.
    fn most_together(&self, team: &TeamName, amounts: ResourceAmounts) -> u64 {
        let limit = self.set.limits.iter().find(|limit| limit.team == *team);
        let limit = limit.expect("limit of the team").amounts;
        let domains = self.weights.len() as u64;
        let parts = amounts.as_array().into_iter().zip(limit.as_array());
        let fits = parts.filter(|(amount, _)| *amount > 0);
        // Six tenths leave room for other work and for domains of unequal size.
        fits.map(|(amount, limit)| limit * 6 / 10 / domains / amount).min().unwrap_or(1)
    }

    /// Draws requests at a rate that changes every 20 s between 1/s and 100/s.
    fn requests(&mut self, streams: &[RequestStream]) -> Vec<RequestPlan> {
        let mut requests = Vec::new();
        let mut from = 0;
        while from < self.horizon {
            let rate = self.log_normal(15.0, 1.0).clamp(1.0, 100.0);
            let until = (from + 20_000).min(self.horizon);
            let count = (rate * (until - from) as f64 / 1000.0) as usize;
            for _ in 0..count {
                let at = self.rng.random_range(from..until);
                let first = self.rng.random_bool(streams[0].1);
                let queue = streams[usize::from(!first)].0.into();
                let service_ms = self.log_normal(250.0, 0.8).clamp(10.0, 8000.0) as u64;
                requests.push(RequestPlan { at, queue, service_ms, domain: self.domain() });
            }
            from = until;
        }
        requests.sort_by_key(|request| request.at);
        requests
    }

    /// Cancels a quarter of what one team submitted within a twelfth of the run, six times.
    fn cancels(&mut self, jobs: &[JobPlan]) -> Vec<(u64, Vec<usize>)> {
        let burst = |draw: &mut Self| {
            let at = draw.rng.random_range(draw.horizon / 10..draw.horizon);
            let team = draw.rng.random_range(0..draw.set.teams.len());
            let team = draw.set.teams[team].name.clone();
            let since = at.saturating_sub(draw.horizon / 12);
            let recent = jobs.iter().enumerate().filter(|(_, job)| {
                job.record.team == team
                    && job.kind != ClassKind::Service
                    && (since..at).contains(&job.at)
            });
            let chosen = recent.filter(|_| draw.rng.random_bool(0.25));
            (at, chosen.map(|(index, _)| index).collect())
        };
        (0..6).map(|_| burst(self)).collect()
    }

    fn faults(&mut self) -> Vec<WorkerFault> {
        let workers = self.set.workers.len();
        let fault = |draw: &mut Self| WorkerFault {
            worker: draw.rng.random_range(0..workers),
            from: draw.rng.random_range(draw.horizon / 20..draw.horizon / 5),
            until: draw.rng.random_range(draw.horizon * 7 / 10..draw.horizon * 9 / 10),
        };
        (0..3).map(|_| fault(self)).collect()
    }
}
