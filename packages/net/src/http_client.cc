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

// Longest wait for socket activity; curl_multi_wakeup interrupts it.
constexpr int kMaxPollMs = 60'000;

}  // namespace

class http_client::event_loop {
 public:
  explicit event_loop(http_client_options options) : options_(options) {
    InitializeCurl();
    multi_handle_.reset(curl_multi_init());
    curl_multi_setopt(multi_handle_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      options_.max_connections_per_host);
    curl_multi_setopt(multi_handle_.get(), CURLMOPT_MAXCONNECTS, options_.max_idle_connections);
    thread_ = std::thread([this] { Run(); });
  }

  ~event_loop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    curl_multi_wakeup(multi_handle_.get());
    thread_.join();
    idle_handles_.clear();
  }

  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  void Send(http_client_request call, handler done) {
    Enqueue(
        [&](submissions& queue) { queue.calls.emplace_back(std::move(call), std::move(done)); });
  }

  void Post(std::function<void()> task) {
    Enqueue([&](submissions& queue) { queue.tasks.push_back(std::move(task)); });
  }

 private:
  // Calls and tasks submitted by other threads.
  struct submissions {
    std::vector<std::pair<http_client_request, handler>> calls;
    std::vector<std::function<void()>> tasks;
  };

  template <class Add>
  void Enqueue(Add add) {
    bool was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      was_empty = submitted_.calls.empty() && submitted_.tasks.empty();
      add(submitted_);
    }
    // If the queue was not empty, the thread has already been woken.
    if (was_empty) curl_multi_wakeup(multi_handle_.get());
  }

  void Run() {
    while (true) {
      submissions pending;
      bool stop = false;
      {
        const std::lock_guard lock(mutex_);
        std::swap(pending, submitted_);
        stop = stopping_;
      }
      for (auto& task : pending.tasks) task();
      for (auto& [call, done] : pending.calls) StartTransfer(std::move(call), std::move(done));
      if (stop) break;
      int running = 0;
      curl_multi_perform(multi_handle_.get(), &running);
      HandleCompletedTransfers();
      curl_multi_poll(multi_handle_.get(), nullptr, 0, kMaxPollMs, nullptr);
    }
    AbortTransfers();
  }

  void StartTransfer(http_client_request call, handler done) {
    auto transfer = std::make_unique<http_transfer>(AcquireHandle(), std::move(call),
                                                    std::move(done), options_.max_response_bytes);
    CURL* easy = transfer->Easy();
    transfers_.emplace(easy, std::move(transfer));
    curl_multi_add_handle(multi_handle_.get(), easy);
  }

  easy_handle AcquireHandle() {
    if (idle_handles_.empty()) return easy_handle(curl_easy_init());
    easy_handle easy = std::move(idle_handles_.back());
    idle_handles_.pop_back();
    return easy;
  }

  void HandleCompletedTransfers() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_handle_.get(), &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      FinishTransfer(easy, code);
    }
  }

  void FinishTransfer(CURL* easy, CURLcode code) {
    const auto found = transfers_.find(easy);
    if (found == transfers_.end()) return;
    const auto transfer = std::move(found->second);
    transfers_.erase(found);
    result<http_client_response> outcome = transfer->Finish(code);
    curl_multi_remove_handle(multi_handle_.get(), easy);
    easy_handle handle = transfer->TakeHandle();
    if (idle_handles_.size() < options_.max_idle_handles) {
      idle_handles_.push_back(std::move(handle));
    }
    transfer->Complete(std::move(outcome));
  }

  void AbortTransfers() {
    while (!transfers_.empty()) AbortTransfer();
    // The completion handlers of aborted calls may have submitted further calls.
    while (RejectSubmitted()) {
    }
  }

  // Returns whether anything was queued.
  bool RejectSubmitted() {
    submissions rejected;
    {
      const std::lock_guard lock(mutex_);
      std::swap(rejected, submitted_);
    }
    for (auto& task : rejected.tasks) task();
    for (auto& [call, done] : rejected.calls) {
      done({errc::kConnectionFailed, std::string(kRefusedDetail)});
    }
    return !rejected.tasks.empty() || !rejected.calls.empty();
  }

  void AbortTransfer() {
    const auto transfer = std::move(transfers_.begin()->second);
    transfers_.erase(transfers_.begin());
    curl_multi_remove_handle(multi_handle_.get(), transfer->Easy());
    transfer->Complete({errc::kConnectionFailed, "client stopped"});
  }

  const http_client_options options_;
  std::unique_ptr<CURLM, multi_deleter> multi_handle_;
  std::thread thread_;

  std::mutex mutex_;
  submissions submitted_;
  bool stopping_ = false;

  // Accessed only on the client thread.
  std::unordered_map<CURL*, std::unique_ptr<http_transfer>> transfers_;
  std::vector<easy_handle> idle_handles_;
};

bool MayHaveBeenSent(const result<http_client_response>& outcome) {
  return outcome || (outcome.detail() != kRefusedDetail && outcome.detail() != kNotSentDetail);
}

http_client::http_client(http_client_options options)
    : event_loop_(std::make_unique<event_loop>(options)) {}

http_client::~http_client() = default;

void http_client::Send(http_client_request call, handler done) {
  event_loop_->Send(std::move(call), std::move(done));
}

void http_client::Post(std::function<void()> task) { event_loop_->Post(std::move(task)); }

}  // namespace sycamorehinge
