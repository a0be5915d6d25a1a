#include "node/SubmissionAttempts.h"

namespace dotterelcove {
namespace {

constexpr size_t kMaxFirst = 4;
constexpr size_t kMaxLast = 4;

SubmissionAttempt* Newest(SubmissionAttempts& attempts) {
  if (!attempts.last.empty()) return &attempts.last.back();
  return attempts.first.empty() ? nullptr : &attempts.first.back();
}

void AppendAttempt(std::string& text, const SubmissionAttempt& attempt,
                   TimeMs now_ms) {
  if (!text.empty()) text += ' ';
  text += attempt.path;
  text += '=';
  if (!attempt.answered) {
    text += "open/" + std::to_string(now_ms - attempt.began_ms);
    return;
  }
  text += NameOf(kJobAnswerNames, attempt.answer);
  text += '/';
  text += attempt.reason.empty() ? "none" : attempt.reason;
  text += '/' + std::to_string(attempt.took_ms);
  if (attempt.row_version > 0) {
    text += "/v" + std::to_string(attempt.row_version);
  }
}

}  // namespace

void BeginAttempt(SubmissionAttempts& attempts, const char* path,
                  TimeMs now_ms) {
  SubmissionAttempt attempt;
  attempt.path = path;
  attempt.began_ms = now_ms;
  attempts.total++;
  if (attempts.first.size() < kMaxFirst) {
    attempts.first.push_back(std::move(attempt));
    return;
  }
  attempts.last.push_back(std::move(attempt));
  if (attempts.last.size() > kMaxLast) attempts.last.pop_front();
}

void EndAttempt(SubmissionAttempts& attempts, const JobOutcome& outcome,
                TimeMs now_ms) {
  SubmissionAttempt* attempt = Newest(attempts);
  if (attempt == nullptr) return;
  attempt->answered = true;
  attempt->answer = outcome.answer;
  attempt->reason = outcome.reason;
  attempt->took_ms = now_ms - attempt->began_ms;
  attempt->row_version = outcome.row.version;
  if (outcome.answer == JobAnswer::kUnknown) attempts.in_doubt = true;
}

std::string FormatAttempts(const SubmissionAttempts& attempts, TimeMs now_ms) {
  std::string text;
  for (const SubmissionAttempt& attempt : attempts.first) {
    AppendAttempt(text, attempt, now_ms);
  }
  const size_t listed = attempts.first.size() + attempts.last.size();
  if (attempts.total > listed) {
    text += " +" + std::to_string(attempts.total - listed);
  }
  for (const SubmissionAttempt& attempt : attempts.last) {
    AppendAttempt(text, attempt, now_ms);
  }
  return text;
}

}  // namespace dotterelcove
