//! Traces of jobs, requests and faults for two deployments, drawn from a seed.

use std::sync::Arc;

use model::job::{JobRecord, JobSpec, JobState};
use model::name::{DomainName, QueueName, TeamName};
use model::object::{ClassKind, ObjectSet};
use model::resource::ResourceAmounts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};

/// Run time in milliseconds of a task of a service, which outlasts every run.
pub const ENDLESS_RUN_MS: u64 = 1 << 50;

/// Parameters of the jobs of one queue.
#[derive(Clone, Copy, Debug)]
struct JobStream {
    queue: &'static str,
    /// Fraction of the fleet's processors that the jobs would keep busy during the run.
    cpu_load: f64,
    /// Fewest and most tasks of a job; the number is Pareto distributed and cut off at
    /// the most.
    task_range: (f64, f64),
    /// Median number of cores that a task really uses.
    median_cores: f64,
    /// Median GiB of memory that a task really uses per core.
    median_gib_per_core: f64,
    /// Median run time of a task in seconds; 0 for a service, which runs until stopped.
    median_run_s: f64,
}

/// Name of a queue, and its fraction of all requests.
type RequestStream = (&'static str, f64);

/// A deployment with its configuration and load (docs/design.md, section 1.1).
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSpec {
    /// Name, as printed in tables and recorded.
    pub name: &'static str,
    config_json: &'static str,
    jobs: &'static [JobStream],
    requests: &'static [RequestStream],
    /// Queue whose tasks are due by the morning, see [`MORNING_FRACTION`].
    pub morning_queue: Option<&'static str>,
}

/// Fraction of a run after which the morning begins and work due by then is late.
pub const MORNING_FRACTION: f64 = 0.9;

/// All simulated deployments.
pub const DEPLOYMENTS: [DeploymentSpec; 2] = [
    DeploymentSpec {
        name: "meskel",
        config_json: include_str!("../../examples/meskel.json"),
        jobs: &[
            job_stream("quarterly", 0.38, (8.0, 120.0), 3.0, 3.2, 150.0),
            job_stream("quarterly-gang", 0.08, (8.0, 24.0), 2.0, 3.2, 120.0),
            job_stream("north-quarterly", 0.16, (4.0, 60.0), 2.0, 3.2, 100.0),
            job_stream("weekly", 0.30, (1.0, 16.0), 1.0, 3.2, 30.0),
            job_stream("surveys", 0.08, (6.0, 16.0), 1.5, 3.2, 0.0),
        ],
        requests: &[("answer-sheets", 0.85), ("audit-sheets", 0.15)],
        morning_queue: None,
    },
    DeploymentSpec {
        name: "dunmore",
        config_json: include_str!("../../examples/dunmore.json"),
        jobs: &[
            job_stream("keepsake-letters", 0.43, (1.0, 40.0), 1.0, 1.6, 45.0),
            job_stream("school-letters", 0.22, (4.0, 60.0), 1.5, 1.6, 60.0),
            job_stream("class-batches", 0.15, (4.0, 24.0), 1.5, 1.6, 90.0),
            job_stream("north-class-batches", 0.12, (4.0, 16.0), 1.5, 1.6, 90.0),
            job_stream("letters", 0.08, (4.0, 12.0), 1.0, 1.6, 0.0),
        ],
        requests: &[("reply-notes", 0.85), ("open-notes", 0.15)],
        morning_queue: Some("keepsake-letters"),
    },
];

const fn job_stream(
    queue: &'static str,
    cpu_load: f64,
    task_range: (f64, f64),
    median_cores: f64,
    median_gib_per_core: f64,
    median_run_s: f64,
) -> JobStream {
    JobStream { queue, cpu_load, task_range, median_cores, median_gib_per_core, median_run_s }
}

/// A job of a trace, with what its tasks declare and what they really use.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// When it is submitted, on the virtual clock.
    pub submitted_at_ms: u64,
    /// The job as its caller declares it.
    pub record: Arc<JobRecord>,
    /// What each task really uses.
    pub actual_usage: ResourceAmounts,
    /// Milliseconds that each task really runs on a worker that is not overloaded.
    pub task_run_ms: Vec<u64>,
    /// Index of the domain to which it is submitted.
    pub domain_index: usize,
    /// Kind of its class, such as batch or service.
    pub class_kind: ClassKind,
    /// Index of its urgency; 0 is the most urgent.
    pub urgency_index: usize,
}

/// A request of a trace, for which a person waits.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// When it arrives, on the virtual clock.
    pub arrives_at_ms: u64,
    /// Queue through which it arrives.
    pub queue: QueueName,
    /// Milliseconds that a worker takes to serve it.
    pub service_ms: u64,
    /// Index of the domain at which it arrives.
    pub domain_index: usize,
}

/// A period in which a worker fails every task and request.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFault {
    /// Index of the worker in the configuration.
    pub worker_index: usize,
    /// Start of the period, on the virtual clock.
    pub from_ms: u64,
    /// End of the period, on the virtual clock.
    pub until_ms: u64,
}

/// Everything that happens in a run independently of the decisions of the policy.
#[derive(Clone, Debug)]
pub struct WorkloadTrace {
    /// Name of the deployment.
    pub name: &'static str,
    /// Queue whose tasks are due by the morning, see [`MORNING_FRACTION`].
    pub morning_queue: Option<QueueName>,
    /// Simulated milliseconds of the run.
    pub horizon_ms: u64,
    /// Configuration of the deployment.
    pub config: Arc<ObjectSet>,
    /// Jobs, in order of submission.
    pub jobs: Vec<TraceJob>,
    /// Requests, in order of arrival.
    pub requests: Vec<TraceRequest>,
    /// Bursts of cancellations: instant in milliseconds, and indices of the jobs.
    pub cancellations: Vec<(u64, Vec<usize>)>,
    /// Periods in which workers fail everything.
    pub faults: Vec<WorkerFault>,
    /// Index of the domain that, in runs with an outage, is out of service from a third
    /// to two thirds of the run.
    pub outage_domain: usize,
}

/// Draws the trace of one deployment from a seeded random number generator.
struct TraceGenerator {
    rng: StdRng,
    config: ObjectSet,
    horizon_ms: u64,
    /// Processor capacity of each domain in thousandths of a core.
    domain_cpu_millis: Vec<u64>,
}

impl WorkloadTrace {
    /// Builds the trace of a deployment for a run of `horizon_ms` simulated milliseconds.
    ///
    /// # Panics
    /// If the configuration of the deployment, which is compiled in, is not valid.
    #[must_use]
    pub fn build(spec: &DeploymentSpec, seed: u64, horizon_ms: u64) -> Self {
        let config: ObjectSet =
            serde_json::from_str(spec.config_json).expect("the compiled-in configuration is valid");
        let domain_cpu_millis =
            config.domains.iter().map(|domain| domain_capacity(&config, &domain.name).cpu_millis);
        let domain_cpu_millis: Vec<u64> = domain_cpu_millis.collect();
        let mut generator = TraceGenerator {
            rng: StdRng::seed_from_u64(seed),
            config,
            horizon_ms,
            domain_cpu_millis,
        };
        let mut jobs: Vec<TraceJob> =
            spec.jobs.iter().flat_map(|stream| generator.draw_jobs(stream)).collect();
        jobs.sort_by_key(|job| job.submitted_at_ms);
        let requests = generator.draw_requests(spec.requests);
        let cancellations = generator.draw_cancellations(&jobs);
        let faults = generator.draw_faults();
        let outage_domain = generator.rng.random_range(0..generator.domain_cpu_millis.len());
        Self {
            name: spec.name,
            morning_queue: spec.morning_queue.map(QueueName::from),
            horizon_ms,
            config: Arc::new(generator.config),
            jobs,
            requests,
            cancellations,
            faults,
            outage_domain,
        }
    }
}

/// Returns the total capacity of the workers of a domain.
#[must_use]
pub fn domain_capacity(config: &ObjectSet, domain: &DomainName) -> ResourceAmounts {
    let domain_workers = config.workers.iter().filter(|worker| worker.domain == *domain);
    domain_workers.fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.capacity))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "all amounts are positive and far below 2^52"
)]
impl TraceGenerator {
    fn draw_log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        let shape = LogNormal::new(median.ln(), sigma).expect("sigma is positive");
        shape.sample(&mut self.rng)
    }

    /// Returns the ratio of a declared to a real amount, from 0.3 to 3, log-uniform.
    fn draw_declaration_error(&mut self) -> f64 {
        self.rng.random_range(0.3_f64.ln()..3.0_f64.ln()).exp()
    }

    /// Returns the index of a domain, with probabilities in proportion to its processors.
    fn draw_domain(&mut self) -> usize {
        let total_cpu_millis: u64 = self.domain_cpu_millis.iter().sum();
        let mut remaining = self.rng.random_range(0..total_cpu_millis);
        for (domain_index, cpu_millis) in self.domain_cpu_millis.iter().enumerate() {
            if remaining < *cpu_millis {
                return domain_index;
            }
            remaining -= cpu_millis;
        }
        0
    }

    /// Draws jobs until together they reach the processor load of their stream.
    fn draw_jobs(&mut self, stream: &JobStream) -> Vec<TraceJob> {
        let total_cpu_millis: u64 = self.domain_cpu_millis.iter().sum();
        let is_service = stream.median_run_s == 0.0;
        // The load of a service is a fraction of the processors, since it runs all the
        // time; that of other jobs is a fraction of the processor time of the run.
        let time_factor = if is_service { 1.0 } else { self.horizon_ms as f64 };
        let mut remaining_load = stream.cpu_load * total_cpu_millis as f64 * time_factor;
        let mut jobs = Vec::new();
        while remaining_load > 0.0 {
            let job = self.draw_job(stream, jobs.len());
            let job_time: u64 = if is_service {
                job.task_run_ms.len() as u64
            } else {
                job.task_run_ms.iter().sum()
            };
            remaining_load -= job_time as f64 * job.actual_usage.cpu_millis as f64;
            jobs.push(job);
        }
        jobs
    }

    /// Draws a job with its real and declared amounts, run times, domain and submission.
    fn draw_job(&mut self, stream: &JobStream, job_number: usize) -> TraceJob {
        let queue = QueueName::from(stream.queue);
        let queue_object = self.config.queues.iter().find(|object| object.name == queue);
        let queue_object = queue_object.expect("the queue of the stream is configured").clone();
        let class = self.config.classes.iter().find(|class| class.name == queue_object.class);
        let class = class.expect("the class of the queue is configured").clone();
        let worker_capacity = self.config.workers[0].capacity;
        let cores = self.draw_log_normal(stream.median_cores, 0.6).clamp(0.1, 14.0);
        let memory_mb = cores * self.draw_log_normal(stream.median_gib_per_core, 0.4) * 1024.0;
        let actual_usage = ResourceAmounts {
            cpu_millis: (cores * 1000.0) as u64,
            memory_mb: (memory_mb as u64).clamp(64, worker_capacity.memory_mb / 2),
            ..ResourceAmounts::ZERO
        };
        let task_counts =
            Pareto::new(stream.task_range.0, 1.3).expect("scale and shape are positive");
        let mut task_count = task_counts.sample(&mut self.rng).min(stream.task_range.1) as u64;
        let declared_amounts = ResourceAmounts {
            cpu_millis: ((actual_usage.cpu_millis as f64 * self.draw_declaration_error()) as u64)
                .min(28_000),
            memory_mb: ((actual_usage.memory_mb as f64 * self.draw_declaration_error()) as u64)
                .min(worker_capacity.memory_mb * 9 / 10),
            ..ResourceAmounts::ZERO
        };
        if class.kind == ClassKind::Gang {
            task_count =
                task_count.min(self.max_gang_tasks(&queue_object.team, declared_amounts)).max(1);
        }
        let run_time_error = self.draw_declaration_error();
        let median_s = self.draw_log_normal(stream.median_run_s, 0.8).clamp(2.0, 900.0);
        let is_service = stream.median_run_s == 0.0;
        let draw_run_ms = |generator: &mut Self| {
            if is_service {
                ENDLESS_RUN_MS
            } else {
                (generator.draw_log_normal(median_s, 0.3).min(1_200.0) * 1000.0) as u64
            }
        };
        let task_run_ms: Vec<u64> = (0..task_count).map(|_| draw_run_ms(self)).collect();
        let spec = JobSpec {
            id: format!("{}-{job_number}", stream.queue).into(),
            queue,
            tasks: task_count as u32,
            amounts: declared_amounts,
            run_ms: if is_service { 0 } else { (median_s * run_time_error * 1000.0) as u64 },
            payload: serde_json::Value::Null,
        };
        let domain_index = self.draw_domain();
        let record = JobRecord {
            spec,
            team: queue_object.team.clone(),
            domain: self.config.domains[domain_index].name.clone(),
            state: JobState::Accepted,
            done: Vec::new(),
        };
        // Services and a twelfth of the other jobs are submitted in the first second,
        // so that the fleet is full from the first minute on.
        let is_early = is_service || self.rng.random_range(0..12) == 0;
        let submitted_at_ms = if is_early {
            self.rng.random_range(0..1000)
        } else {
            self.rng.random_range(0..self.horizon_ms * 97 / 100)
        };
        TraceJob {
            submitted_at_ms,
            record: Arc::new(record),
            actual_usage,
            task_run_ms,
            domain_index,
            class_kind: class.kind,
            urgency_index: class.urgency as usize,
        }
    }

    /// Returns how many tasks a gang may have to fit into the allotment of any one domain.
    fn max_gang_tasks(&self, team: &TeamName, task_amounts: ResourceAmounts) -> u64 {
        let limit = self.config.limits.iter().find(|limit| limit.team == *team);
        let limit = limit.expect("every team with gangs has a limit").amounts;
        let domain_count = self.domain_cpu_millis.len() as u64;
        let resources = task_amounts.as_array().into_iter().zip(limit.as_array());
        let limiting = resources.filter(|(amount, _)| *amount > 0);
        // Six tenths of an equal part of the limit leave room for other work and for
        // domains of unequal size.
        limiting.map(|(amount, limit)| limit * 6 / 10 / domain_count / amount).min().unwrap_or(1)
    }

    /// Draws requests of two queues; their rate changes every 20 s and lies between 1/s
    /// and 100/s.
    fn draw_requests(&mut self, streams: &[RequestStream]) -> Vec<TraceRequest> {
        let mut requests = Vec::new();
        let mut from_ms = 0;
        while from_ms < self.horizon_ms {
            let requests_per_s = self.draw_log_normal(15.0, 1.0).clamp(1.0, 100.0);
            let until_ms = (from_ms + 20_000).min(self.horizon_ms);
            let count = (requests_per_s * (until_ms - from_ms) as f64 / 1000.0) as usize;
            for _ in 0..count {
                let arrives_at_ms = self.rng.random_range(from_ms..until_ms);
                let is_first = self.rng.random_bool(streams[0].1);
                let queue = streams[usize::from(!is_first)].0.into();
                let service_ms = self.draw_log_normal(250.0, 0.8).clamp(10.0, 8000.0) as u64;
                requests.push(TraceRequest {
                    arrives_at_ms,
                    queue,
                    service_ms,
                    domain_index: self.draw_domain(),
                });
            }
            from_ms = until_ms;
        }
        requests.sort_by_key(|request| request.arrives_at_ms);
        requests
    }

    /// Draws six bursts; each cancels a quarter of the jobs, services excepted, that one
    /// team submitted in the last twelfth of the run before the burst.
    fn draw_cancellations(&mut self, jobs: &[TraceJob]) -> Vec<(u64, Vec<usize>)> {
        let draw_burst = |generator: &mut Self| {
            let at_ms = generator.rng.random_range(generator.horizon_ms / 10..generator.horizon_ms);
            let team = generator.rng.random_range(0..generator.config.teams.len());
            let team = generator.config.teams[team].name.clone();
            let since_ms = at_ms.saturating_sub(generator.horizon_ms / 12);
            let recent = jobs.iter().enumerate().filter(|(_, job)| {
                job.record.team == team
                    && job.class_kind != ClassKind::Service
                    && (since_ms..at_ms).contains(&job.submitted_at_ms)
            });
            let chosen = recent.filter(|_| generator.rng.random_bool(0.25));
            (at_ms, chosen.map(|(job_index, _)| job_index).collect())
        };
        (0..6).map(|_| draw_burst(self)).collect()
    }

    /// Draws three periods of faults, which begin early and end late in the run.
    fn draw_faults(&mut self) -> Vec<WorkerFault> {
        let workers = self.config.workers.len();
        let draw_fault = |generator: &mut Self| WorkerFault {
            worker_index: generator.rng.random_range(0..workers),
            from_ms: generator
                .rng
                .random_range(generator.horizon_ms / 20..generator.horizon_ms / 5),
            until_ms: generator
                .rng
                .random_range(generator.horizon_ms * 7 / 10..generator.horizon_ms * 9 / 10),
        };
        (0..3).map(|_| draw_fault(self)).collect()
    }
}
