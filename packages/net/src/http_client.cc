#include "sycamorehinge/net/http_client.h"

#include <curl/curl.h>

#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http_transfer.h"

namespace sycamorehinge {

namespace {

struct multi_deleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

void InitializeCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

// Longest sleep of the client's thread; curl_multi_wakeup ends it early.
constexpr int kMaxPollMs = 60'000;

}  // namespace

class http_client::loop {
 public:
  explicit loop(http_client_options options) : options_(options) {
    InitializeCurl();
    multi_.reset(curl_multi_init());
    curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      options_.max_connections_per_host);
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, options_.max_kept_connections);
    thread_ = std::thread([this] { Run(); });
  }

  ~loop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    curl_multi_wakeup(multi_.get());
    thread_.join();
    idle_.clear();
  }

  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  void Send(http_call call, handler done) {
    Enqueue([&](inbox& to) { to.calls.emplace_back(std::move(call), std::move(done)); });
  }

  void Post(std::function<void()> task) {
    Enqueue([&](inbox& to) { to.tasks.push_back(std::move(task)); });
  }

 private:
  struct inbox {
    std::vector<std::pair<http_call, handler>> calls;
    std::vector<std::function<void()>> tasks;
  };

  template <class Add>
  void Enqueue(Add add) {
    bool first = false;
    {
      const std::lock_guard lock(mutex_);
      first = inbox_.calls.empty() && inbox_.tasks.empty();
      add(inbox_);
    }
    // The entry that made the inbox non-empty has already woken the thread.
    if (first) curl_multi_wakeup(multi_.get());
  }

  void Run() {
    while (true) {
      inbox taken;
      bool stop = false;
      {
        const std::lock_guard lock(mutex_);
        std::swap(taken, inbox_);
        stop = stopping_;
      }
      for (auto& task : taken.tasks) task();
      for (auto& [call, done] : taken.calls) Start(std::move(call), std::move(done));
      if (stop) break;
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      FinishDone();
      curl_multi_poll(multi_.get(), nullptr, 0, kMaxPollMs, nullptr);
    }
    AbortAll();
  }

  void Start(http_call call, handler done) {
    auto transfer = std::make_unique<http_transfer>(TakeIdle(), std::move(call), std::move(done),
                                                    options_.max_response_bytes);
    CURL* easy = transfer->Easy();
    running_.emplace(easy, std::move(transfer));
    curl_multi_add_handle(multi_.get(), easy);
  }

  easy_handle TakeIdle() {
    if (idle_.empty()) return easy_handle(curl_easy_init());
    easy_handle easy = std::move(idle_.back());
    idle_.pop_back();
    return easy;
  }

  void FinishDone() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      Finish(easy, code);
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    const auto found = running_.find(easy);
    if (found == running_.end()) return;
    const auto transfer = std::move(found->second);
    running_.erase(found);
    result<http_reply> outcome = transfer->Finish(code);
    curl_multi_remove_handle(multi_.get(), easy);
    easy_handle handle = transfer->TakeHandle();
    if (idle_.size() < options_.max_idle_handles) idle_.push_back(std::move(handle));
    transfer->Complete(std::move(outcome));
  }

  void AbortAll() {
    while (!running_.empty()) Abort();
    // Completions of aborted calls may have added further calls.
    while (RefuseInbox()) {
    }
  }

  bool RefuseInbox() {
    inbox late;
    {
      const std::lock_guard lock(mutex_);
      std::swap(late, inbox_);
    }
    for (auto& task : late.tasks) task();
    for (auto& [call, done] : late.calls) {
      done({errc::kConnectionFailed, std::string(kRefusedDetail)});
    }
    return !late.tasks.empty() || !late.calls.empty();
  }

  void Abort() {
    const auto transfer = std::move(running_.begin()->second);
    running_.erase(running_.begin());
    curl_multi_remove_handle(multi_.get(), transfer->Easy());
    transfer->Complete({errc::kConnectionFailed, "client stopped"});
  }

  const http_client_options options_;
  std::unique_ptr<CURLM, multi_deleter> multi_;
  std::thread thread_;

  std::mutex mutex_;
  inbox inbox_;
  bool stopping_ = false;

  // Used by the client's thread only.
  std::unordered_map<CURL*, std::unique_ptr<http_transfer>> running_;
  std::vector<easy_handle> idle_;
};

bool MayHaveBeenSent(const result<http_reply>& outcome) {
  return outcome || (outcome.detail() != kRefusedDetail && outcome.detail() != kNotSentDetail);
}

http_client::http_client(http_client_options options) : loop_(std::make_unique<loop>(options)) {}

http_client::~http_client() = default;

void http_client::Send(http_call call, handler done) {
  loop_->Send(std::move(call), std::move(done));
}

void http_client::Post(std::function<void()> task) { loop_->Post(std::move(task)); }

}  // namespace sycamorehinge
