/// Grants endpoint slots to entry daemons, see docs/design.md 3.6 and 5.1.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/EndpointTable.h"
#include "scheduler/EntryTracker.h"
#include "scheduler/JobRecords.h"
#include "scheduler/JobService.h"
#include "scheduler/RoutedRequest.h"
#include "scheduler/RowLookup.h"
#include "scheduler/Services.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

class SlotService {
 public:
  /// `down` names the entry daemons recorded as holding no grant. `fenced` is
  /// called when the store rejects a write because of a later owner.
  SlotService(Services& services, JobTable& jobs, JobService& job_service,
              RecordWriter& writer, RowLookup& lookup, uint64_t epoch,
              const std::set<std::string>& down, std::function<void()> fenced);
  SlotService(const SlotService&) = delete;
  SlotService& operator=(const SlotService&) = delete;

  /// Restores a non-idempotent request of an earlier owner that has no recorded
  /// outcome.
  void RecoverIntent(const std::string& id, const IntentRow& row);
  void OnEntryConnected(const std::string& process, LinkId link);
  void OnEntryDisconnected(const std::string& process, LinkId link);
  void OnReport(LinkId link, const std::string& process,
                const wire::SlotReportT& report);
  void OnRequest(LinkId link, const std::string& process,
                 const wire::SlotRequestT& request);
  void OnRelease(const wire::SlotReleaseT& release);
  /// Answers a status query about a routed request, at once or, for a query
  /// that waits, when the request ends. Returns whether the request is known.
  bool OnStatusQuery(const std::string& id, LinkId link,
                     const wire::StatusQueryT& query);
  void SetVmList(const std::vector<Vm>& vms);
  bool DrainEndpoint(const std::string& id);
  /// Stops granting slots, for a planned shutdown.
  void StopGranting();

  const EndpointTable& endpoints() const { return this->table; }
  const EntryTracker& entries() const { return this->tracker; }
  size_t waiting() const { return this->waiting_count; }
  size_t in_use() const { return this->grants.size(); }

 private:
  using Requests = std::unordered_map<std::string, RoutedRequest>;
  /// One queue for each RequestClass.
  using Queue = std::array<std::deque<std::string>, 3>;

  void OnKnownRequest(RoutedRequest& known, LinkId link,
                      const std::string& process,
                      const wire::SlotRequestT& request);
  void OnNewRequest(LinkId link, const std::string& process,
                    const wire::SlotRequestT& request);
  /// Returns whether the request must not be queued. Sends a refusal, except
  /// when granting has stopped.
  bool RefuseAtOnce(LinkId link, const wire::SlotRequestT& request);
  void OnLookedUp(const std::string& id, bool ok,
                  const std::vector<TableRow>& rows);
  void RecordIntent(const std::string& id);
  void Assign(RoutedRequest& routed, LinkId link, const std::string& process,
              const wire::SlotRequestT& request);
  void Refuse(LinkId link, const wire::SlotRequestT& request,
              wire::SlotRefusalReason reason, const std::string& message,
              TimeMs retry_after_ms = 0);
  void RefuseEnded(LinkId link, const wire::SlotRequestT& request,
                   const JobResult& result);
  void Remove(const std::string& id);

  void Enqueue(RoutedRequest& routed);
  void LeaveQueue(RoutedRequest& routed);
  void Dispatch(const std::string& service);
  void DispatchAll();
  bool DispatchClass(const std::string& service, std::deque<std::string>& ids);
  bool TryGrant(RoutedRequest& routed);
  void SendGrant(const RoutedRequest& routed);
  void ReleaseSlot(const GrantKey& key);
  void End(const std::string& id, JobResult result);
  void OnTimer();
  void ExpireRequests(TimeMs now);
  void ExpireGrants(TimeMs now);
  void ScheduleTimer();

  Services& services;
  JobTable& jobs;
  JobService& job_service;
  RecordWriter& writer;
  RowLookup& lookup;
  uint64_t epoch;
  std::function<void()> fenced;
  EntryTracker tracker;
  EndpointTable table;
  bool has_vm_list = false;
  bool granting = true;
  Requests requests;
  std::map<std::string, Queue> queues;
  size_t waiting_count = 0;
  std::map<GrantKey, SlotInUse> grants;
  uint64_t next_grant = 1;
  Timer timer;
  bool timer_busy = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
