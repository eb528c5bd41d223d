#include "nodes/PeerLoop.h"

#include <asio/post.hpp>

#include <pthread.h>

#include <utility>

namespace fescuewood {

void PeerLoop::start() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Open = true;
  }
  Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), Name.c_str());
    Context.run();
  });
}

bool PeerLoop::post(Task Work) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!Open)
    return false;
  asio::post(Context, std::move(Work));
  return true;
}

void PeerLoop::stop(Task Last) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!Open)
      return;
    Open = false;
    if (Last)
      asio::post(Context, std::move(Last));
  }
  Guard.reset();
  Thread.join();
}

} // namespace fescuewood
