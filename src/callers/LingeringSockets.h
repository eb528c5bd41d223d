/// \file
/// Sockets that are closed from this side while the caller may still send.
///
/// Closing a socket with unread input resets the connection, and the caller
/// could lose the end of an answer. A lingering socket discards its input until
/// the caller closes, for a limited time. Internal to the package.

#ifndef FESCUEWOOD_CALLERS_LINGERINGSOCKETS_H
#define FESCUEWOOD_CALLERS_LINGERINGSOCKETS_H

#include <atomic>
#include <cstddef>
#include <list>
#include <memory>

#include <asio.hpp>

namespace fescuewood {

/// Maximum number of bytes discarded on one connection after its last answer.
inline constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;

/// For the thread of its sockets only, except \ref count.
class LingeringSockets {
public:
  /// Ends the sending direction of \p Socket and closes it later.
  void add(asio::ip::tcp::socket Socket);

  void closeAll();

  /// Closes the socket that has waited for longest, if there is one.
  void closeOldest();

  /// Number of sockets that are not closed yet; thread-safe.
  std::size_t count() const { return Count; }

private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;

  void discard(const EntryPtr &Item);
  void close(const EntryPtr &Item);

  std::list<EntryPtr> Entries; ///< By age.
  std::atomic<std::size_t> Count = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_LINGERINGSOCKETS_H
