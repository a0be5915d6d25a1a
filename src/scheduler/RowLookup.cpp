#include "scheduler/RowLookup.h"

#include <map>
#include <utility>

namespace dotterelcove {
namespace {

// Long enough for the lookups of one burst to share a read.
constexpr TimeMs kBatchWindowMs = 2;
// A read takes no further lookups once it has this many keys, so that its
// answer stays far below the size limit.
constexpr size_t kMaxKeysPerRead = 400;

struct Lookup {
  std::vector<std::string> keys;
  RowLookup::Done done;
};

}  // namespace

struct RowLookup::State {
  State(EventLoop& loop, TableClient tables)
      : tables(std::move(tables)), timer(loop, [this] { this->Send(); }) {}

  void Send();
  void Finish(const ReadResult& result);

  TableClient tables;
  Timer timer;
  std::vector<Lookup> queued;
  std::vector<Lookup> in_flight;
  std::weak_ptr<State> self;
};

RowLookup::RowLookup(EventLoop& loop, TableClient tables)
    : state(std::make_shared<State>(loop, std::move(tables))) {
  this->state->self = this->state;
}

RowLookup::~RowLookup() = default;

void RowLookup::Read(std::vector<std::string> keys, Done done) {
  this->state->queued.push_back({std::move(keys), std::move(done)});
  if (this->state->in_flight.empty() && !this->state->timer.active()) {
    this->state->timer.StartAfter(kBatchWindowMs);
  }
}

void RowLookup::State::Send() {
  std::vector<std::string> keys;
  size_t taken = 0;
  while (taken < this->queued.size() && keys.size() < kMaxKeysPerRead) {
    const Lookup& lookup = this->queued[taken++];
    keys.insert(keys.end(), lookup.keys.begin(), lookup.keys.end());
  }
  const auto end = this->queued.begin() + static_cast<std::ptrdiff_t>(taken);
  this->in_flight.assign(std::make_move_iterator(this->queued.begin()),
                         std::make_move_iterator(end));
  this->queued.erase(this->queued.begin(), end);
  ReadRows(this->tables, keys, [weak = this->self](const ReadResult& result) {
    const std::shared_ptr<State> state = weak.lock();
    if (state != nullptr) state->Finish(result);
  });
}

void RowLookup::State::Finish(const ReadResult& result) {
  std::map<std::string, const TableRow*> by_key;
  for (const TableRow& row : result.rows) by_key[row.key] = &row;
  const std::vector<Lookup> finished = std::move(this->in_flight);
  this->in_flight.clear();
  if (!this->queued.empty()) this->timer.StartAfter(0);
  for (const Lookup& lookup : finished) {
    bool ok = result.status == TableStatus::kOk;
    std::vector<TableRow> rows;
    for (const std::string& key : lookup.keys) {
      const auto found = by_key.find(key);
      if (found == by_key.end()) {
        ok = false;
        continue;
      }
      rows.push_back(*found->second);
    }
    // A callback may end the term, which destroys the RowLookup.
    if (this->self.expired()) return;
    lookup.done(ok, rows);
  }
}

}  // namespace dotterelcove
