/// Clients of a soak: each hands one job in, asks for it now and then, and may
/// cancel it.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <thread>
#include <vector>

#include "tests/platform/soak/Cell.h"

namespace dotterelcove::soak {

class Traffic {
 public:
  Traffic(Cell& cell, uint64_t seed, double jobs_per_second);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Hands in the jobs that are due. To be called often.
  void Advance();
  /// Waits for the clients under way.
  void Finish();
  /// Asks for each job that was accepted, until an answer or three times.
  void AskForAll();

 private:
  struct Job {
    JobSpec spec;
    std::string body;
    bool cancels = false;
    std::atomic<bool> accepted{false};
  };
  void Hand(Job& job, uint64_t seed);
  std::unique_ptr<Job> MakeJob();

  Cell& cell;
  std::mt19937_64 random;
  double jobs_per_second;
  int64_t next_ms = 0;
  uint64_t next_id = 0x1000;
  std::vector<std::unique_ptr<Job>> jobs;
  std::vector<std::thread> clients;
};

}  // namespace dotterelcove::soak
