#include "border/tables/TableClient.h"

#include <memory>
#include <utility>

#include "border/tables/TableCodec.h"

namespace dotterelcove {
namespace {

/// Rows per page of ScanAllRows. With records of up to 16 KiB a page stays
/// below the HTTP client's limit of 16 MiB.
constexpr uint32_t kScanPageRows = 500;

HttpCall MakeCall(const TableClient& client, const char* path,
                  std::string body) {
  HttpCall call;
  call.method = "POST";
  call.url = client.base_url + path;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(body);
  call.timeout_ms = client.timeout_ms;
  call.connect_timeout_ms = client.timeout_ms;
  return call;
}

/// Status of a call without a usable answer. Only 400, 409 (a condition was not
/// met) and 503 promise that nothing was done.
TableStatus ClassifyFailure(const HttpResult& result) {
  if (result.failure == HttpFailure::kNotSent) return TableStatus::kUnavailable;
  if (result.failure != HttpFailure::kNone) return TableStatus::kUnknown;
  for (const int undone : {400, 409, 503}) {
    if (result.status == undone) return TableStatus::kUnavailable;
  }
  return TableStatus::kUnknown;
}

TransactResult ToTransactResult(const HttpResult& answer) {
  TransactResult result;
  const bool answered = answer.failure == HttpFailure::kNone;
  if (answered && answer.status == 200 &&
      CommitFromJson(answer.body, result.version)) {
    result.status = TableStatus::kOk;
    return result;
  }
  if (answered && answer.status == 409 &&
      ConflictFromJson(answer.body, result.conflict)) {
    result.status = TableStatus::kConflict;
    return result;
  }
  result.status = ClassifyFailure(answer);
  return result;
}

ReadResult ToReadResult(const HttpResult& answer) {
  ReadResult result;
  if (answer.failure == HttpFailure::kNone && answer.status == 200 &&
      RowsFromJson(answer.body, result)) {
    result.status = TableStatus::kOk;
    return result;
  }
  result = {};
  result.status = ClassifyFailure(answer);
  return result;
}

/// Progress of one ScanAllRows.
struct ScanProgress {
  TableClient client;
  std::string prefix;
  std::function<void(ReadResult)> done;
  ReadResult total;
};

void ScanNextPage(const std::shared_ptr<ScanProgress>& progress) {
  ScanRows(progress->client, progress->prefix, progress->total.next,
           kScanPageRows, [progress](ReadResult page) {
             if (page.status != TableStatus::kOk) {
               progress->done(std::move(page));
               return;
             }
             ReadResult& total = progress->total;
             for (TableRow& row : page.rows) {
               total.rows.push_back(std::move(row));
             }
             total.next = std::move(page.next);
             if (!total.next.empty()) {
               ScanNextPage(progress);
               return;
             }
             total.status = TableStatus::kOk;
             progress->done(std::move(total));
           });
}

}  // namespace

void Transact(const TableClient& client, const TableTransaction& transaction,
              std::function<void(TransactResult)> done) {
  HttpCall call =
      MakeCall(client, "/v1/transact", TransactionToJson(transaction));
  // A reused connection that turns out to be dead leaves the outcome unknown.
  call.fresh_connection = true;
  client.http.Send(std::move(call),
                   [done = std::move(done)](const HttpResult& answer) {
                     done(ToTransactResult(answer));
                   });
}

void ReadRows(const TableClient& client, const std::vector<std::string>& keys,
              std::function<void(ReadResult)> done) {
  HttpCall call = MakeCall(client, "/v1/read", KeysToJson(keys));
  call.is_read = true;
  client.http.Send(
      std::move(call),
      [count = keys.size(), done = std::move(done)](const HttpResult& answer) {
        ReadResult result = ToReadResult(answer);
        if (result.status == TableStatus::kOk && result.rows.size() != count) {
          result = {};
        }
        done(std::move(result));
      });
}

void ScanRows(const TableClient& client, const std::string& prefix,
              const std::string& after, uint32_t limit,
              std::function<void(ReadResult)> done) {
  HttpCall call =
      MakeCall(client, "/v1/scan", ScanRequestToJson({prefix, after, limit}));
  call.is_read = true;
  client.http.Send(std::move(call),
                   [done = std::move(done)](const HttpResult& answer) {
                     done(ToReadResult(answer));
                   });
}

void ScanAllRows(const TableClient& client, const std::string& prefix,
                 std::function<void(ReadResult)> done) {
  ScanNextPage(std::make_shared<ScanProgress>(
      ScanProgress{client, prefix, std::move(done), {}}));
}

}  // namespace dotterelcove
