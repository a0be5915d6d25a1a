#include "config/ConfigPublisher.h"

#include <memory>
#include <utility>

#include "base/Clock.h"
#include "base/Random.h"
#include "config/ConfigDiff.h"
#include "config/ConfigRows.h"

namespace dotterelcove {
namespace {

constexpr int64_t kBackoffBaseMs = 50;
constexpr int64_t kBackoffMaxMs = 1'000;
/// Versions whose content stays readable. At 2,500 changes a day this is about
/// an hour, while any process fetches a version within seconds.
constexpr uint64_t kRetainedVersions = 100;

/// One publishing in progress; owned by its own timer and callbacks.
struct Publishing {
  Publishing(EventLoop& loop, TableClient tables, ObjectClient objects,
             PublishRequest request, std::function<void(PublishResult)> done)
      : tables(std::move(tables)),
        objects(std::move(objects)),
        request(std::move(request)),
        done(std::move(done)),
        random(MakeSystemRandom()),
        deadline_ms(MonotonicMs() + this->request.time_limit_ms),
        retry(std::make_unique<Timer>(loop, [this] { this->ReadHead(); })) {}

  void ReadHead();
  void OnHead(FetchStatus status, const ConfigHead& head, uint64_t row_version);
  void Prepare(const ConfigHead& head, uint64_t row_version);
  void PutContent();
  void Send();
  void OnAnswer(const TransactResult& result);
  void Retry();
  void ReportConflict(uint64_t version);
  void Finish(PublishResult result);

  TableClient tables;
  ObjectClient objects;
  PublishRequest request;
  std::function<void(PublishResult)> done;
  Random random;
  TimeMs deadline_ms;
  int attempt = 0;
  ConfigContent content;
  uint64_t head_row_version = 0;
  TableTransaction transaction;
  bool prepared = false;
  bool in_doubt = false;
  std::unique_ptr<Timer> retry;
  std::shared_ptr<Publishing> self;
};

void Publishing::Finish(PublishResult result) {
  const auto done = std::move(this->done);
  // Frees this object when the last callback returns.
  const auto keep = std::move(this->self);
  this->retry->Cancel();
  done(std::move(result));
}

void Publishing::Retry() {
  const int64_t wait =
      BackoffMs(this->random, this->attempt++, kBackoffBaseMs, kBackoffMaxMs);
  if (MonotonicMs() + wait > this->deadline_ms) {
    this->Finish(
        {this->in_doubt ? PublishStatus::kUnknown : PublishStatus::kUnavailable,
         0,
         {}});
    return;
  }
  this->retry->StartAfter(wait);
}

void Publishing::ReadHead() {
  FetchConfigHead(this->tables, [self = this->self](FetchStatus status,
                                                    const ConfigHead& head,
                                                    uint64_t row_version) {
    self->OnHead(status, head, row_version);
  });
}

void Publishing::OnHead(FetchStatus status, const ConfigHead& head,
                        uint64_t row_version) {
  if (status != FetchStatus::kOk) {
    this->Retry();
    return;
  }
  if (!this->prepared) {
    this->Prepare(head, row_version);
    return;
  }
  if (row_version == this->head_row_version) {
    // No copy has taken effect. All copies have the same condition, so at most
    // one of them ever will.
    this->Send();
    return;
  }
  if (head.version == this->content.version &&
      head.digest == this->content.digest) {
    this->Finish({PublishStatus::kPublished, head.version, {}});
    return;
  }
  if (head.version <= this->content.version || !this->in_doubt) {
    this->ReportConflict(head.version);
    return;
  }
  // Others have published since; the row of our version tells whose it is.
  FetchConfig(
      this->tables, this->objects, this->content.version,
      [self = this->self, newest = head.version](FetchStatus fetched,
                                                 const ConfigContent& row) {
        if (fetched == FetchStatus::kUnavailable) {
          self->Retry();
          return;
        }
        if (fetched == FetchStatus::kOk && row.digest == self->content.digest) {
          self->Finish({PublishStatus::kPublished, row.version, {}});
          return;
        }
        self->ReportConflict(newest);
      });
}

void Publishing::Prepare(const ConfigHead& head, uint64_t row_version) {
  this->content.content = SerializeCellConfig(this->request.config);
  this->content.digest = DigestOf(this->content.content);
  if (head.version != 0 && head.digest == this->content.digest) {
    this->Finish({PublishStatus::kUnchanged, head.version, {}});
    return;
  }
  if (this->request.base_version.value_or(head.version) != head.version) {
    this->ReportConflict(head.version);
    return;
  }
  this->content.version = head.version + 1;
  this->head_row_version = row_version;
  this->transaction.checks = {{ConfigHeadKey(), row_version}};
  this->transaction.puts = {
      {ConfigRowKey(this->content.version), ConfigRowToJson(this->content),
       false},
      {ConfigHeadKey(),
       ConfigHeadToJson({this->content.version, this->content.digest}), false}};
  if (this->content.version > kRetainedVersions) {
    this->transaction.puts.push_back(
        {ConfigRowKey(this->content.version - kRetainedVersions), "", true});
  }
  this->prepared = true;
  if (this->content.content.size() > kMaxRowContentBytes) {
    this->PutContent();
    return;
  }
  this->Send();
}

void Publishing::PutContent() {
  PutObject(this->objects,
            ConfigObjectName(this->content.version, this->content.digest),
            this->content.content,
            [self = this->self](const ObjectResult& put) {
              if (put.status == TableStatus::kOk) {
                self->Send();
                return;
              }
              // The head must never name content that is not there.
              self->prepared = false;
              self->Retry();
            });
}

void Publishing::Send() {
  Transact(this->tables, this->transaction,
           [self = this->self](const TransactResult& result) {
             self->OnAnswer(result);
           });
}

void Publishing::OnAnswer(const TransactResult& result) {
  if (result.status == TableStatus::kOk) {
    this->Finish({PublishStatus::kPublished, this->content.version, {}});
    return;
  }
  if (result.status == TableStatus::kConflict) {
    this->ReadHead();
    return;
  }
  if (result.status == TableStatus::kUnknown) this->in_doubt = true;
  this->Retry();
}

void Publishing::ReportConflict(uint64_t version) {
  ShowConfig(this->tables, this->objects, version,
             [self = this->self, version](ShowStatus status,
                                          const CellConfig& newest) {
               PublishResult result{PublishStatus::kConflict, version, {}};
               if (status == ShowStatus::kOk) {
                 result.difference = DiffConfigs(newest, self->request.config);
               }
               self->Finish(std::move(result));
             });
}

}  // namespace

void PublishConfig(EventLoop& loop, const TableClient& tables,
                   const ObjectClient& objects, PublishRequest request,
                   std::function<void(PublishResult)> done) {
  auto publishing = std::make_shared<Publishing>(
      loop, tables, objects, std::move(request), std::move(done));
  publishing->self = publishing;
  publishing->ReadHead();
}

void ShowConfig(const TableClient& tables, const ObjectClient& objects,
                uint64_t version,
                std::function<void(ShowStatus, CellConfig)> done) {
  if (version == 0) {
    FetchConfigHead(tables,
                    [tables, objects, done = std::move(done)](
                        FetchStatus status, const ConfigHead& head, uint64_t) {
                      if (status != FetchStatus::kOk) {
                        done(ShowStatus::kUnavailable, {});
                        return;
                      }
                      if (head.version == 0) {
                        done(ShowStatus::kOk, {});
                        return;
                      }
                      ShowConfig(tables, objects, head.version, done);
                    });
    return;
  }
  FetchConfig(tables, objects, version,
              [version, done = std::move(done)](FetchStatus status,
                                                const ConfigContent& content) {
                if (status != FetchStatus::kOk) {
                  done(status == FetchStatus::kMissing
                           ? ShowStatus::kMissing
                           : ShowStatus::kUnavailable,
                       {});
                  return;
                }
                CellConfig config;
                const bool parsed = leaf::try_handle_all(
                    [&]() -> Result<bool> {
                      BOOST_LEAF_ASSIGN(
                          config, ParseCellConfig(content.content, version,
                                                  ConfigRowKey(version)));
                      return true;
                    },
                    [] { return false; });
                done(parsed ? ShowStatus::kOk : ShowStatus::kMalformed,
                     std::move(config));
              });
}

}  // namespace dotterelcove
