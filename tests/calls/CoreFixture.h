/// \file
/// One call core with its own time, for tests of what it sends and reports.

#ifndef FESCUEWOOD_TESTS_CALLS_COREFIXTURE_H
#define FESCUEWOOD_TESTS_CALLS_COREFIXTURE_H

#include "calls/CallCore.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Base of test groups. The node has the name "east/0" and serves the service
/// "queue", unless the test changes that.
struct CoreFixture : public Utest {
  fescuewood::TimeMs Now{10'000};
  std::vector<fescuewood::Event> Events;
  fescuewood::CallIdentity Self;
  fescuewood::CallSettings Settings;
  fescuewood::CallHooks Hooks;
  std::unique_ptr<fescuewood::CallCore> Core;

  CoreFixture() {
    Self.Name = "east/0";
    Self.Domain = "east";
    Self.Service = "queue";
    Self.Incarnation = 1;
    Hooks.Send = [](const fescuewood::PeerRequest &,
                    const fescuewood::PeerReplyHook &) {};
    Hooks.Random = [] { return 0; };
    Hooks.OnEvent = [this](const fescuewood::Event &Reported) {
      Events.push_back(Reported);
    };
  }

  /// Starts the node. An instance of the service is named DOMAIN/NUMBER, which
  /// is also the address of its node.
  void startCore(std::shared_ptr<const fescuewood::Snapshot> Config,
                 const std::vector<std::string> &InstanceNames) {
    Core = std::make_unique<fescuewood::CallCore>(
        Self, Settings, Hooks, fescuewood::Clock([this] { return Now; }));
    Core->setSnapshot(std::move(Config));
    std::vector<fescuewood::Instance> Instances;
    for (const std::string &Name : InstanceNames) {
      fescuewood::Instance &Added = Instances.emplace_back();
      Added.Name = Name;
      Added.Domain = Name.substr(0, Name.find('/'));
      Added.Service = "queue";
      Added.PeerAddress = Name;
      Added.State = fescuewood::TargetState::Ready;
    }
    Core->setInstances(Instances);
  }

  /// A configuration of the service with failure domains and their regions.
  static std::shared_ptr<fescuewood::Snapshot>
  makeConfig(std::uint32_t Slots,
             const std::map<std::string, std::string> &RegionOfDomain) {
    auto Config = std::make_shared<fescuewood::Snapshot>();
    Config->Id.Revision = 1;
    Config->Services["queue"] = {"queue", Slots};
    for (const auto &[Domain, Region] : RegionOfDomain)
      Config->Domains[Domain] = {Domain, Region, fescuewood::DomainStatus::In,
                                 2};
    return Config;
  }

  static fescuewood::CallRequest makeRequest(fescuewood::DurationMs Remaining) {
    fescuewood::CallRequest Request;
    Request.Method = "GET";
    Request.Target = "/queue";
    Request.Service = "queue";
    Request.Remaining = Remaining;
    return Request;
  }

  /// A run that has ended with an answer.
  static fescuewood::RunResult makeResult(int Status) {
    fescuewood::RunResult Result;
    Result.Answer.emplace();
    Result.Answer->Status = Status;
    Result.Answer->RequestOutcome = fescuewood::Outcome::Ran;
    return Result;
  }
};

#endif // FESCUEWOOD_TESTS_CALLS_COREFIXTURE_H
