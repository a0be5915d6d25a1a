#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "scheduler/EndedJobs.h"
#include "scheduler/Job.h"

namespace dotterelcove {

/// The jobs of an owner that have not ended, and those that ended recently, by
/// job id, which is a hash of the caller and the key.
struct JobTable {
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
  EndedJobs ended;

  /// Returns a job that has not ended, or null for an unknown id.
  Job* Find(const std::string& id) const {
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : found->second.get();
  }
  Job& Add(wire::SubmitT submit, TimeMs now) {
    auto job = std::make_unique<Job>();
    job->members.resize(submit.tasks > 0 ? submit.tasks : 1);
    job->submitted_ms = now;
    job->submit = std::move(submit);
    Job& added = *job;
    this->jobs[added.submit.job] = std::move(job);
    return added;
  }
  void Remove(const std::string& id) { this->jobs.erase(id); }
};

}  // namespace dotterelcove
