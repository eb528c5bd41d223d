#include "nodes/PeerLoop.h"

#include <asio/post.hpp>

#include <pthread.h>

#include <utility>

namespace fescuewood {

void PeerLoop::start() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    AcceptsTasks = true;
  }
  Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), Name.c_str());
    Context.run();
  });
}

bool PeerLoop::post(Task Work) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!AcceptsTasks)
    return false;
  asio::post(Context, std::move(Work));
  return true;
}

void PeerLoop::stop(Task FinalTask) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!AcceptsTasks)
      return;
    AcceptsTasks = false;
    if (FinalTask)
      asio::post(Context, std::move(FinalTask));
  }
  WorkGuard.reset();
  Thread.join();
}

} // namespace fescuewood
