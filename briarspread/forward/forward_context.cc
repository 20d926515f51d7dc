#include "briarspread/forward/forward_context.h"

namespace briarspread::forward {

void UpdateFromResponseHead(ForwardContext& context, const UpstreamId& upstream,
                            const proxy::ResponseHead& head, TimePoint sent) {
  const KnownUpstream* known = context.directory.Find(upstream);
  if (known == nullptr) return;
  context.limiter.RecordResponse({upstream, known->listed.start_id},
                                 head.headers.Find(context.headers.limit),
                                 sent);
  const std::string* load = head.headers.Find(context.headers.load);
  if (load != nullptr) context.directory.UpdateLoad(upstream, *load);
  const std::string* leaving = head.headers.Find(context.headers.leaving);
  if (leaving != nullptr && *leaving == "1") {
    context.directory.MarkLeaving(upstream);
  }
}

}  // namespace briarspread::forward
