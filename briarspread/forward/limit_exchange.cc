#include "briarspread/forward/limit_exchange.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread::forward {
namespace {

using Json = nlohmann::json;
using Reservation = RateReservations::Reservation;

/// Timeout of a call to the keeper of a limit.
constexpr milliseconds kKeeperTimeout{500};
/// Time after which a keeper that could not be asked is asked again. The
/// registration of one that is gone expires within a few of these.
constexpr milliseconds kKeeperRetryDelay{300};
/// Longest wait that one instance accepts from another.
constexpr milliseconds kMaxWait{60000};

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const UpstreamStart& start) {
  return Json{{"id", start.id.value()}, {"start", start.start_id}};
}

/// Throws Json::exception if a field is missing or has another type.
UpstreamStart ParseStart(const Json& json) {
  return {UpstreamId(json.at("id").get<std::string>()),
          json.at("start").get<std::uint64_t>()};
}

bool IsRate(double rate) { return std::isfinite(rate) && rate >= 0; }

std::optional<Reservation> ParseReservation(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  try {
    const auto wait_us = json.at("wait_us").get<std::int64_t>();
    const Duration wait = std::clamp<Duration>(
        std::chrono::microseconds(wait_us), Duration(0), kMaxWait);
    return Reservation{json.at("granted").get<bool>(), wait};
  } catch (const Json::exception&) {
    // Malformed text; the caller logs it.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeLimitNotices(const std::vector<LimitNotice>& notices) {
  Json list = Json::array();
  for (const LimitNotice& notice : notices) {
    Json each = ToJson(notice.start);
    if (notice.rate.has_value()) each["per_second"] = notice.rate->value();
    list.push_back(std::move(each));
  }
  return Dump(list);
}

std::optional<std::vector<LimitNotice>> ParseLimitNotices(
    const std::string& text) {
  const Json list = Json::parse(text, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  try {
    std::vector<LimitNotice> notices;
    for (const Json& each : list) {
      LimitNotice notice{ParseStart(each), std::nullopt};
      if (each.contains("per_second")) {
        const double rate = each.at("per_second").get<double>();
        if (!IsRate(rate)) return std::nullopt;
        notice.rate = RequestRate(rate);
      }
      notices.push_back(notice);
    }
    return notices;
  } catch (const Json::exception&) {
    // Malformed text; the caller logs it.
    return std::nullopt;
  }
}

std::string EncodePermitRequest(const PermitRequest& request) {
  Json json = ToJson(request.start);
  json["per_second"] = request.rate.value();
  json["max_wait_ms"] = request.max_wait.count();
  return Dump(json);
}

std::optional<PermitRequest> ParsePermitRequest(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  try {
    const double rate = json.at("per_second").get<double>();
    const auto max_wait = json.at("max_wait_ms").get<std::int64_t>();
    if (!IsRate(rate) || max_wait < 0) return std::nullopt;
    return PermitRequest{ParseStart(json), RequestRate(rate),
                         std::min(milliseconds(max_wait), kMaxWait)};
  } catch (const Json::exception&) {
    // Malformed text; the caller logs it.
    return std::nullopt;
  }
}

LimitExchange::LimitExchange(asio::io_context& loop, RequestLimiter& limiter,
                             PeerClient& peers, RandomSource& random,
                             const Clock& clock,
                             NoticeExchange::PeerListFunction list_peers,
                             FindKeeper find_keeper,
                             const NoticeExchangeSettings& settings)
    : loop_(loop),
      limiter_(limiter),
      peers_(peers),
      find_keeper_(std::move(find_keeper)),
      reservations_(RateReservationsSettings{}, clock),
      exchange_(loop, *this, "limits", peers, random, std::move(list_peers),
                settings) {
  limiter_.SetPermitSource(*this);
  limiter_.SetOnNotice([this](const LimitNotice& notice) {
    unpublished_.push_back(notice);
    exchange_.SchedulePublish();
  });
}

void LimitExchange::DropOld() {
  limiter_.DropOld();
  reservations_.DropOld();
}

// --- Notices

std::string LimitExchange::EncodeAll() const {
  return EncodeLimitNotices(limiter_.limits().All());
}

std::string LimitExchange::TakeUnpublished() {
  const auto notices = std::exchange(unpublished_, {});
  return notices.empty() ? std::string() : EncodeLimitNotices(notices);
}

bool LimitExchange::Merge(const std::string& body) {
  const auto notices = ParseLimitNotices(body);
  if (!notices.has_value()) return false;
  for (const LimitNotice& notice : *notices) {
    limiter_.RecordPeerNotice(notice);
    std::erase_if(unpublished_, [&notice](const LimitNotice& own) {
      return own.start == notice.start &&
             own.rate.has_value() == notice.rate.has_value();
    });
  }
  return true;
}

// --- Permits

void LimitExchange::RequestPermit(const PermitRequest& request, Done done) {
  const auto keeper = find_keeper_(request.start.id);
  if (!keeper.has_value()) {
    Deliver({false, kKeeperRetryDelay}, std::move(done));
  } else if (keeper->is_self) {
    Deliver(
        reservations_.Reserve(request.start, request.rate, request.max_wait),
        std::move(done));
  } else {
    AskKeeper(keeper->endpoint, request, done);
  }
}

void LimitExchange::AskKeeper(const Endpoint& keeper,
                              const PermitRequest& request, const Done& done) {
  PeerCall call;
  call.method = "POST";
  call.target = kPermitPath;
  call.body = EncodePermitRequest(request);
  call.timeout = kKeeperTimeout;
  peers_.Call(keeper, std::move(call),
              [this, done, id = request.start.id,
               keeper](const Result<proxy::Response>& result) {
                std::optional<Reservation> reservation;
                if (IsOk(result) && ValueOf(result).head.status == 200) {
                  reservation = ParseReservation(ValueOf(result).body);
                }
                if (!reservation.has_value()) {
                  LOG(INFO) << "event=permit_not_answered upstream=" << id
                            << " keeper=" << keeper.host;
                }
                Deliver(
                    reservation.value_or(Reservation{false, kKeeperRetryDelay}),
                    done);
              });
}

void LimitExchange::Deliver(const Reservation& reservation, Done done) {
  const std::uint64_t number = next_delivery_++;
  auto timer = std::make_unique<LoopTimer>(loop_);
  const Duration delay =
      reservation.is_granted ? reservation.wait : Duration(0);
  timer->After(delay, [this, number, reservation, done = std::move(done)] {
    const auto keep = std::move(deliveries_.extract(number).mapped());
    done({reservation.is_granted, reservation.wait});
  });
  deliveries_.emplace(number, std::move(timer));
}

bool LimitExchange::TryAnswer(
    const proxy::Request& request,
    const std::shared_ptr<proxy::Responder>& responder) {
  if (proxy::SplitTarget(request.head.target).path != kPermitPath) {
    return exchange_.TryAnswer(request, responder);
  }
  responder->Send(AnswerPermit(request.body));
  return true;
}

proxy::Response LimitExchange::AnswerPermit(const std::string& body) {
  const auto request = ParsePermitRequest(body);
  if (!request.has_value()) {
    LOG(WARNING) << "event=permit_request_malformed bytes=" << body.size();
    return proxy::MakeResponse(400, "{\"error\":\"bad permit request\"}");
  }
  const auto keeper = find_keeper_(request->start.id);
  if (!keeper.has_value() || !keeper->is_self) {
    return proxy::MakeResponse(409, "{\"error\":\"not the keeper\"}");
  }
  limiter_.RecordPeerNotice({request->start, request->rate});
  const Reservation reservation =
      reservations_.Reserve(request->start, request->rate, request->max_wait);
  const auto wait =
      std::chrono::duration_cast<std::chrono::microseconds>(reservation.wait);
  return proxy::MakeResponse(200, Dump({{"granted", reservation.is_granted},
                                        {"wait_us", wait.count()}}));
}

}  // namespace briarspread::forward
