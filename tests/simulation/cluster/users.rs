//! The users of the simulated cluster, who submit, poll and cancel jobs.

use super::*;

/// The sender of a request to a controller.
#[derive(Clone)]
pub(super) enum Requester {
    /// A user, by index.
    User { user: usize, request: RequestKind },
    /// A user who sent an invalid job, with the status that the response must have unless the controller can't decide
    /// yet.
    InvalidJob { expected: u16 },
    /// A worker, by the heartbeat that it sent.
    Worker(HeartbeatRequest),
    /// An operator, by the number of the request.
    Operator(usize),
}

/// A heartbeat that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct HeartbeatRequest {
    pub(super) machine: String,
    pub(super) agent_epoch: AgentEpoch,
    pub(super) sequence_number: u64,
    pub(super) sent: Duration,
}

/// What a user requests for its job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// A user and its only job.
pub(super) struct User {
    pub(super) job: JobId,
    pub(super) body: Vec<u8>,
    pub(super) submit_at: Duration,
    pub(super) cancel_at: Option<Duration>,
    pub(super) next_request_at: Duration,
    /// The request without a response and when it times out.
    pub(super) pending: Option<(RequestKind, Duration)>,
    /// Whether it at times submits the job again after the job has ended.
    pub(super) resubmits: bool,
}

/// The time between two polls of a user.
pub(super) const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A team without a guarantee and without a limit.
pub const GUESTS: &str = "guests";

/// The settings of `GUESTS`.
pub(super) fn guest_team() -> TeamLimits {
    let unlimited = f64::INFINITY;
    TeamLimits {
        name: GUESTS.into(),
        guaranteed_cpus: 0.0,
        max_cpus: unlimited,
        guaranteed_gpus: 0.0,
        max_gpus: unlimited,
    }
}

/// An array of one task that is allowed on all machines.
pub fn array(class: &str, team: &str, priority: Priority) -> Job {
    Job {
        class: class.into(),
        team: team.into(),
        kind: JobKind::Array,
        priority,
        tasks: 1,
        need: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img-0".into(),
        image_gb: 1.0,
        estimate_s: 5.0,
        checkpoint_every_s: 0.0,
        checkpoint_s: 0.0,
        deadline_s: None,
        accepted_ms: 0,
    }
}

/// The body of the request that submits a job.
pub(super) fn encode_submission(id: JobId, job: &Job) -> Vec<u8> {
    use ciborium::Value;
    let kind = match job.kind {
        JobKind::Service => "service",
        JobKind::Array => "sweep",
        JobKind::Gang => "ensemble",
    };
    let priority = match job.priority {
        Priority::Production => "prod",
        Priority::High => "high",
        Priority::Standard => "standard",
        Priority::Low => "low",
    };
    let types = job.types.as_ref().map_or(Value::Null, |types| {
        Value::Array(types.iter().map(|name| Value::from(&*name.0)).collect())
    });
    let fields: Vec<(&str, Value)> = vec![
        ("id", id.to_string().into()),
        ("docket", (&*job.class).into()),
        ("desk", (&*job.team.0).into()),
        ("shape", kind.into()),
        ("precedence", priority.into()),
        ("entries", job.tasks.into()),
        ("cpus", job.need.cpus.into()),
        ("cards", 0.0.into()),
        ("ramGb", job.need.memory_gb.into()),
        ("bundle", (&*job.image.0).into()),
        ("imageGb", job.image_gb.into()),
        ("berthKinds", types),
        (
            "wing",
            job.zone
                .as_ref()
                .map_or(Value::Null, |zone| Value::from(&*zone.0)),
        ),
        ("samePlace", job.one_zone.into()),
        ("scatter", job.spread.into()),
        ("loaner", job.spot.into()),
        ("expectS", job.estimate_s.into()),
        ("stampEveryS", job.checkpoint_every_s.into()),
        ("stampS", job.checkpoint_s.into()),
    ];
    let map = fields
        .into_iter()
        .map(|(key, value)| (key.into(), value))
        .collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Map(map), &mut bytes).expect("writing to memory can't fail");
    bytes
}

impl SimulatedCluster {
    /// The state of all gangs.
    pub fn gangs(&self) -> &Gangs {
        &self.gangs
    }

    /// Adds a user who submits a gang now.
    pub fn add_gang(&mut self, job: Job) -> JobId {
        self.add_job(job, None)
    }

    /// Adds a user with a random job, submitted at a random time.
    pub(super) fn add_user(&mut self, n: usize) {
        // The ids don't follow the order of submission.
        let id = JobId(n as u64 * 37 % 1000 + 1000 * (1 + n as u64 / 1000));
        let rng = &mut self.rng;
        let service = rng.random_bool(0.3);
        let zone = ZONES[rng.random_range(0..CONTROLLERS)];
        let team = if rng.random_bool(0.5) { "red" } else { "blue" };
        let (class, priority) = if service {
            ("service", Priority::Production)
        } else {
            ("array", Priority::Standard)
        };
        let job = Job {
            kind: if service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            tasks: if service {
                rng.random_range(1..4)
            } else {
                rng.random_range(1..self.size.tasks)
            },
            need: Resources {
                cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
                gpus: 0.0,
                memory_gb: 2.0,
            },
            types: rng.random_bool(0.2).then(|| vec!["large".into()]),
            zone: rng.random_bool(0.1).then(|| Zone::from(zone)),
            one_zone: rng.random_bool(0.1),
            spread: service,
            spot: !service,
            image: format!("img-{}", rng.random_range(0..3)).as_str().into(),
            ..array(class, team, priority)
        };
        let mut job = job;
        if job.spread {
            // Spread tasks can't all run in one zone, so that this combination could never be satisfied.
            job.one_zone = false;
            job.zone = None;
        }
        let last_submit_s = self.faults_end.as_secs_f64().max(20.0);
        let submit_at = Duration::from_secs_f64(rng.random_range(0.0..last_submit_s));
        let will_cancel = service || rng.random_bool(0.15);
        let cancel_at =
            will_cancel.then(|| submit_at + Duration::from_secs_f64(rng.random_range(0.5..70.0)));
        let body = encode_submission(id, &job);
        self.jobs.insert(id, job);
        self.users.push(User {
            job: id,
            body,
            submit_at,
            cancel_at,
            next_request_at: submit_at,
            pending: None,
            resubmits: rng.random_bool(0.3),
        });
    }

    /// Advances a user by one step: it sends a request if one is due.
    pub(super) fn step_user(&mut self, index: usize) {
        if !self.is_request_due(index) {
            return;
        }
        let now = self.now;
        let job = self.users[index].job;
        self.rules.asked(now, job);
        let reported = self.rules.reported_status(job);
        let request = self.choose_request(index, reported);
        let irregular =
            now < self.faults_end && self.rng.random_bool(self.faults.irregular_requests);
        let request = match reported {
            Some(ReportedStatus::Accepted) if irregular => RequestKind::Submit,
            Some(ReportedStatus::Done) if irregular => RequestKind::Cancel,
            _ => request,
        };
        if irregular {
            self.send_invalid_job(index);
        }
        self.user_requests += 1;
        let timeout_s = if request == RequestKind::Poll { 2 } else { 5 };
        self.users[index].pending = Some((request, now + Duration::from_secs(timeout_s)));
        match request {
            RequestKind::Submit => self.rules.submitted(job, self.jobs[&job].clone()),
            // A job that is done stays done when it is cancelled.
            RequestKind::Cancel if reported == Some(ReportedStatus::Done) => {}
            RequestKind::Cancel => self.rules.cancel_asked(job),
            RequestKind::Poll => {}
        }
        self.send_user_request(index, request);
    }

    /// Whether a user sends a request now: no response is pending and its pause has ended.
    fn is_request_due(&mut self, index: usize) -> bool {
        let now = self.now;
        let user = &mut self.users[index];
        if now < user.submit_at {
            return false;
        }
        if let Some((request, deadline)) = user.pending {
            if now < deadline {
                return false;
            }
            user.pending = None;
            let pause = if request == RequestKind::Poll {
                POLL_INTERVAL / self.request_rate_factor
            } else {
                Duration::from_secs(1)
            };
            user.next_request_at = now + pause;
        }
        now >= user.next_request_at
    }

    /// Chooses the next request of a user by the last status that it received.
    fn choose_request(&mut self, index: usize, reported: Option<ReportedStatus>) -> RequestKind {
        let user = &self.users[index];
        let cancel_due = user.cancel_at.is_some_and(|at| self.now >= at);
        match reported {
            None => RequestKind::Submit,
            Some(ReportedStatus::Accepted) if cancel_due => RequestKind::Cancel,
            Some(ReportedStatus::Accepted) => RequestKind::Poll,
            // Some jobs are submitted again long after their end.
            Some(_) if user.resubmits && self.rng.random_bool(0.3) => RequestKind::Submit,
            Some(_) => RequestKind::Poll,
        }
    }

    /// The event that a user's request causes at a controller.
    fn request_event(&self, index: usize, request: RequestKind, id: u64) -> Event {
        let user = &self.users[index];
        let job = user.job.to_string();
        match request {
            RequestKind::Submit => Event::Submit {
                id,
                body: user.body.clone(),
            },
            RequestKind::Poll => Event::Poll { id, job },
            RequestKind::Cancel => Event::Cancel { id, job },
        }
    }

    /// Sends a user's request to a random controller that is up, if there is one.
    fn send_user_request(&mut self, index: usize, request: RequestKind) {
        let running: Vec<usize> = (0..CONTROLLERS)
            .filter(|controller| self.slots[*controller].controller.is_some())
            .collect();
        if running.is_empty() {
            return;
        }
        let controller = running[self.rng.random_range(0..running.len())];
        let slot = &mut self.slots[controller];
        let id = slot.new_request();
        slot.pending_requests.insert(
            id,
            Requester::User {
                user: index,
                request,
            },
        );
        let process = self.process(controller);
        if let Some(duplicate_at) = self.draw_duplicate_time() {
            // The copy goes to any controller and its current process. Nobody waits for the response.
            let controller = self.rng.random_range(0..CONTROLLERS);
            if request != RequestKind::Poll {
                let event = Box::new(self.request_event(index, request, 0));
                self.schedule(
                    duplicate_at,
                    ClusterEvent::DuplicateRequest { controller, event },
                );
            }
        }
        let event = self.request_event(index, request, id);
        self.deliver_soon(process, event);
    }

    /// Submits a job that can't run or whose body is malformed, under an unused id.
    fn send_invalid_job(&mut self, index: usize) {
        let job = self.jobs[&self.users[index].job].clone();
        let id = JobId(500_000 + self.event_sequence);
        let with_cpus = |cpus: f64| Job {
            need: Resources { cpus, ..job.need },
            ..job.clone()
        };
        let (body, expected) = match self.rng.random_range(0..4) {
            0 => {
                let unknown_team = Job {
                    team: "nobody".into(),
                    ..job.clone()
                };
                (encode_submission(id, &unknown_team), 422)
            }
            1 => (encode_submission(id, &with_cpus(17.0)), 422),
            2 => (encode_submission(id, &with_cpus(-1.0)), 400),
            _ => {
                let mut body = encode_submission(id, &job);
                body.truncate(body.len() / 2);
                (body, 400)
            }
        };
        let controller = self.rng.random_range(0..CONTROLLERS);
        let slot = &mut self.slots[controller];
        if slot.controller.is_none() {
            return;
        }
        let id = slot.new_request();
        slot.pending_requests
            .insert(id, Requester::InvalidJob { expected });
        let process = self.process(controller);
        self.deliver_soon(process, Event::Submit { id, body });
    }

    /// Delivers the response to a user's request.
    pub(super) fn user_response_arrives(
        &mut self,
        index: usize,
        request: RequestKind,
        response: &Response,
    ) {
        let now = self.now;
        let user = &mut self.users[index];
        if user.pending.is_none_or(|(pending, _)| pending != request) {
            // The request has timed out.
            return;
        }
        user.pending = None;
        user.next_request_at = now
            + if request == RequestKind::Poll {
                POLL_INTERVAL / self.request_rate_factor
            } else {
                Duration::from_secs(2)
            };
        let job = user.job;
        match response {
            Response::State { state, .. } => {
                self.rules.status_reported(now, job, Some(state.status))
            }
            Response::Problem { status: 404, .. } => self.rules.status_reported(now, job, None),
            Response::Problem {
                status: status @ (400 | 422),
                ..
            } => self.rules.refused(now, job, *status),
            Response::Problem { retry_after, .. } => {
                assert!(retry_after.is_some(), "a refusal has no Retry-After");
                if request != RequestKind::Poll {
                    self.users[index].next_request_at =
                        now + retry_after.unwrap_or_default().max(Duration::from_secs(1));
                }
            }
        }
    }

    /// Adds a user of the team `GUESTS` who submits an array now.
    pub fn add_guests_job(&mut self, tasks: u32, cpus: f64) -> JobId {
        let job = Job {
            tasks,
            need: Resources {
                cpus,
                gpus: 0.0,
                memory_gb: 1.0,
            },
            ..array(GUESTS, GUESTS, Priority::Low)
        };
        self.add_job(job, None)
    }

    /// Adds a user who now submits an array whose tasks fail on every machine and cancels it after this time.
    pub fn add_broken_job(&mut self, tasks: u32, cancel_after: Duration) -> JobId {
        let job = Job {
            tasks,
            ..array(FAILING_CLASS, "red", Priority::Standard)
        };
        self.add_job(job, Some(self.now + cancel_after))
    }

    /// Adds a user who submits this job now and cancels it at this time.
    pub fn add_job(&mut self, job: Job, cancel_at: Option<Duration>) -> JobId {
        let id = JobId(900_000 + self.users.len() as u64);
        let body = encode_submission(id, &job);
        self.jobs.insert(id, job);
        let now = self.now;
        self.users.push(User {
            job: id,
            body,
            submit_at: now,
            cancel_at,
            next_request_at: now,
            pending: None,
            resubmits: false,
        });
        id
    }

    /// A job that a user has submitted or will submit.
    pub fn job(&self, id: JobId) -> &Job {
        &self.jobs[&id]
    }

    /// Removes the zone constraints of all jobs.
    pub fn unbind_jobs(&mut self) {
        for user in &mut self.users {
            if let Some(job) = self.jobs.get_mut(&user.job) {
                job.one_zone = false;
                job.zone = None;
                user.body = encode_submission(user.job, job);
            }
        }
    }

    /// Binds all arrays to one zone. Every other one is bound to a given zone, the rest may choose.
    pub fn bind_jobs(&mut self) {
        for (n, user) in self.users.iter_mut().enumerate() {
            let Some(job) = self
                .jobs
                .get_mut(&user.job)
                .filter(|job| job.kind == JobKind::Array)
            else {
                continue;
            };
            job.one_zone = n.is_multiple_of(2);
            job.zone = (!job.one_zone).then(|| ZONES[n % CONTROLLERS].into());
            user.body = encode_submission(user.job, job);
        }
    }

    /// Up to `count` accepted jobs with running tasks.
    pub fn running_jobs(&self, count: usize) -> Vec<JobId> {
        let is_running = |job: &JobId| {
            self.rules.reported_status(*job) == Some(ReportedStatus::Accepted)
                && !self.rules.machines_of(*job).is_empty()
        };
        self.users
            .iter()
            .map(|user| user.job)
            .filter(is_running)
            .take(count)
            .collect()
    }

    /// Makes users cancel up to `count` jobs with running tasks. Returns the jobs.
    pub fn cancel_now(&mut self, count: usize) -> Vec<JobId> {
        let jobs = self.running_jobs(count);
        for job in &jobs {
            self.cancel_job(*job);
        }
        jobs
    }

    /// Makes a user cancel its job now.
    pub(super) fn cancel_job(&mut self, job: JobId) {
        let now = self.now;
        if let Some(user) = self.users.iter_mut().find(|user| user.job == job) {
            user.cancel_at = Some(now);
            user.next_request_at = now;
            user.pending = None;
        }
    }
}
