#include "nodes/ControlMessages.h"

#include "support/Property.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

MemberRecord sampleRecord() {
  return {{"recife/archive-2", "recife", "archive", 2, "10.1.2.3:7000",
           TargetState::Draining},
          {1234567890123ULL, 4, MemberHealth::Suspect},
          {9, true, 5}};
}

ExchangeMessage sampleExchange() {
  ExchangeMessage Message;
  Message.InForce = Version{7, Digest::sha256("x")};
  Message.MemberCount = 1100;
  Message.TableDigest = 0xfedcba9876543210ULL;
  Message.Rumours = {sampleRecord()};
  Message.KnownRumours = 5;
  Message.SlotBits = std::string("\0\xff", 2);
  Message.SenderUnknown = true;
  return Message;
}

} // namespace

TEST_GROUP(ControlMessages){};

TEST(ControlMessages, UnpacksPackedMessages) {
  const auto Exchange = unpackExchange(packExchange(sampleExchange()));
  CHECK_TRUE(Exchange.has_value());
  CHECK_TRUE(Exchange->InForce == sampleExchange().InForce);
  CHECK_TRUE(Exchange->Rumours == sampleExchange().Rumours);
  CHECK_TRUE(Exchange->SlotBits == sampleExchange().SlotBits);
  CHECK_TRUE(Exchange->SenderUnknown);

  RepairRequest Repair;
  Repair.Buckets[MemberBuckets - 1] = 1700;
  const auto Request = unpackExchangeRequest(packRepair(Repair));
  CHECK_TRUE(Request && Request->Repair);
  CHECK_TRUE(Request->Repair->Buckets == Repair.Buckets);

  FetchReply Reply;
  Reply.Delta = BundleDelta{{1, Digest::sha256("a")},
                            {2, Digest::sha256("b")},
                            {{"10-a.ini", "text"}},
                            {"20-b.ini"}};
  const auto Fetched = unpackFetchReply(packFetchReply(Reply));
  CHECK_TRUE(Fetched && Fetched->Delta && !Fetched->Whole);
  CHECK_TRUE(*Fetched->Delta == *Reply.Delta);
}

TEST(ControlMessages, StaysBelow700BytesWithFullRumours) {
  ExchangeMessage Message = sampleExchange();
  Message.Rumours.assign(6, sampleRecord());

  CHECK_TRUE(packExchange(Message).size() < 700);
}

TEST(ControlMessages, RejectsRecordsOutOfBounds) {
  ExchangeMessage Message = sampleExchange();
  Message.Rumours[0].Place.PeerAddress = "a-host-name:80";
  CHECK_FALSE(unpackExchange(packExchange(Message)).has_value());

  Message = sampleExchange();
  Message.Rumours[0].Place.State = static_cast<TargetState>(9);
  CHECK_FALSE(unpackExchange(packExchange(Message)).has_value());
}

TEST(ControlMessages, ToleratesAlteredBytes) {
  checkProperty("altered bodies", [](std::size_t Position, std::uint8_t Value,
                                     std::size_t Length) {
    for (std::string Body :
         {packExchange(sampleExchange()), packRepair({}),
          packRepairReply({{sampleRecord()}}),
          packFetch(
              {{7, Digest::sha256("x")}, Version{6, Digest::sha256("y")}}),
          packFetchReply({IntentBundle{1, {{"a.ini", "b"}}}, {}})}) {
      Body[Position % Body.size()] = static_cast<char>(Value);
      Body.resize(1 + Length % Body.size());
      unpackExchangeRequest(Body);
      unpackExchange(Body);
      unpackRepairReply(Body);
      unpackFetch(Body);
      unpackFetchReply(Body);
    }
  });
}
