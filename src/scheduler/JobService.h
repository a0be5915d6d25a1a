/// Handles the messages of entry daemons about placed jobs. Takes each job from
/// its submission through the writing of its record and the core to the
/// outcome for its callers.
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
  /// `fenced` runs when a write shows that a later owner exists.
  JobService(Services& services, JobTable& jobs, RecordWriter& writer,
             RowLookup& lookup, std::function<void()> fenced);
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  /// Must be called once before any other function.
  void Connect(CellDriver& driver, Adoption& adoption);

  void OnSubmit(LinkId link, const wire::SubmitT& submit);
  void OnCancel(LinkId link, const wire::CancelT& cancel);
  /// Called for a query whose id has no job here. Answers the query, now or
  /// later, and returns whether the request is known.
  using RoutedStatusHandler = std::function<bool(
      const std::string& id, LinkId link, const wire::StatusQueryT& query)>;
  void OnStatusQuery(LinkId link, const wire::StatusQueryT& query,
                     const RoutedStatusHandler& routed);

  /// Restores an open job of an earlier owner from its row.
  void Recover(wire::SubmitT submit, std::vector<MemberResult> members);
  /// Ends a routed request: records its outcome if `recorded`, that is, if it
  /// has an intent row, answers the waiting links and caches the outcome.
  void EndRouted(wire::SubmitT request, JobResult result, bool recorded,
                 std::set<LinkId> outcome_links,
                 std::vector<PendingCall> status_waiters);
  /// Submits a job to the core and answers its submitters. A job that the core
  /// refuses is removed, unless it was accepted before; then it gets an
  /// outcome.
  void Open(Job& job);
  void OnMemberSucceeded(Job& job, uint32_t member,
                         const Acknowledge& acknowledge);
  /// The core has ended the job and none of its tasks is on a worker any more.
  void OnDecided(Job& job);
  /// Leaves new jobs unanswered from now on, for a planned stop.
  void StopAccepting();
  /// Number of jobs whose results have not been recorded yet.
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
