#include "tests/SchedulerHarness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "base/Clock.h"
#include "base/Hash.h"
#include "standins/WorkerVerdict.h"

namespace dotterelcove::tests {
namespace {

constexpr int64_t kMemoryMb = 8'000;

template <class T>
T MustStart(const std::function<Result<T>()>& start) {
  return leaf::try_handle_all(start, []() -> T {
    std::fprintf(stderr, "test harness: a component failed to start\n");
    std::abort();
  });
}

DaemonSettings MakeSettings(const std::string& process, uint16_t port,
                            const std::string& platform) {
  DaemonSettings settings;
  settings.process = process;
  settings.zone = "zone-1";
  settings.http = {"127.0.0.1", 0};
  settings.peer = {"127.0.0.1", port};
  settings.platform = {platform, platform, platform};
  // Shorter than the defaults to keep the tests short, but in the same order.
  settings.timing.owner_lease_ms = 400;
  settings.timing.owner_beat_ms = 100;
  settings.timing.standby_poll_ms = 100;
  settings.timing.commit_interval_ms = 5;
  settings.timing.worker_lease_ms = 1'600;
  settings.timing.max_routed_deadline_ms = 800;
  settings.timing.vm_list_poll_ms = 100;
  settings.timing.config_poll_ms = 1'000;
  settings.timing.store_timeout_ms = 300;
  settings.timing.heartbeat_ms = 100;
  settings.timing.peer_silence_ms = 600;
  return settings;
}

}  // namespace

uint16_t FreePort() {
  // Below the range that the kernel chooses from: another test that runs at the
  // same time would get the port between its choice and its use.
  constexpr uint16_t kFirstPort = 20'000;
  constexpr uint32_t kPorts = 12'000;
  constexpr uint32_t kPortsPerProcess = 16;
  static uint32_t next =
      static_cast<uint32_t>(getpid()) * kPortsPerProcess % kPorts;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPorts);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int bound =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(fd);
    if (bound == 0) return port;
  }
}

FakeEntry::FakeEntry(EventLoop& loop, const std::string& process,
                     const std::vector<std::string>& schedulers)
    : resend_timer(loop, [this] { this->ResendUnaccepted(); }) {
  PeerOptions options;
  options.process = process;
  options.incarnation = 1;
  options.dial = schedulers;
  options.heartbeat_ms = 100;
  options.peer_timeout_ms = 600;
  PeerCallbacks callbacks;
  callbacks.connected = [](const PeerInfo&) {};
  callbacks.disconnected = [this](const PeerInfo& peer, LinkEnd) {
    if (peer.link == this->owner) this->owner = 0;
  };
  callbacks.received = [this](const PeerInfo& peer, wire::FrameT& frame) {
    this->OnFrame(peer, frame);
  };
  callbacks.make_heartbeat = [this] {
    wire::HeartbeatT heartbeat;
    heartbeat.owner_epoch = this->owner_epoch;
    return heartbeat;
  };
  this->node = MustStart<std::unique_ptr<PeerNode>>(
      [&] { return PeerNode::Start(loop, options, callbacks, this->clock); });
}

void FakeEntry::OnHeartbeat(const PeerInfo& peer,
                            const wire::HeartbeatT& heartbeat) {
  if (peer.link == this->owner && !heartbeat.serving) this->owner = 0;
  if (!heartbeat.serving || heartbeat.owner_epoch < this->owner_epoch) return;
  if (peer.link == this->owner && heartbeat.owner_epoch == this->owner_epoch) {
    return;
  }
  this->owner = peer.link;
  this->owner_epoch = heartbeat.owner_epoch;
  this->owner_name = peer.process;
  if (this->suppress_reports) return;
  wire::SlotReportT report;
  report.owner_epoch = this->owner_epoch;
  for (const wire::HeldSlotT& slot : this->held) {
    report.held.push_back(std::make_unique<wire::HeldSlotT>(slot));
  }
  this->node->Send(this->owner, std::move(report));
  for (auto& [id, job] : this->jobs) {
    if (!job.ended) this->Send(job);
  }
}

void FakeEntry::Send(SubmittedJob& job) {
  job.sends++;
  this->node->Send(this->owner, wire::SubmitT(job.submit));
}

void FakeEntry::ResendUnaccepted() {
  if (this->owner == 0) return;
  for (auto& [id, job] : this->jobs) {
    if (!job.ended && !job.accepted) this->Send(job);
  }
}

void FakeEntry::OnSubmitReply(const wire::SubmitReplyT& reply) {
  SubmittedJob& job = this->jobs[reply.job];
  job.answered = true;
  job.reply = reply;
  if (reply.status == wire::SubmitStatus::Accepted) {
    job.accepted = true;
    return;
  }
  // An accepted job remains open until an owner reports its outcome. A job that
  // was sent to an earlier owner too may be recorded there, so "unavailable" is
  // not final for it.
  if (job.accepted) return;
  const bool unavailable = reply.status == wire::SubmitStatus::Unavailable;
  if (!unavailable || job.sends == 1) {
    job.ended = true;
    return;
  }
  this->resend_timer.StartAfter(200);
}

void FakeEntry::OnFrame(const PeerInfo& peer, wire::FrameT& frame) {
  if (const auto* heartbeat = frame.body.AsHeartbeat()) {
    this->OnHeartbeat(peer, *heartbeat);
    return;
  }
  if (const auto* reply = frame.body.AsSubmitReply()) {
    this->OnSubmitReply(*reply);
    return;
  }
  if (const auto* outcome = frame.body.AsOutcome()) {
    this->outcomes[outcome->job] = *outcome;
    const auto job = this->jobs.find(outcome->job);
    if (job == this->jobs.end()) return;
    job->second.ended = true;
    job->second.outcomes++;
    job->second.outcome = *outcome;
  } else if (const auto* grant = frame.body.AsSlotGrant()) {
    this->grants.push_back(*grant);
  } else if (const auto* refusal = frame.body.AsSlotRefusal()) {
    this->refusals.push_back(*refusal);
  } else if (const auto* status = frame.body.AsStatusReply()) {
    this->statuses.push_back(*status);
  } else if (const auto* cancel = frame.body.AsCancelReply()) {
    this->cancels.push_back(*cancel);
  }
}

std::string FakeEntry::Submit(const std::string& key,
                              const SubmitOptions& options) {
  SubmittedJob job;
  wire::SubmitT& submit = job.submit;
  submit.call = this->next_call++;
  submit.caller = "caller-1";
  submit.key = key;
  submit.job = MakeJobId(submit.caller, key);
  submit.body_digest = Hash128Hex(options.payload);
  submit.service = "stepline";
  submit.kind = "audit";
  submit.team = "care";
  submit.request_class = static_cast<uint8_t>(options.request_class);
  submit.durable = options.durable;
  submit.idempotent = options.idempotent;
  submit.deadline_ms = options.deadline_ms;
  submit.tasks = options.tasks;
  submit.gang = options.gang;
  submit.size = std::make_unique<wire::SizeT>();
  submit.size->milli_cores = options.milli_cores;
  submit.size->memory_mb = 100;
  submit.payload.assign(options.payload.begin(), options.payload.end());
  const std::string id = submit.job;
  SubmittedJob& added = this->jobs[id] = std::move(job);
  if (this->owner != 0) this->Send(added);
  return id;
}

void FakeEntry::SendToOwner(wire::FrameT frame) {
  this->node->Send(this->owner, std::move(frame));
}

SchedulerHarness::SchedulerHarness(const HarnessOptions& options) {
  standins::WorkerStandinOptions worker_options;
  worker_options.usage_delay_ms = 100;
  for (int i = 0; i < options.workers; ++i) {
    Vm vm;
    vm.id = "w-" + std::to_string(i);
    vm.role = VmRole::kWorker;
    vm.zone = "zone-1";
    vm.rack = "rack-" + std::to_string(i / 2);
    vm.capacity = {options.worker_cores * 1'000, kMemoryMb, 0};
    worker_options.vms.push_back(vm);
  }
  this->workers = MustStart<std::unique_ptr<standins::WorkerStandin>>([&] {
    return standins::WorkerStandin::Start(this->loop, worker_options);
  });
  std::vector<Vm> vms = this->workers->vms();
  vms.insert(vms.end(), options.endpoints.begin(), options.endpoints.end());
  this->platform = MustStart<std::unique_ptr<PlatformStandin>>(
      [&] { return PlatformStandin::Start(this->loop, 0, vms); });
  std::vector<uint16_t> ports;
  for (int i = 0; i < options.schedulers; ++i) {
    ports.push_back(FreePort());
    this->addresses.push_back("127.0.0.1:" + std::to_string(ports.back()));
  }
  for (int i = 0; i < options.schedulers; ++i) {
    auto node = std::make_unique<SchedulerNode>();
    node->settings =
        MakeSettings("sched-" + std::to_string(i),
                     ports[static_cast<size_t>(i)], this->platform->url());
    node->settings.schedulers = this->addresses;
    node->settings.entries = options.entries;
    node->daemon = MustStart<std::unique_ptr<SchedulerDaemon>>([&] {
      return SchedulerDaemon::Start(node->loop, node->settings, [] {});
    });
    this->nodes.push_back(std::move(node));
  }
}

SchedulerHarness::~SchedulerHarness() {
  // Includes the daemons that are paused.
  for (const auto& node : this->nodes) node->daemon.reset();
}

bool SchedulerHarness::RunUntil(const std::function<bool()>& done,
                                TimeMs timeout_ms) {
  const TimeMs deadline = MonotonicMs() + timeout_ms;
  while (!done()) {
    if (MonotonicMs() >= deadline) return false;
    ev_run(this->loop.raw(), EVRUN_NOWAIT);
    for (const auto& node : this->nodes) {
      if (node->paused || node->daemon == nullptr) continue;
      ev_run(node->loop.raw(), EVRUN_NOWAIT);
    }
    // The loops are polled in turn; the sleep leaves CPU time to other tests.
    usleep(200);
  }
  return true;
}

void SchedulerHarness::RunFor(TimeMs time_ms) {
  this->RunUntil([] { return false; }, time_ms);
}

SchedulerNode* SchedulerHarness::Owner() {
  for (const auto& node : this->nodes) {
    if (node->paused || node->daemon == nullptr) continue;
    if (node->daemon->scheduler().serving()) return node.get();
  }
  return nullptr;
}

bool SchedulerHarness::WaitForOwner() {
  return this->RunUntil([this] { return this->Owner() != nullptr; });
}

void SchedulerHarness::Kill(SchedulerNode& node) { node.daemon.reset(); }

std::unique_ptr<FakeEntry> SchedulerHarness::MakeEntry(
    const std::string& process) {
  auto entry =
      std::make_unique<FakeEntry>(this->loop, process, this->addresses);
  this->RunUntil([&entry] { return entry->has_owner(); });
  return entry;
}

bool SchedulerHarness::WaitForOutcomes(const FakeEntry& entry,
                                       TimeMs timeout_ms) {
  return this->RunUntil(
      [&entry] {
        for (const auto& [id, job] : entry.jobs) {
          if (!job.ended) return false;
        }
        return true;
      },
      timeout_ms);
}

std::vector<std::string> SchedulerHarness::Violations(const FakeEntry& entry) {
  std::map<std::string, Resources> capacities;
  for (const Vm& vm : this->workers->vms()) capacities[vm.id] = vm.capacity;
  const auto& entries = this->workers->journal().entries();
  std::vector<std::string> violations =
      standins::FindViolations(entries, capacities);
  for (const auto& [id, job] : entry.jobs) {
    const size_t starts =
        standins::CountEntries(entries, standins::JournalEvent::kStarted, id);
    if (!job.ended) {
      violations.push_back(job.submit.key + " has no outcome");
      continue;
    }
    const auto outcome = static_cast<Outcome>(job.outcome.outcome);
    const bool reported_not_run =
        job.outcomes == 0 || outcome == Outcome::kNotRun;
    if (reported_not_run && starts > 0) {
      violations.push_back(job.submit.key +
                           " was reported not_run although a task started");
    }
    if (!reported_not_run && outcome == Outcome::kDone && starts == 0) {
      violations.push_back(job.submit.key +
                           " was reported done although no task started");
    }
  }
  return violations;
}

bool SchedulerHarness::HasNoViolations(const FakeEntry& entry) {
  const std::vector<std::string> violations = this->Violations(entry);
  for (const std::string& violation : violations) {
    std::fprintf(stderr, "violation: %s\n", violation.c_str());
  }
  return violations.empty();
}

}  // namespace dotterelcove::tests
