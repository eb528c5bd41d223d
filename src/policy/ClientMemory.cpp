#include "policy/ClientMemory.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Descriptors that the deployments reserve for files.
constexpr std::size_t FileDescriptors = 200;

/// Part of the other descriptors that connections of clients may use. The
/// deployed 2,000 connections fit into the 4,100 of the smallest machine.
constexpr double ConnectionShare = 0.6;

/// Served even if hardly any descriptors are available.
constexpr std::size_t MinConnections = 8;

/// Limit where the machine's memory is not known.
constexpr std::size_t DefaultMaxBytes = 64 * 1024 * 1024;

/// Compares connections by bytes and time without progress.
double weight(std::size_t Bytes, DurationMs Age) {
  return static_cast<double>(Bytes) * static_cast<double>(Age.Value);
}

} // namespace

ClientLimits clientLimits(const ClientResources &Resources) {
  ClientLimits Limits{DefaultMaxBytes, Resources.MaxConnections};
  if (Resources.MachineBytes > 0)
    Limits.MaxBytes = static_cast<std::size_t>(
        static_cast<double>(Resources.MachineBytes) * Resources.MemoryShare);
  if (Resources.MaxDescriptors > 0) {
    const std::size_t Sockets =
        Resources.MaxDescriptors -
        std::min(Resources.MaxDescriptors, FileDescriptors);
    const auto Available = static_cast<std::size_t>(
        static_cast<double>(Sockets) * ConnectionShare);
    Limits.MaxConnections =
        std::min(Limits.MaxConnections, std::max(Available, MinConnections));
  }
  return Limits;
}

ClientMemory::ClientId ClientMemory::open(const std::string &Address,
                                          TimeMs Now) {
  const ClientId Id = ++LastId;
  Clients[Id] = {Address, ClientActivity::Idle, 0, Now};
  ++ConnectionsByAddress[Address];
  return Id;
}

void ClientMemory::close(ClientId Id) {
  const auto Found = Clients.find(Id);
  if (Found == Clients.end())
    return;
  HeldBytes -= Found->second.Bytes;
  const auto Crowd = ConnectionsByAddress.find(Found->second.Address);
  if (--Crowd->second == 0)
    ConnectionsByAddress.erase(Crowd);
  Clients.erase(Found);
}

void ClientMemory::update(ClientId Id, ClientActivity Activity,
                          std::size_t Bytes, bool Progress, TimeMs Now) {
  const auto Found = Clients.find(Id);
  if (Found == Clients.end())
    return;
  Client &Item = Found->second;
  HeldBytes = HeldBytes - Item.Bytes + Bytes;
  // Time that passed in the node is not held against the client.
  const bool Resumed = Item.Activity == ClientActivity::Waiting &&
                       Activity != ClientActivity::Waiting;
  if (Progress || Resumed)
    Item.LastProgress = Now;
  Item.Activity = Activity;
  Item.Bytes = Bytes;
}

std::optional<ClientMemory::ClientId>
ClientMemory::findExcess(TimeMs Now) const {
  if (HeldBytes > Limits.MaxBytes) {
    const auto Stalled = largestStalled(Now);
    return Stalled ? Stalled : oldestOfLargestCrowd(Now);
  }
  if (Clients.size() > Limits.MaxConnections)
    return longestIdle(Now);
  return std::nullopt;
}

/// The connection with the largest weight, of those to which \p WeightOf gives
/// one. Never one that waits for the node.
template <typename WeightOfClient>
std::optional<ClientMemory::ClientId>
ClientMemory::heaviest(WeightOfClient WeightOf) const {
  std::optional<ClientId> Result;
  std::optional<double> MaxWeight;
  for (const auto &[Id, Item] : Clients) {
    if (Item.Activity == ClientActivity::Waiting)
      continue;
    const std::optional<double> Weight = WeightOf(Item);
    if (Weight && (!MaxWeight || *Weight > *MaxWeight)) {
      MaxWeight = Weight;
      Result = Id;
    }
  }
  return Result;
}

std::optional<ClientMemory::ClientId>
ClientMemory::largestStalled(TimeMs Now) const {
  return heaviest([&](const Client &Item) -> std::optional<double> {
    const DurationMs Age = Now - Item.LastProgress;
    if (Age < Limits.StallTime)
      return std::nullopt;
    return weight(Item.Bytes, Age);
  });
}

/// Of the address with most connections, the one that holds most for longest.
/// None if no address has more than one, since its only connection may belong
/// to an ordinary request.
std::optional<ClientMemory::ClientId>
ClientMemory::oldestOfLargestCrowd(TimeMs Now) const {
  const auto Crowd =
      std::max_element(ConnectionsByAddress.begin(), ConnectionsByAddress.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       });
  if (Crowd == ConnectionsByAddress.end() || Crowd->second < 2)
    return std::nullopt;
  return heaviest([&](const Client &Item) -> std::optional<double> {
    if (Item.Address != Crowd->first)
      return std::nullopt;
    // One more, so that among the newest ones the bytes decide.
    return weight(Item.Bytes, Now - Item.LastProgress + DurationMs(1));
  });
}

std::optional<ClientMemory::ClientId>
ClientMemory::longestIdle(TimeMs Now) const {
  return heaviest([&](const Client &Item) -> std::optional<double> {
    const DurationMs Age = Now - Item.LastProgress;
    const DurationMs MinAge = Item.Activity == ClientActivity::Idle
                                  ? MinClientIdleTime
                                  : Limits.StallTime;
    if (Age < MinAge || Age <= DurationMs(0))
      return std::nullopt;
    return static_cast<double>(Age.Value);
  });
}

} // namespace fescuewood
