#pragma once

#include <memory>
#include <string>

#include "scheduler/Services.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

/// Removes records of ended jobs after 24 hours, a page at a time.
class EndedSweeper {
 public:
  EndedSweeper(Services& services, RecordWriter& writer);
  EndedSweeper(const EndedSweeper&) = delete;
  EndedSweeper& operator=(const EndedSweeper&) = delete;

 private:
  void Sweep();
  void OnPage(const ReadResult& page);

  Services& services;
  RecordWriter& writer;
  Timer timer;
  std::string after;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
