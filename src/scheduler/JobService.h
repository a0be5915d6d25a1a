/// Answers the messages of entry daemons about placed jobs, and brings jobs
/// from their submission over the record to the core and back to the caller.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scheduler/Adoption.h"
#include "scheduler/CellDriver.h"
#include "scheduler/JobTable.h"
#include "scheduler/ResultRecorder.h"
#include "scheduler/RowLookup.h"
#include "scheduler/Services.h"

namespace dotterelcove {

class JobService {
 public:
  JobService(Services& services, JobTable& jobs, RecordWriter& writer,
             RowLookup& lookup, std::function<void()> fenced);
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  void Connect(CellDriver& driver, Adoption& adoption);

  void OnSubmit(LinkId link, const wire::SubmitT& submit);
  void OnCancel(LinkId link, const wire::CancelT& cancel);
  /// `routed` is asked about requests that have no job here: it answers the
  /// query, now or later, and returns whether it knows the request.
  using RoutedStatusHandler = std::function<bool(
      const std::string& id, LinkId link, const wire::StatusQueryT& query)>;
  void OnStatusQuery(LinkId link, const wire::StatusQueryT& query,
                     const RoutedStatusHandler& routed);

  /// Takes over an open job from its row.
  void Recover(wire::SubmitT submit, std::vector<MemberResult> members);
  /// Records the outcome of a routed request, if `recorded`, and keeps it.
  void EndRouted(wire::SubmitT request, JobResult result, bool recorded,
                 std::set<LinkId> outcome_links,
                 std::vector<PendingCall> status_waiters);
  /// Hands a job to the core and answers its submitters. A job that the core
  /// refuses is removed, unless it has been accepted before.
  void Open(Job& job);
  void OnMemberSucceeded(Job& job, uint32_t member,
                         const Acknowledge& acknowledge);
  void OnDecided(Job& job);
  /// Refuses new jobs, for a planned stop.
  void StopAccepting();
  /// Jobs whose results are still to be recorded.
  size_t ending() const { return this->jobs_ending; }

 private:
  void Record(const std::string& id);
  void OnLookedUp(const std::string& id, bool ok,
                  const std::vector<TableRow>& rows);
  void OnRecorded(const std::string& id, WriteStatus status);
  void Join(Job& job, const PendingCall& call);
  void AnswerSubmitters(Job& job, wire::SubmitStatus status,
                        const std::string& message, TimeMs retry_after_ms);
  void Reject(Job& job, wire::SubmitStatus status, const std::string& message,
              TimeMs retry_after_ms);
  void Finish(Job& job);
  void SendOutcome(LinkId link, const std::string& id, const JobResult& result);
  wire::StatusReplyT Describe(uint64_t call, const Job& job) const;

  Services& services;
  JobTable& jobs;
  RecordWriter& writer;
  RowLookup& lookup;
  std::function<void()> fenced;
  ResultRecorder recorder;
  CellDriver* driver = nullptr;
  Adoption* adoption = nullptr;
  bool accepting = true;
  size_t jobs_ending = 0;
  Timer eviction_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
