#pragma once

#include <memory>
#include <string>

#include "scheduler/Services.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

/// Deletes the records of ended jobs after kEndedRecordRetentionMs, scanning
/// one page of rows per period.
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
  /// Key of the last row of the previous page; empty at the start of a pass.
  std::string after;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
