#include "targets/TargetClient.h"

#include "targets/TargetConnections.h"
#include "targets/TargetTransfer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <pthread.h>
#include <set>
#include <thread>
#include <utility>

#include <curl/curl.h>

namespace fescuewood {

namespace {

/// Maximum wait for network events; a new command interrupts it.
constexpr int PollTimeoutMs = 1000;

/// Time between two examinations of the idle connections.
constexpr std::chrono::milliseconds IdleCheckInterval{1000};

/// Initialises libcurl, once per process.
void initialiseCurl() {
  static const CURLcode Result = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(Result);
}

struct MultiDeleter {
  void operator()(CURLM *Multi) const { curl_multi_cleanup(Multi); }
};

} // namespace

class TargetClient::Impl {
public:
  explicit Impl(TargetClientOptions Options)
      : Options(std::move(Options)),
        BaseUrl("http://" + this->Options.Address + "/"),
        Receiving(this->Options.MaxReceivingBytes) {
    initialiseCurl();
    Multi.reset(curl_multi_init());
    const long Limit = static_cast<long>(this->Options.MaxConnections);
    curl_multi_setopt(Multi.get(), CURLMOPT_MAXCONNECTS, Limit);
    curl_multi_setopt(Multi.get(), CURLMOPT_MAX_TOTAL_CONNECTIONS, Limit);
    Thread = std::thread([this] { run(); });
    pthread_setname_np(Thread.native_handle(), "target-client");
  }

  std::optional<std::uint64_t> start(TargetRequest Request,
                                     TargetHook OnResult) {
    std::uint64_t Id = 0;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping || RequestCount >= Options.MaxRequests)
        return std::nullopt;
      ++RequestCount;
      Id = ++LastRequestId;
      QueuedStarts.push_back({Id, std::move(Request), std::move(OnResult)});
    }
    curl_multi_wakeup(Multi.get());
    return Id;
  }

  void cancel(std::uint64_t Id) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      QueuedCancels.push_back(Id);
    }
    curl_multi_wakeup(Multi.get());
  }

  std::size_t inFlight() const { return RequestCount; }

  std::size_t receivingBytes() const { return ReceivingBytes; }

  void stop() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stopping = true;
    }
    curl_multi_wakeup(Multi.get());
    if (Thread.joinable())
      Thread.join();
  }

private:
  struct StartCommand {
    std::uint64_t Id;
    TargetRequest Request;
    TargetHook OnResult;
  };

  void run() {
    while (!takeCommands()) {
      int Running = 0;
      curl_multi_perform(Multi.get(), &Running);
      finishCompleted();
      endOverdue();
      resumePaused();
      countReceivingBytes();
      checkIdleConnections();
      curl_multi_poll(Multi.get(), nullptr, 0, pollTimeoutMs(), nullptr);
    }
    while (!Transfers.empty())
      finish(Transfers.begin()->first, ResultCode::Stopped);
  }

  /// Ends the transfers that got no connection in time. libcurl applies their
  /// timeouts only once they have one.
  void endOverdue() {
    std::vector<std::uint64_t> Overdue;
    for (const auto &[Id, Transfer] : Transfers)
      if (Transfer->waitsForConnection() &&
          Transfer->timeLeft() <= DurationMs(0))
        Overdue.push_back(Id);
    for (const std::uint64_t Id : Overdue)
      finish(Id, ResultCode::TargetUnreachable);
  }

  /// Longest wait for network events: until the next transfer is overdue.
  int pollTimeoutMs() const {
    DurationMs Wait(PollTimeoutMs);
    for (const auto &[Id, Transfer] : Transfers)
      if (Transfer->waitsForConnection())
        Wait = std::clamp(Transfer->timeLeft(), DurationMs(0), Wait);
    return static_cast<int>(Wait.Value);
  }

  /// Executes the commands of other threads. Returns true to stop the loop.
  bool takeCommands() {
    std::vector<StartCommand> Starts;
    std::vector<std::uint64_t> Cancels;
    bool StopRequested = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Starts.swap(QueuedStarts);
      Cancels.swap(QueuedCancels);
      StopRequested = Stopping;
    }
    for (StartCommand &Command : Starts)
      startTransfer(std::move(Command));
    for (std::uint64_t Id : Cancels)
      finish(Id, ResultCode::TargetCancelled);
    return StopRequested;
  }

  void startTransfer(StartCommand Command) {
    auto Transfer = std::make_unique<TargetTransfer>(
        BaseUrl, std::move(Command.Request), Options, StreamShare(Receiving),
        std::move(Command.OnResult));
    TargetTransfer &NewTransfer = *Transfer;
    NewTransfer.setMemoryHook(
        [this, Id = Command.Id] { Resumable.push_back(Id); });
    Transfers.emplace(Command.Id, std::move(Transfer));
    if (!NewTransfer.prepare()) {
      finish(Command.Id, ResultCode::TargetRequestInvalid);
      return;
    }
    Connections.track(NewTransfer.handle());
    NewTransfer.setConnectionHook(
        [this](int LocalPort, std::optional<std::string_view> Id) {
          return Connections.onRequest(LocalPort, Id);
        });
    RequestIdByHandle[NewTransfer.handle()] = Command.Id;
    curl_multi_add_handle(Multi.get(), NewTransfer.handle());
  }

  void finishCompleted() {
    int RemainingMessages = 0;
    while (CURLMsg *Message =
               curl_multi_info_read(Multi.get(), &RemainingMessages)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      const std::uint64_t Id = RequestIdByHandle.at(Message->easy_handle);
      TargetTransfer &Transfer = *Transfers.at(Id);
      if (Transfer.needsNewConnection())
        restartOnNewConnection(Transfer);
      else
        finish(Id, Transfer.reasonFor(Code));
    }
  }

  /// Starts a transfer anew whose request has not been sent.
  void restartOnNewConnection(TargetTransfer &Transfer) {
    curl_multi_remove_handle(Multi.get(), Transfer.handle());
    Transfer.useNewConnection();
    curl_multi_add_handle(Multi.get(), Transfer.handle());
  }

  /// Resumes the transfers that have got memory for their answers.
  void resumePaused() {
    while (!Resumable.empty()) {
      const std::uint64_t Id = Resumable.front();
      Resumable.pop_front();
      const auto Position = Transfers.find(Id);
      if (Position == Transfers.end())
        continue;
      // An error here ends no transfer inside libcurl.
      const CURLcode Code = Position->second->resume();
      if (Code != CURLE_OK)
        finish(Id, Position->second->reasonFor(Code));
    }
  }

  void countReceivingBytes() {
    std::size_t Sum = 0;
    for (const auto &[Id, Transfer] : Transfers)
      Sum += Transfer->receivedBytes();
    ReceivingBytes = Sum;
  }

  void checkIdleConnections() {
    const auto Now = std::chrono::steady_clock::now();
    if (Now < NextIdleCheck)
      return;
    NextIdleCheck = Now + IdleCheckInterval;
    std::set<int> UsedPorts;
    for (const auto &[Id, Transfer] : Transfers)
      UsedPorts.insert(Transfer->localPort());
    Connections.endReadable(UsedPorts);
  }

  /// Removes a transfer and calls its hook. Unknown IDs are ignored.
  void finish(std::uint64_t Id, ResultCode Reason) {
    auto Position = Transfers.find(Id);
    if (Position == Transfers.end())
      return;
    std::unique_ptr<TargetTransfer> Transfer = std::move(Position->second);
    Transfers.erase(Position);
    RequestIdByHandle.erase(Transfer->handle());
    curl_multi_remove_handle(Multi.get(), Transfer->handle());
    // Decremented before the hook runs, so that the hook can start a request.
    --RequestCount;
    Transfer->complete(Reason);
  }

  const TargetClientOptions Options;
  const std::string BaseUrl;
  StreamBudget Receiving; ///< Memory of the answers; outlives the transfers.
  std::deque<std::uint64_t> Resumable; ///< Transfers that have got memory.
  TargetConnections Connections;       ///< Outlives the connections of Multi.
  std::chrono::steady_clock::time_point NextIdleCheck;
  std::unique_ptr<CURLM, MultiDeleter> Multi;
  std::map<std::uint64_t, std::unique_ptr<TargetTransfer>> Transfers;
  std::map<CURL *, std::uint64_t> RequestIdByHandle;
  std::atomic<std::size_t> RequestCount = 0;
  std::atomic<std::size_t> ReceivingBytes = 0;

  std::mutex Mutex;
  std::vector<StartCommand> QueuedStarts;
  std::vector<std::uint64_t> QueuedCancels;
  std::uint64_t LastRequestId = 0;
  bool Stopping = false;
  std::thread Thread;
};

TargetClient::TargetClient(TargetClientOptions Options)
    : State(std::make_unique<Impl>(std::move(Options))) {}

TargetClient::~TargetClient() { stop(); }

std::optional<std::uint64_t> TargetClient::start(TargetRequest Request,
                                                 TargetHook OnResult) {
  return State->start(std::move(Request), std::move(OnResult));
}

void TargetClient::cancel(std::uint64_t Id) { State->cancel(Id); }

std::size_t TargetClient::inFlight() const { return State->inFlight(); }

std::size_t TargetClient::receivingBytes() const {
  return State->receivingBytes();
}

void TargetClient::stop() { State->stop(); }

} // namespace fescuewood
