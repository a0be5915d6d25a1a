#include "tests/CellModel.h"

#include <algorithm>

#include "base/Hash.h"
#include "node/JobStore.h"

namespace dotterelcove::model {
namespace {

constexpr TimeMs kOrderTimeoutMs = 600;
constexpr TimeMs kHopMs = 1;
constexpr TimeMs kStopMs = 200;
constexpr TimeMs kMaxLeaseMs = 6'000;
constexpr TimeMs kCancelMs = 3'000;
/// Run time of a task that lasts, longer than any day.
constexpr TimeMs kLastingMs = 1'000'000;

double Chance(Cell& cell) {
  return std::uniform_real_distribution<double>(0, 1)(cell.random);
}

/// Runs a daemon's callback when it lives and is not frozen.
void Deliver(Cell& cell, int index, const std::shared_ptr<bool>& alive,
             TimeMs delay_ms, std::function<void()> callback) {
  cell.time.After(
      delay_ms, [&cell, index, alive, callback = std::move(callback)] {
        if (!*alive) return;
        const Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
        if (cell.time.now_ms < daemon.frozen_until_ms) {
          Deliver(cell, index, alive, daemon.frozen_until_ms - cell.time.now_ms,
                  callback);
          return;
        }
        callback();
      });
}

// The store.

StoreAnswer Apply(ModelStore& store, const RowTransaction& transaction) {
  StoreAnswer answer;
  for (const RowCondition& condition : transaction.conditions) {
    const auto found = store.rows.find({condition.table, condition.key});
    const uint64_t version =
        found == store.rows.end() ? 0 : found->second.version;
    if (version != condition.version) answer.status = StoreStatus::kConflict;
    if (found != store.rows.end()) answer.rows.push_back(found->second);
  }
  if (answer.status == StoreStatus::kConflict) return answer;
  answer.rows.clear();
  answer.status = StoreStatus::kOk;
  answer.version = ++store.version;
  store.transactions++;
  for (const RowPut& put : transaction.puts) {
    StoreRow row{put.table, put.key, put.value, store.version, false};
    store.rows[{put.table, put.key}] = row;
    store.history.push_back({store.version, row});
  }
  for (const RowRemoval& removal : transaction.removals) {
    if (store.rows.erase({removal.table, removal.key}) == 0) continue;
    store.history.push_back(
        {store.version, {removal.table, removal.key, "", store.version, true}});
  }
  return answer;
}

bool IsRefused(const Cell& cell, int daemon) {
  return cell.store.faults.down || cell.store.faults.refused.contains(daemon);
}

void Transact(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
              const RowTransaction& transaction, const StoreCallback& done) {
  const StoreFaults faults = cell.store.faults;
  if (IsRefused(cell, daemon)) {
    Deliver(cell, daemon, alive, faults.answer_ms, [done] {
      done({StoreStatus::kRefused, {}, false, 0});
    });
    return;
  }
  if (faults.lost_share > 0 && Chance(cell) < faults.lost_share) {
    constexpr TimeMs kLostTimeoutMs = 900;
    cell.time.After(faults.answer_ms + faults.late_ms,
                    [&cell, transaction] { Apply(cell.store, transaction); });
    Deliver(cell, daemon, alive, kLostTimeoutMs, [done] {
      done({StoreStatus::kUnknown, {}, false, 0});
    });
    return;
  }
  cell.time.After(faults.answer_ms / 2,
                  [&cell, daemon, alive, transaction, done, faults] {
                    StoreAnswer answer = Apply(cell.store, transaction);
                    answer.store_clock_ms = cell.time.now_ms;
                    Deliver(cell, daemon, alive, (faults.answer_ms + 1) / 2,
                            [done, answer] { done(answer); });
                  });
}

void Read(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
          const std::string& table, uint32_t shard, const std::string& from,
          uint32_t limit, const StoreCallback& done) {
  StoreAnswer answer;
  if (IsRefused(cell, daemon)) {
    answer.status = StoreStatus::kRefused;
  } else {
    answer.status = StoreStatus::kOk;
    answer.version = cell.store.version;
    answer.store_clock_ms = cell.time.now_ms;
    for (auto it = cell.store.rows.lower_bound({table, from});
         it != cell.store.rows.end() && it->first.first == table; ++it) {
      if (ShardOf(table, it->first.second) != shard) continue;
      if (answer.rows.size() >= limit) {
        answer.more = true;
        break;
      }
      answer.rows.push_back(it->second);
    }
  }
  Deliver(cell, daemon, alive, cell.store.faults.answer_ms,
          [done, answer] { done(answer); });
}

void Changes(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
             const std::string& table, uint64_t version, TimeMs wait_ms,
             const StoreCallback& done) {
  StoreAnswer answer;
  answer.version = cell.store.version;
  if (IsRefused(cell, daemon)) {
    answer.status = StoreStatus::kRefused;
  } else if (version < cell.store.forgotten) {
    answer.status = StoreStatus::kHistoryLost;
  } else {
    answer.status = StoreStatus::kOk;
    for (const auto& change : cell.store.history) {
      if (change.version <= version || change.row.table != table) continue;
      answer.rows.push_back(change.row);
    }
  }
  constexpr TimeMs kPollMs = 20;
  const bool nothing = answer.status == StoreStatus::kOk && answer.rows.empty();
  if (nothing && wait_ms > 0) {
    Deliver(cell, daemon, alive, kPollMs,
            [&cell, daemon, alive, table, version, wait_ms, done] {
              Changes(cell, daemon, alive, table, version, wait_ms - kPollMs,
                      done);
            });
    return;
  }
  Deliver(cell, daemon, alive, cell.store.faults.answer_ms,
          [done, answer] { done(answer); });
}

RowStore MakeStore(Cell& cell, int daemon, const std::shared_ptr<bool>& alive) {
  RowStore store;
  store.transact = [&cell, daemon, alive](const RowTransaction& transaction,
                                          const StoreCallback& done) {
    Transact(cell, daemon, alive, transaction, done);
  };
  store.read = [&cell, daemon, alive](const std::string& table, uint32_t shard,
                                      const std::string& from, uint32_t limit,
                                      const StoreCallback& done) {
    Read(cell, daemon, alive, table, shard, from, limit, done);
  };
  store.read_one = [&cell, daemon, alive](const std::string& table,
                                          const std::string& key,
                                          const StoreCallback& done) {
    Read(cell, daemon, alive, table, ShardOf(table, key), key, 1,
         [key, done](StoreAnswer answer) {
           std::erase_if(answer.rows,
                         [&](const StoreRow& row) { return row.key != key; });
           done(answer);
         });
  };
  store.changes = [&cell, daemon, alive](const std::string& table,
                                         uint64_t version, TimeMs wait_ms,
                                         const StoreCallback& done) {
    Changes(cell, daemon, alive, table, version, wait_ms, done);
  };
  return store;
}

// The workers.

int64_t ClockOf(const Cell& cell, const ModelWorker& worker) {
  return cell.time.now_ms + worker.clock_offset_ms;
}

void EndRun(Cell& cell, ModelWorker& worker, const std::string& task,
            workflow::RunEnd end, TimeMs at_ms) {
  const auto found = worker.running.find(task);
  if (found == worker.running.end()) return;
  Journal& entry = cell.journal[found->second.journal];
  entry.end_ms = at_ms;
  entry.how = std::string(NameOf(workflow::kRunEndNames, end));
  worker.ends.push_back(
      {worker.next_end++, task, found->second.run, end, found->second.journal});
  worker.tombstones[task] =
      std::max(worker.tombstones[task], found->second.run);
  worker.running.erase(found);
}

/// Lets time pass on a worker: ends, stops and lapsed leases.
void Advance(Cell& cell, ModelWorker& worker) {
  if (!worker.up) return;
  if (cell.time.now_ms >= worker.lease_end_ms) {
    worker.lapsed_ms = worker.lease_end_ms;
  }
  struct Due {
    std::string task;
    workflow::RunEnd end;
    TimeMs at_ms;
  };
  std::vector<Due> ends;
  for (const auto& [task, run] : worker.running) {
    Due due{task, workflow::RunEnd::kLapsed, worker.lease_end_ms};
    if (run.stops_ms >= 0 && run.stops_ms < due.at_ms) {
      due = {task, workflow::RunEnd::kStopped, run.stops_ms};
    }
    if (!worker.hangs && run.ends_ms < due.at_ms) {
      due = {task,
             run.fails ? workflow::RunEnd::kFailed : workflow::RunEnd::kDone,
             run.ends_ms};
    }
    if (due.at_ms <= cell.time.now_ms) ends.push_back(due);
  }
  for (const Due& due : ends) {
    EndRun(cell, worker, due.task, due.end, due.at_ms);
  }
}

void RenewLease(const Cell& cell, ModelWorker& worker, int64_t end_clock_ms) {
  if (end_clock_ms <= 0) return;
  const TimeMs end_ms = std::min(end_clock_ms - worker.clock_offset_ms,
                                 cell.time.now_ms + kMaxLeaseMs);
  worker.lease_end_ms = std::max(worker.lease_end_ms, end_ms);
}

/// The task's own run time and fate, the same for each of its runs.
ModelWorker::Run MakeRun(Cell& cell, const ModelWorker& worker,
                         const workflow::StartOrder& order) {
  ModelWorker::Run run;
  run.run = order.run;
  workflow::TaskName name;
  workflow::ParseTaskName(order.task, name);
  const auto job = cell.jobs.find(name.job);
  TimeMs length_ms = 1'000;
  if (job != cell.jobs.end()) {
    const workflow::StepSpec& step = job->second.spec.steps.at(name.step);
    length_ms = step.long_running ? kLastingMs : step.estimate_ms;
    run.fails = job->second.hopeless;
  }
  run.fails = run.fails || worker.fails_all ||
              Chance(cell) < cell.options.failure_share;
  if (run.fails) length_ms = std::min<TimeMs>(length_ms, 50);
  run.ends_ms = cell.time.now_ms + length_ms;
  return run;
}

Resources SizeOf(const Cell& cell, const std::string& task) {
  workflow::TaskName name;
  if (!workflow::ParseTaskName(task, name)) return {};
  const auto job = cell.jobs.find(name.job);
  if (job == cell.jobs.end()) return {};
  return job->second.spec.steps.at(name.step).size;
}

workflow::OrderAnswer StartOn(Cell& cell, int daemon, ModelWorker& worker,
                              const workflow::StartOrder& order) {
  Advance(cell, worker);
  const int64_t clock_ms = ClockOf(cell, worker);
  if (order.token < worker.token) {
    return {workflow::OrderStatus::kFenced, clock_ms};
  }
  worker.token = order.token;
  RenewLease(cell, worker, order.lease_end_clock_ms);
  if (order.lease_end_clock_ms <= clock_ms) {
    return {workflow::OrderStatus::kLate, clock_ms};
  }
  const auto tombstone = worker.tombstones.find(order.task);
  if (tombstone != worker.tombstones.end() && order.run <= tombstone->second) {
    return {workflow::OrderStatus::kOldRun, clock_ms};
  }
  const auto running = worker.running.find(order.task);
  if (running != worker.running.end()) {
    return {running->second.run == order.run ? workflow::OrderStatus::kOk
                                             : workflow::OrderStatus::kOldRun,
            clock_ms};
  }
  ModelWorker::Run run = MakeRun(cell, worker, order);
  run.journal = cell.journal.size();
  Journal entry;
  entry.task = order.task;
  entry.run = order.run;
  entry.worker = worker.info.id;
  entry.payload = order.payload;
  entry.checkpoint = order.checkpoint;
  entry.token = order.token;
  entry.daemon = daemon;
  entry.begin_ms = cell.time.now_ms;
  entry.size = SizeOf(cell, order.task);
  cell.journal.push_back(entry);
  worker.running[order.task] = run;
  return {workflow::OrderStatus::kOk, clock_ms};
}

workflow::OrderAnswer StopOn(Cell& cell, ModelWorker& worker,
                             const workflow::StopOrder& order) {
  Advance(cell, worker);
  const int64_t clock_ms = ClockOf(cell, worker);
  if (order.token < worker.token) {
    return {workflow::OrderStatus::kFenced, clock_ms};
  }
  worker.token = order.token;
  worker.tombstones[order.task] =
      std::max(worker.tombstones[order.task], order.run);
  const auto found = worker.running.find(order.task);
  if (found != worker.running.end() && found->second.run <= order.run) {
    found->second.stops_ms = cell.time.now_ms + kStopMs;
  }
  return {workflow::OrderStatus::kOk, clock_ms};
}

workflow::SyncAnswer SyncWith(Cell& cell, ModelWorker& worker,
                              const workflow::SyncOrder& order) {
  Advance(cell, worker);
  workflow::SyncAnswer answer;
  answer.clock_ms = ClockOf(cell, worker);
  answer.incarnation = worker.info.incarnation;
  if (order.token < worker.token) {
    answer.status = workflow::OrderStatus::kFenced;
    return answer;
  }
  answer.status = workflow::OrderStatus::kOk;
  worker.token = order.token;
  RenewLease(cell, worker, order.lease_end_clock_ms);
  for (const auto& end : worker.ends) {
    Journal& entry = cell.journal[end.journal];
    if (end.number <= order.acked && entry.end_ms > worker.lapsed_ms) {
      entry.noted = true;
    }
  }
  std::erase_if(worker.ends, [&](const ModelWorker::End& end) {
    return end.number <= order.acked;
  });
  for (const auto& [task, run] : worker.running) {
    const Journal& entry = cell.journal[run.journal];
    const TimeMs length_ms = std::max<TimeMs>(run.ends_ms - entry.begin_ms, 1);
    auto percent =
        static_cast<int>(100 * (cell.time.now_ms - entry.begin_ms) / length_ms);
    // A lasting task is at work as long as it runs.
    if (length_ms >= kLastingMs) percent = 100;
    if (worker.hangs) percent = 0;
    answer.running.push_back({task, run.run, "", std::min(percent, 100), -1});
  }
  for (const auto& end : worker.ends) {
    answer.ended.push_back({end.number, end.task, end.run, end.end, ""});
  }
  return answer;
}

ModelWorker* FindReachable(Cell& cell, int daemon, const std::string& id) {
  const auto found = cell.workers.find(id);
  if (found == cell.workers.end()) return nullptr;
  if (!found->second.up || found->second.cut) return nullptr;
  if (cell.daemons[static_cast<size_t>(daemon)]->cut_from_workers) {
    return nullptr;
  }
  return &found->second;
}

/// One order over the network: it may be unanswered and carried out late.
template <class Order, class Answer, class CarryOut>
void SendOrder(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
               const std::string& worker, const Order& order,
               const std::function<void(Answer)>& done, CarryOut carry_out) {
  ModelWorker* target = FindReachable(cell, daemon, worker);
  const auto unanswered = [&cell, daemon, alive, done] {
    Deliver(cell, daemon, alive, kOrderTimeoutMs, [done] { done(Answer{}); });
  };
  if (target == nullptr) {
    unanswered();
    return;
  }
  if (target->late_share > 0 && Chance(cell) < target->late_share) {
    const TimeMs late_ms = UniformInt(cell.random, 2'000, 12'000);
    cell.time.After(late_ms, [&cell, worker, order, carry_out] {
      const auto found = cell.workers.find(worker);
      if (found != cell.workers.end() && found->second.up) {
        carry_out(found->second, order);
      }
    });
    unanswered();
    return;
  }
  cell.time.After(kHopMs, [&cell, daemon, alive, worker, order, done, carry_out,
                           unanswered] {
    ModelWorker* there = FindReachable(cell, daemon, worker);
    if (there == nullptr) {
      unanswered();
      return;
    }
    const Answer answer = carry_out(*there, order);
    if (there->lost_order_share > 0 && Chance(cell) < there->lost_order_share) {
      unanswered();
      return;
    }
    Deliver(cell, daemon, alive, kHopMs, [done, answer] { done(answer); });
  });
}

/// Holds the answer to a sync back until something has ended.
void SyncWhenEnded(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
                   const std::string& id, const workflow::SyncOrder& order,
                   TimeMs until_ms, uint64_t incarnation,
                   const workflow::SyncCallback& done) {
  ModelWorker* worker = FindReachable(cell, daemon, id);
  // The connection of a sync that waits breaks with the worker's life.
  if (worker == nullptr || worker->info.incarnation != incarnation) {
    Deliver(cell, daemon, alive, kOrderTimeoutMs,
            [done] { done(workflow::SyncAnswer{}); });
    return;
  }
  workflow::SyncAnswer answer = SyncWith(cell, *worker, order);
  const bool now = !answer.ended.empty() || cell.time.now_ms >= until_ms ||
                   answer.status != workflow::OrderStatus::kOk;
  if (now && worker->lost_sync_share > 0 &&
      Chance(cell) < worker->lost_sync_share) {
    constexpr TimeMs kSyncSlackMs = 450;
    const TimeMs left_ms = std::max<TimeMs>(until_ms - cell.time.now_ms, 0);
    Deliver(cell, daemon, alive, left_ms + kSyncSlackMs,
            [done] { done(workflow::SyncAnswer{}); });
    return;
  }
  if (now) {
    Deliver(cell, daemon, alive, kHopMs, [done, answer] { done(answer); });
    return;
  }
  constexpr TimeMs kStepMs = 10;
  workflow::SyncOrder rest = order;
  rest.lease_end_clock_ms = 0;
  cell.time.After(kStepMs, [&cell, daemon, alive, id, rest, until_ms,
                            incarnation, done] {
    SyncWhenEnded(cell, daemon, alive, id, rest, until_ms, incarnation, done);
  });
}

workflow::WorkerPort MakeWorkers(Cell& cell, int daemon,
                                 const std::shared_ptr<bool>& alive) {
  workflow::WorkerPort port;
  port.start = [&cell, daemon, alive](const workflow::WorkerAddress& worker,
                                      const workflow::StartOrder& order,
                                      const workflow::OrderCallback& done) {
    SendOrder(
        cell, daemon, alive, worker.id, order, done,
        [&cell, daemon](ModelWorker& there, const workflow::StartOrder& sent) {
          return StartOn(cell, daemon, there, sent);
        });
  };
  port.stop = [&cell, daemon, alive](const workflow::WorkerAddress& worker,
                                     const workflow::StopOrder& order,
                                     const workflow::OrderCallback& done) {
    SendOrder(cell, daemon, alive, worker.id, order, done,
              [&cell](ModelWorker& there, const workflow::StopOrder& sent) {
                return StopOn(cell, there, sent);
              });
  };
  port.sync = [&cell, daemon, alive](const workflow::WorkerAddress& worker,
                                     const workflow::SyncOrder& order,
                                     const workflow::SyncCallback& done) {
    const std::string id = worker.id;
    cell.time.After(kHopMs, [&cell, daemon, alive, id, order, done] {
      SyncWhenEnded(cell, daemon, alive, id, order,
                    cell.time.now_ms + order.wait_ms,
                    cell.workers.at(id).info.incarnation, done);
    });
  };
  return port;
}

workflow::PermitPort MakePermits(Cell& cell, int daemon,
                                 const std::shared_ptr<bool>& alive) {
  return [&cell, daemon, alive](const workflow::PermitRequest& request,
                                const workflow::PermitCallback& done) {
    workflow::PermitAnswer answer;
    answer.status = workflow::PermitStatus::kOk;
    answer.validity_ms = 2'500;
    constexpr uint64_t kBuckets = 100;
    for (const std::string& worker : request.workers) {
      const uint64_t bucket = Hash64(request.step + worker) % kBuckets;
      // Some may run every step, so that no job is hopeless by chance.
      const bool allowed =
          worker == "w0" || worker == "w1" ||
          static_cast<double>(bucket) < cell.options.allowed_share * kBuckets;
      if (allowed) answer.grants.push_back({worker, "ticket"});
    }
    constexpr TimeMs kDecisionMs = 30;
    Deliver(cell, daemon, alive, kDecisionMs, [done, answer] { done(answer); });
  };
}

std::vector<workflow::WorkerInfo> ListWorkers(const Cell& cell) {
  std::vector<workflow::WorkerInfo> list;
  for (const auto& [id, worker] : cell.workers) {
    if (worker.listed) list.push_back(worker.info);
  }
  return list;
}

Runtime MakeModelRuntime(Cell& cell, int daemon,
                         const std::shared_ptr<bool>& alive) {
  Runtime runtime;
  runtime.now = [&cell] { return cell.time.now_ms; };
  runtime.wall_ms = [&cell] { return cell.time.now_ms; };
  runtime.after = [&cell, daemon, alive](TimeMs delay_ms,
                                         std::function<void()> callback) {
    Deliver(cell, daemon, alive, delay_ms, std::move(callback));
  };
  return runtime;
}

void PollWorkers(Cell& cell, int index, const std::shared_ptr<bool>& alive) {
  constexpr TimeMs kListMs = 500;
  Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  if (daemon.controller && !cell.store.faults.down) {
    workflow::UpdateFleet(*daemon.controller, ListWorkers(cell));
  }
  Deliver(cell, index, alive, kListMs,
          [&cell, index, alive] { PollWorkers(cell, index, alive); });
}

/// The owner's reports to the others, as their connections carry them.
void Report(Cell& cell, int index, const std::shared_ptr<bool>& alive) {
  constexpr TimeMs kReportMs = 250;
  Daemon& owner = *cell.daemons[static_cast<size_t>(index)];
  if (owner.controller) {
    OwnerReport report;
    report.epoch = owner.controller->epoch;
    report.sequence = owner.controller->log->row().sequence;
    report.store_age_ms = owner.controller->log->store_age_ms();
    for (const auto& other : cell.daemons) {
      if (!other->up || other->index == index) continue;
      Deliver(cell, other->index, other->alive, kHopMs,
              [&cell, other = other.get(), report] {
                if (!other->leadership->owner() &&
                    other->leadership->view().epoch == report.epoch) {
                  other->leadership->OnOwnerLink(true, false);
                }
                other->leadership->OnReport(report);
              });
    }
  }
  Deliver(cell, index, alive, kReportMs,
          [&cell, index, alive] { Report(cell, index, alive); });
}

void NotifyOwner(Cell& cell, const StoreRow& row) {
  const int owner = FindOwner(cell);
  if (owner < 0 || row.version == 0) return;
  Daemon& daemon = *cell.daemons[static_cast<size_t>(owner)];
  Deliver(cell, owner, daemon.alive, kHopMs, [&cell, owner, row] {
    Daemon& there = *cell.daemons[static_cast<size_t>(owner)];
    if (there.controller) workflow::AdmitRow(*there.controller, row);
  });
}

}  // namespace

void VirtualTime::After(TimeMs delay_ms, std::function<void()> callback) {
  this->entries.push({this->now_ms + std::max<TimeMs>(delay_ms, 0),
                      this->next_order++, std::move(callback)});
}

void VirtualTime::RunUntil(TimeMs end_ms) {
  while (!this->entries.empty() && this->entries.top().at_ms <= end_ms) {
    const Entry entry = this->entries.top();
    this->entries.pop();
    this->now_ms = entry.at_ms;
    entry.callback();
  }
  this->now_ms = end_ms;
}

Cell::Cell(CellOptions cell_options)
    : options(cell_options), random(cell_options.seed) {
  for (int i = 0; i < this->options.workers; ++i) {
    ModelWorker worker;
    worker.info.id = "w" + std::to_string(i);
    worker.info.address = worker.info.id;
    worker.info.service = "service";
    worker.info.zone = "z" + std::to_string(i % 3);
    worker.info.rack = "r" + std::to_string(i / 3);
    worker.info.capacity = this->options.capacity;
    worker.info.incarnation = 1;
    worker.clock_offset_ms = 10'000 * (i + 1);
    this->workers[worker.info.id] = worker;
  }
  for (int i = 0; i < this->options.daemons; ++i) {
    this->daemons.push_back(std::make_unique<Daemon>());
    this->daemons.back()->index = i;
    this->daemons.back()->alive = std::make_shared<bool>(false);
  }
  for (int i = 0; i < this->options.daemons; ++i) StartDaemon(*this, i);
}

Cell::~Cell() {
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    KillDaemon(*this, static_cast<int>(i));
  }
}

void StartDaemon(Cell& cell, int index) {
  Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  if (daemon.up) return;
  daemon.up = true;
  daemon.life++;
  daemon.frozen_until_ms = 0;
  daemon.alive = std::make_shared<bool>(true);
  const auto alive = daemon.alive;
  const Runtime runtime = MakeModelRuntime(cell, index, alive);
  const RowStore store = MakeStore(cell, index, alive);
  LeadershipOptions options;
  options.process = "d" + std::to_string(index);
  options.address = options.process;
  options.incarnation = static_cast<uint64_t>(index * 1'000 + daemon.life);
  options.rank_delay_ms = 5 * index;
  LeadershipCallbacks callbacks;
  callbacks.acquired = [&cell, index, alive, runtime,
                        store](const std::shared_ptr<OwnerLog>& log) {
    Daemon& self = *cell.daemons[static_cast<size_t>(index)];
    self.controller = std::make_shared<workflow::Controller>();
    workflow::Controller& c = *self.controller;
    c.runtime = runtime;
    c.store = store;
    c.port = MakeWorkers(cell, index, alive);
    c.log = log;
    c.epoch = log->row().epoch;
    c.fenced = [&cell, index, alive] {
      Deliver(cell, index, alive, 0, [&cell, index] {
        cell.daemons[static_cast<size_t>(index)]->leadership->OnFenced();
      });
    };
    workflow::AddAsker(c, "self", MakePermits(cell, index, alive));
    if (cell.equip_owner) cell.equip_owner(c);
    workflow::StartController(c);
  };
  callbacks.lost = [&cell, index] {
    Daemon& self = *cell.daemons[static_cast<size_t>(index)];
    if (!self.controller) return;
    workflow::StopController(*self.controller);
    cell.time.After(0, [old = std::move(self.controller)] {});
    self.controller = nullptr;
  };
  callbacks.owner_changed = [](const OwnerRow&) {};
  daemon.leadership =
      std::make_shared<Leadership>(runtime, store, options, callbacks);
  daemon.leadership->Start();
  PollWorkers(cell, index, alive);
  Report(cell, index, alive);
}

void KillDaemon(Cell& cell, int index) {
  Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  daemon.up = false;
  *daemon.alive = false;
  if (daemon.controller) workflow::StopController(*daemon.controller);
  daemon.controller = nullptr;
  daemon.leadership = nullptr;
  // The others see the connection break.
  for (const auto& other : cell.daemons) {
    if (!other->up) continue;
    Deliver(cell, other->index, other->alive, kHopMs, [other = other.get()] {
      other->leadership->OnOwnerLink(false, false);
    });
  }
}

void StopDaemon(Cell& cell, int index) {
  Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  if (!daemon.up) return;
  daemon.leadership->Release([&cell, index] {
    cell.time.After(0, [&cell, index] { KillDaemon(cell, index); });
  });
}

int FindOwner(const Cell& cell) {
  int owner = -1;
  uint64_t epoch = 0;
  for (const auto& daemon : cell.daemons) {
    if (!daemon->up || !daemon->controller) continue;
    if (daemon->controller->epoch < epoch) continue;
    owner = daemon->index;
    epoch = daemon->controller->epoch;
  }
  return owner;
}

void CrashWorker(Cell& cell, const std::string& id) {
  ModelWorker& worker = cell.workers.at(id);
  Advance(cell, worker);
  for (const auto& [task, run] : worker.running) {
    Journal& entry = cell.journal[run.journal];
    entry.end_ms = cell.time.now_ms;
    entry.how = "gone";
  }
  worker.running.clear();
  worker.up = false;
}

void RestartWorker(Cell& cell, const std::string& id) {
  CrashWorker(cell, id);
  ModelWorker& worker = cell.workers.at(id);
  worker.tombstones.clear();
  worker.ends.clear();
  worker.next_end = 1;
  worker.token = 0;
  worker.lease_end_ms = 0;
  worker.info.incarnation++;
  worker.up = true;
  worker.clock_offset_ms = 1'000 - cell.time.now_ms;
}

workflow::JobSpec MakeChain(Cell& cell, uint32_t steps, uint32_t count,
                            Resources size, TimeMs run_ms) {
  workflow::JobSpec spec;
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx",
                static_cast<unsigned long long>(cell.next_job++));
  spec.id = id;
  spec.queue = "queue";
  spec.service = "service";
  spec.payload = "payload of " + spec.id;
  spec.policy.attempts = 3;
  spec.policy.stretch = 2;
  spec.policy.target_ms = 250;
  spec.policy.permits.required = cell.options.permits;
  spec.policy.permits.decision_ms = 30;
  spec.policy.permits.validity_ms = 2'500;
  for (uint32_t i = 0; i < steps; ++i) {
    workflow::StepSpec step;
    step.count = count;
    step.size = size;
    step.estimate_ms = run_ms;
    if (i > 0) step.after = {i - 1};
    spec.steps.push_back(step);
  }
  return spec;
}

void Submit(Cell& cell, int index, workflow::JobSpec spec, bool hopeless) {
  const std::string id = spec.id;
  spec.accepted_wall_ms = cell.time.now_ms;
  CallerJob& job = cell.jobs[id];
  job.spec = spec;
  job.hopeless = hopeless;
  const Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  if (!daemon.up) return;
  constexpr TimeMs kWaitMs = 2'800;
  InsertJob(MakeModelRuntime(cell, index, daemon.alive),
            MakeStore(cell, index, daemon.alive), id, workflow::EncodeJob(spec),
            cell.time.now_ms + kWaitMs, false,
            [&cell, id](JobAnswer answer, const StoreRow& row) {
              CallerJob& told = cell.jobs.at(id);
              told.refused = answer == JobAnswer::kRefused;
              told.accepted = answer == JobAnswer::kStored;
              told.accepted_ms = cell.time.now_ms;
              if (told.accepted) NotifyOwner(cell, row);
            });
}

void Cancel(Cell& cell, int index, const std::string& id) {
  const Daemon& daemon = *cell.daemons[static_cast<size_t>(index)];
  if (!daemon.up) return;
  constexpr TimeMs kWaitMs = 2'800;
  InsertCancellation(MakeModelRuntime(cell, index, daemon.alive),
                     MakeStore(cell, index, daemon.alive), id,
                     cell.time.now_ms + kWaitMs,
                     [&cell, id](JobAnswer answer, const StoreRow& row) {
                       if (answer != JobAnswer::kStored) return;
                       CallerJob& told = cell.jobs.at(id);
                       if (told.cancelled_ms < 0) {
                         told.cancelled_ms = cell.time.now_ms;
                       }
                       NotifyOwner(cell, row);
                     });
}

namespace {

using Breaches = std::vector<std::string>;

/// The state that the store tells of a job, empty for an open or unknown one.
std::string StoredState(const Cell& cell, const std::string& id) {
  for (const char* table : {workflow::kJobTable, workflow::kProgressTable}) {
    const auto row = cell.store.rows.find({table, id});
    if (row == cell.store.rows.end()) continue;
    const auto end = workflow::DecodeEnd(row->second.value);
    if (!end) continue;
    return std::string(NameOf(workflow::kJobPhaseNames, end->phase));
  }
  return {};
}

void JudgeOverlaps(const Cell& cell, Breaches& breaches) {
  std::map<std::string, std::vector<const Journal*>> by_task;
  for (const Journal& entry : cell.journal) {
    by_task[entry.task].push_back(&entry);
  }
  for (const auto& [task, runs] : by_task) {
    for (size_t i = 0; i < runs.size(); ++i) {
      for (size_t j = i + 1; j < runs.size(); ++j) {
        const bool overlap =
            runs[i]->end_ms < 0 || runs[j]->begin_ms < runs[i]->end_ms;
        if (overlap) breaches.push_back("TWICE: two runs of " + task);
        if (runs[i]->how == "done" && runs[i]->noted) {
          breaches.push_back("TWICE: " + task + " starts after it was done");
        }
      }
    }
  }
}

/// Workers refuse a run that is not higher than one they have seen end, and
/// failures are counted by run number, so numbers rise whoever is the owner.
void JudgeRunNumbers(const Cell& cell, Breaches& breaches) {
  std::map<std::string, uint32_t> last;
  for (const Journal& entry : cell.journal) {
    uint32_t& run = last[entry.task];
    if (entry.run <= run) {
      breaches.push_back("BUDGET: run " + std::to_string(entry.run) + " of " +
                         entry.task + " after run " + std::to_string(run));
    }
    run = std::max(run, entry.run);
  }
}

void JudgeCapacity(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, worker] : cell.workers) {
    // Every start is a moment at which the sum may be too high.
    for (const Journal& at : cell.journal) {
      if (at.worker != id) continue;
      Resources used;
      for (const Journal& other : cell.journal) {
        const bool there = other.worker == id &&
                           other.begin_ms <= at.begin_ms &&
                           (other.end_ms < 0 || other.end_ms > at.begin_ms);
        if (there) used = used + other.size;
      }
      if (!Fits(used, worker.info.capacity)) {
        breaches.push_back("LIMIT: " + id + " over its capacity at " +
                           std::to_string(at.begin_ms));
      }
    }
  }
}

/// Whether every task of the step had ended as done before `at_ms`.
bool IsStepDone(const Cell& cell, const CallerJob& job, uint32_t step,
                TimeMs at_ms) {
  std::set<std::string> done;
  const std::string prefix = job.spec.id + ".0." + std::to_string(step) + ".";
  for (const Journal& entry : cell.journal) {
    if (entry.how != "done" || entry.end_ms > at_ms) continue;
    if (entry.task.compare(0, prefix.size(), prefix) == 0) {
      done.insert(entry.task);
    }
  }
  return done.size() >= job.spec.steps[step].count;
}

void JudgeStarts(const Cell& cell, Breaches& breaches) {
  std::map<std::string, uint32_t> failures;
  for (const Journal& entry : cell.journal) {
    workflow::TaskName name;
    workflow::ParseTaskName(entry.task, name);
    const auto found = cell.jobs.find(name.job);
    if (found == cell.jobs.end()) {
      breaches.push_back("UNASKED: " + entry.task + " was never handed in");
      continue;
    }
    const CallerJob& job = found->second;
    if (job.refused) breaches.push_back("REFUSED: " + entry.task + " runs");
    if (entry.payload != job.spec.payload) {
      breaches.push_back("UNASKED: " + entry.task + " with another payload");
    }
    if (job.cancelled_ms >= 0 &&
        entry.begin_ms > job.cancelled_ms + kCancelMs) {
      breaches.push_back("UNASKED: " + entry.task + " starts cancelled");
    }
    for (const uint32_t before : job.spec.steps[name.step].after) {
      if (IsStepDone(cell, job, before, entry.begin_ms)) continue;
      breaches.push_back("ORDER: " + entry.task + " starts too early");
    }
    if (failures[entry.task] >= job.spec.policy.attempts) {
      breaches.push_back("BUDGET: " + entry.task + " starts once too often");
    }
    if (entry.how == "failed" && entry.noted) failures[entry.task]++;
  }
}

void JudgeEnds(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, job] : cell.jobs) {
    if (!job.accepted) continue;
    const std::string state = StoredState(cell, id);
    const bool lasting = job.spec.steps.front().long_running;
    if (job.cancelled_ms >= 0) {
      if (state.empty())
        breaches.push_back("LOST: cancelled " + id + " is open");
      continue;
    }
    if (lasting) {
      uint32_t running = 0;
      for (const Journal& entry : cell.journal) {
        if (entry.task.compare(0, id.size(), id) == 0 && entry.end_ms < 0) {
          ++running;
        }
      }
      if (running < job.spec.steps.front().count) {
        breaches.push_back("LOST: a task of " + id + " does not run");
      }
      continue;
    }
    if (state.empty()) breaches.push_back("LOST: " + id + " has not ended");
    if (job.hopeless && state == "completed") {
      breaches.push_back("MIXED: hopeless " + id + " is completed");
    }
  }
}

void JudgeCompleted(const Cell& cell, Breaches& breaches) {
  for (const auto& [id, job] : cell.jobs) {
    if (StoredState(cell, id) != "completed") continue;
    for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (IsStepDone(cell, job, step, cell.time.now_ms)) continue;
      breaches.push_back("MIXED: " + id + " completed before its tasks");
    }
  }
}

}  // namespace

std::vector<std::string> Judge(const Cell& cell, bool at_end) {
  Breaches breaches;
  JudgeOverlaps(cell, breaches);
  JudgeRunNumbers(cell, breaches);
  JudgeCapacity(cell, breaches);
  JudgeStarts(cell, breaches);
  JudgeCompleted(cell, breaches);
  if (at_end) JudgeEnds(cell, breaches);
  return breaches;
}

}  // namespace dotterelcove::model
