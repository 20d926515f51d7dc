#include "briarspread/forward/departure_exchange.h"

#include <utility>

namespace briarspread::forward {

DepartureExchange::DepartureExchange(
    asio::io_context& loop, UpstreamDirectory& directory, PeerClient& peers,
    RandomSource& random, NoticeExchange::PeerListFunction list_peers,
    const NoticeExchangeSettings& settings)
    : directory_(directory),
      exchange_(loop, *this, "departures", peers, random, std::move(list_peers),
                settings) {
  directory_.SetOnDeparture([this](const UpstreamStart& start) {
    unpublished_.push_back(start);
    exchange_.SchedulePublish();
  });
}

std::string DepartureExchange::EncodeAll() const {
  return EncodeUpstreamStarts(directory_.departures().All());
}

std::string DepartureExchange::TakeUnpublished() {
  const auto starts = std::exchange(unpublished_, {});
  return starts.empty() ? std::string() : EncodeUpstreamStarts(starts);
}

bool DepartureExchange::Merge(const std::string& body) {
  const auto starts = ParseUpstreamStarts(body);
  if (!starts.has_value()) return false;
  for (const UpstreamStart& start : *starts) {
    directory_.RecordPeerDeparture(start);
    std::erase(unpublished_, start);
  }
  return true;
}

}  // namespace briarspread::forward
