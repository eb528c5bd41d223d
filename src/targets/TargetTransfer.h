/// \file
/// One request to a target as a libcurl transfer, and the result it gives.
///
/// Internal to the package. \ref TargetClient prepares a transfer, drives its
/// handle and completes it once.

#ifndef FESCUEWOOD_TARGETS_TARGETTRANSFER_H
#define FESCUEWOOD_TARGETS_TARGETTRANSFER_H

#include "targets/TargetClient.h"

#include <chrono>
#include <memory>
#include <string_view>

#include <curl/curl.h>

namespace fescuewood {

/// A request, its answer so far, and whether any of it was sent.
class TargetTransfer {
public:
  /// \param Options outlive the transfer.
  TargetTransfer(const std::string &Base, TargetRequest Request,
                 const TargetClientOptions &Options, TargetHook OnResult);

  /// Sets the handle's options. Returns false when the request cannot be
  /// written as HTTP, for example because a field holds a line break.
  bool prepare();

  CURL *handle() const { return Easy.get(); }

  /// What a finished transfer's libcurl code means; Ok for a whole answer.
  ResultCode reasonFor(CURLcode Code) const;

  /// Calls the hook, with the answer when \p Reason is Ok.
  void complete(ResultCode Reason);

private:
  struct EasyDeleter {
    void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
  };
  struct ListDeleter {
    void operator()(curl_slist *List) const { curl_slist_free_all(List); }
  };

  bool addField(std::string_view Name, std::string_view Value);
  bool addFields();
  void setBody();
  Outcome outcome(ResultCode Reason) const;
  bool framed() const;
  ResultCode judge() const;
  bool saysNotRun() const;
  bool saysMistaken() const;
  bool proven() const;

  bool takeFieldLine(std::string_view Line);
  void takeStatusLine();
  bool takeField(std::string_view Line);
  bool framingClear(const Header &Field) const;
  bool takeBody(std::string_view Bytes);
  static std::size_t onField(char *Data, std::size_t Size, std::size_t Count,
                             void *User);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *User);
  static int onConnected(void *User, char *, char *, int, int);

  const std::string &Base;
  TargetRequest Request;
  const TargetClientOptions &Options;
  TargetHook OnResult;
  const std::chrono::steady_clock::time_point Begun;
  std::unique_ptr<CURL, EasyDeleter> Easy;
  std::unique_ptr<curl_slist, ListDeleter> Fields;
  CallAnswer Answer;
  std::size_t AnswerBytes = 0;
  bool HeadEnded = false; ///< Lines from here on are trailer fields.
  bool Sent = false;      ///< The first byte may have left.
  bool TooLarge = false;  ///< The answer went over the limit.
  bool Foreign = false;   ///< The answer names another request.
  std::string RequestId;  ///< That the answer has to name; empty: none.
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_TARGETTRANSFER_H
