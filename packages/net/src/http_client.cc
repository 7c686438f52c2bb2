#include "sycamorehinge/net/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http_transfer.h"
#include "listen_socket.h"

namespace sycamorehinge {

namespace {

struct multi_deleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

void InitializeCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

// Longest wait for socket activity; a wake-up interrupts it.
constexpr int kMaxPollMs = 60'000;
// curl examines all connections of a multi handle when a transfer ends, so they are divided among
// several handles by the address of the server.
constexpr std::size_t kPools = 32;
// Events taken from the kernel at a time.
constexpr std::size_t kMaxEvents = 128;
// Transfers end this long after their deadline even if sockets are still waiting to be read.
constexpr std::chrono::milliseconds kMaxTimeoutDelay(2000);

std::uint32_t ToEpollEvents(int what) {
  switch (what) {
    case CURL_POLL_IN:
      return EPOLLIN;
    case CURL_POLL_OUT:
      return EPOLLOUT;
    case CURL_POLL_INOUT:
      return EPOLLIN | EPOLLOUT;
    default:
      return 0;
  }
}

int ToCurlEvents(std::uint32_t events) {
  int flags = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0) flags |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) flags |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0) flags |= CURL_CSELECT_ERR;
  return flags;
}

}  // namespace

// Drives the transfers from the readiness of their sockets, so that the cost of a wake-up does not
// grow with the number of transfers that wait for a response.
class http_client::event_loop {
 public:
  explicit event_loop(http_client_options options)
      : options_(options),
        epoll_(epoll_create1(EPOLL_CLOEXEC)),
        wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    InitializeCurl();
    for (pool& target : pools_) OpenPool(target);
    epoll_event wake{};
    wake.events = EPOLLIN;
    wake.data.fd = wake_.Get();
    epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, wake_.Get(), &wake);
    thread_ = std::thread([this] { Run(); });
  }

  ~event_loop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    Wake();
    thread_.join();
    idle_handles_.clear();
    // Closing the idle connections calls OnSocketInterest.
    for (pool& target : pools_) target.multi.reset();
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

    bool Empty() const { return calls.empty() && tasks.empty(); }
  };
  struct open_transfer {
    std::unique_ptr<http_transfer> transfer;
    CURLM* multi = nullptr;
    std::chrono::steady_clock::time_point deadline;
  };
  // Events of a socket that the kernel reports, and those that curl waits for.
  struct socket_interest {
    std::uint32_t registered = 0;
    std::uint32_t wanted = 0;
    CURLM* multi = nullptr;
  };
  struct pool {
    event_loop* loop = nullptr;
    std::unique_ptr<CURLM, multi_deleter> multi;
    // Time at which curl wants to act again, for example to start a transfer; nullopt if never.
    std::optional<std::chrono::steady_clock::time_point> timeout;
  };

  void OpenPool(pool& target) {
    target.loop = this;
    target.multi.reset(curl_multi_init());
    CURLM* multi = target.multi.get();
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, options_.max_connections_per_host);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                      std::max<long>(options_.max_idle_connections / static_cast<long>(kPools),
                                     options_.max_connections_per_host));
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &event_loop::OnSocketInterest);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, &target);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &event_loop::OnTimeoutChange);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, &target);
  }

  // All calls to a server use the same pool, which limits the number of its connections.
  pool& PoolOf(std::string_view url) {
    const auto authority = url.substr(std::min(url.find("//"), url.size()));
    const auto end = authority.find('/', 2);
    return pools_[std::hash<std::string_view>()(authority.substr(0, end)) % kPools];
  }

  template <class Add>
  void Enqueue(Add add) {
    bool waiting = false;
    {
      const std::lock_guard lock(mutex_);
      add(submitted_);
      waiting = std::exchange(waiting_, false);
    }
    if (waiting) Wake();
  }

  void Wake() const {
    const std::uint64_t one = 1;
    // The counter cannot overflow, since the client thread resets it.
    [[maybe_unused]] const auto written = write(wake_.Get(), &one, sizeof one);
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
      WaitForEvents();
    }
    AbortTransfers();
  }

  void WaitForEvents() {
    HandleTimeouts();
    bool more = false;
    {
      const std::lock_guard lock(mutex_);
      more = !submitted_.Empty() || stopping_;
      waiting_ = !more;
    }
    std::array<epoll_event, kMaxEvents> events{};
    const auto polled_at = std::chrono::steady_clock::now();
    const int count =
        epoll_wait(epoll_.Get(), events.data(), events.size(), more ? 0 : MillisecondsToWait());
    {
      const std::lock_guard lock(mutex_);
      waiting_ = false;
    }
    const auto ready = std::span(events).first(static_cast<std::size_t>(std::max(count, 0)));
    for (const epoll_event& event : ready) HandleEvent(event);
    const bool all_read = ready.size() < events.size();
    EndOverdueTransfers(all_read ? polled_at : polled_at - kMaxTimeoutDelay);
  }

  // Ends the transfers whose deadline is not after `time`. The deadlines are not left to curl,
  // which checks them before it reads: if this process is late, a response that has arrived in time
  // would be taken for a lost one.
  void EndOverdueTransfers(std::chrono::steady_clock::time_point time) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= time) {
      FinishTransfer(deadlines_.begin()->second, CURLE_OPERATION_TIMEDOUT);
    }
  }

  int MillisecondsToWait() const {
    auto first = std::chrono::steady_clock::time_point::max();
    for (const pool& target : pools_) first = std::min(first, target.timeout.value_or(first));
    if (!deadlines_.empty()) first = std::min(first, deadlines_.begin()->first);
    if (first == std::chrono::steady_clock::time_point::max()) return kMaxPollMs;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(first - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, kMaxPollMs));
  }

  // Lets curl start new transfers and retry connections.
  void HandleTimeouts() {
    const auto now = std::chrono::steady_clock::now();
    for (pool& target : pools_) {
      if (!target.timeout || *target.timeout > now) continue;
      target.timeout.reset();
      Advance(target.multi.get(), CURL_SOCKET_TIMEOUT, 0);
    }
  }

  void Advance(CURLM* multi, curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi, socket, events, &running);
    HandleCompletedTransfers(multi);
  }

  void HandleEvent(const epoll_event& event) {
    const int socket = event.data.fd;
    if (socket == wake_.Get()) {
      std::uint64_t count = 0;
      [[maybe_unused]] const auto taken = read(socket, &count, sizeof count);
      return;
    }
    const auto found = interests_.find(socket);
    if (found == interests_.end()) return;
    if (found->second.wanted == 0) {
      // The peer has closed an idle connection. curl notices before it uses the connection again.
      epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, socket, nullptr);
      interests_.erase(found);
      return;
    }
    Advance(found->second.multi, socket, ToCurlEvents(event.events));
  }

  // A socket that curl no longer waits for stays registered, since its connection is usually used
  // again soon with the same interest.
  void SetInterest(CURLM* multi, int socket, std::uint32_t wanted) {
    socket_interest& interest = interests_[socket];
    interest.multi = multi;
    interest.wanted = wanted;
    if (wanted == 0 || wanted == interest.registered) return;
    epoll_event event{};
    event.events = wanted;
    event.data.fd = socket;
    const int operation = interest.registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(epoll_.Get(), operation, socket, &event);
    interest.registered = wanted;
  }

  static int OnSocketInterest(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                              void* /*socket_data*/) {
    const auto* owner = static_cast<const pool*>(self);
    owner->loop->SetInterest(owner->multi.get(), socket, ToEpollEvents(what));
    return 0;
  }

  static int OnTimeoutChange(CURLM* /*multi*/, long milliseconds, void* self) {
    auto& timeout = static_cast<pool*>(self)->timeout;
    if (milliseconds < 0) {
      timeout.reset();
    } else {
      timeout = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    }
    return 0;
  }

  // The kernel drops the registration of a closed socket, and a new socket may have its number.
  static curl_socket_t OnOpenSocket(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    const int socket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket < 0) return CURL_SOCKET_BAD;
    static_cast<event_loop*>(self)->interests_.erase(socket);
    return socket;
  }

  void StartTransfer(http_client_request call, handler done) {
    CURLM* multi = PoolOf(call.url).multi.get();
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    auto transfer = std::make_unique<http_transfer>(AcquireHandle(), std::move(call),
                                                    std::move(done), options_.max_response_bytes);
    CURL* easy = transfer->Easy();
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &event_loop::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    transfers_.emplace(easy, open_transfer{std::move(transfer), multi, deadline});
    deadlines_.emplace(deadline, easy);
    curl_multi_add_handle(multi, easy);
  }

  easy_handle AcquireHandle() {
    if (idle_handles_.empty()) return easy_handle(curl_easy_init());
    easy_handle easy = std::move(idle_handles_.back());
    idle_handles_.pop_back();
    return easy;
  }

  void HandleCompletedTransfers(CURLM* multi) {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      FinishTransfer(easy, code);
    }
  }

  void FinishTransfer(CURL* easy, CURLcode code) {
    const auto found = transfers_.find(easy);
    if (found == transfers_.end()) return;
    const auto [transfer, multi, deadline] = std::move(found->second);
    transfers_.erase(found);
    deadlines_.erase({deadline, easy});
    result<http_client_response> outcome = transfer->Finish(code);
    curl_multi_remove_handle(multi, easy);
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
      done({errc::kConnectionFailed, std::string(kNotSentDetail)});
    }
    return !rejected.tasks.empty() || !rejected.calls.empty();
  }

  void AbortTransfer() {
    const auto [transfer, multi, deadline] = std::move(transfers_.begin()->second);
    transfers_.erase(transfers_.begin());
    deadlines_.erase({deadline, transfer->Easy()});
    curl_multi_remove_handle(multi, transfer->Easy());
    transfer->Complete({errc::kConnectionFailed, "client stopped"});
  }

  const http_client_options options_;
  const socket_fd epoll_;
  const socket_fd wake_;
  std::array<pool, kPools> pools_;
  std::thread thread_;

  std::mutex mutex_;
  submissions submitted_;
  bool stopping_ = false;
  // The client thread waits for events, or is about to.
  bool waiting_ = false;

  // Accessed only on the client thread.
  std::unordered_map<CURL*, open_transfer> transfers_;
  std::set<std::pair<std::chrono::steady_clock::time_point, CURL*>> deadlines_;
  std::unordered_map<int, socket_interest> interests_;
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
