#include "review/standin-2/Spans.h"

#include <algorithm>
#include <set>

namespace dotterelcove::review {
namespace {

using soak::RunEvent;
using soak::RunEventKind;

RunEventKind EndOf(OrderKind kind) {
  return kind == OrderKind::kUpkeep ? RunEventKind::kCrashed
                                    : RunEventKind::kLapsed;
}

Span* FindOpen(std::vector<Span>& spans, const RunEvent& event) {
  const auto found =
      std::find_if(spans.rbegin(), spans.rend(), [&](const Span& span) {
        return span.task == event.task && span.worker == event.worker &&
               span.to_ms == INT64_MAX;
      });
  return found == spans.rend() ? nullptr : &*found;
}

bool IsAtWork(const Span& span, int64_t at_ms) {
  return span.from_ms + kStartupMs <= at_ms && at_ms < span.to_ms &&
         at_ms <= span.stopping_ms;
}

int64_t EndMs(const Span& span) {
  return std::min(span.to_ms, span.stopping_ms);
}

/// Whether the task is away when `ended` ends: its last run that was at work
/// was ended by an order before, and it is not at work again, or it has not
/// been at work for `kNoticeMs`.
bool IsAway(const std::vector<Span>& spans, const std::string& task,
            const Span& ended, OrderKind kind) {
  const int64_t at_ms = ended.to_ms;
  const Span* last = nullptr;
  for (const Span& span : spans) {
    if (span.task != task || span.from_ms > at_ms) continue;
    if (IsAtWork(span, at_ms)) return false;
    const bool was_at_work = EndMs(span) - span.from_ms > kStartupMs;
    if (was_at_work && EndMs(span) < at_ms) last = &span;
  }
  if (last == nullptr) return false;
  const bool by_order =
      last->stopping_ms < INT64_MAX || last->end == EndOf(kind);
  return by_order || at_ms - EndMs(*last) >= kNoticeMs;
}

}  // namespace

std::vector<Span> SpansOf(const std::vector<RunEvent>& events,
                          const std::string& job) {
  std::vector<Span> spans;
  for (const RunEvent& event : events) {
    if (!event.task.starts_with(job)) continue;
    if (event.kind == RunEventKind::kStart) {
      Span begun;
      begun.task = event.task;
      begun.worker = event.worker;
      begun.from_ms = event.at_ms;
      spans.push_back(begun);
      continue;
    }
    Span* span = FindOpen(spans, event);
    if (span == nullptr) continue;
    switch (event.kind) {
      case RunEventKind::kStopping:
        span->stopping_ms = event.at_ms;
        break;
      case RunEventKind::kDone:
      case RunEventKind::kFailed:
      case RunEventKind::kStopped:
      case RunEventKind::kLapsed:
      case RunEventKind::kBroken:
      case RunEventKind::kAlone:
      case RunEventKind::kCrashed:
        span->to_ms = event.at_ms;
        span->end = event.kind;
        break;
      default:
        break;
    }
  }
  return spans;
}

std::vector<Ended> FindBeyond(const std::vector<Span>& spans, OrderKind kind,
                              size_t may_miss) {
  std::set<std::string> tasks;
  for (const Span& span : spans) tasks.insert(span.task);
  std::vector<Ended> beyond;
  for (const Span& span : spans) {
    if (span.end != EndOf(kind) || !IsAtWork(span, span.to_ms - 1)) continue;
    Ended ended;
    ended.span = &span;
    for (const std::string& task : tasks) {
      if (task == span.task || !IsAway(spans, task, span, kind)) continue;
      ended.away++;
      ended.others += " " + task;
    }
    if (ended.away >= may_miss) beyond.push_back(ended);
  }
  return beyond;
}

}  // namespace dotterelcove::review
