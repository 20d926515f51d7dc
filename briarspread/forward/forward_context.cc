#include "briarspread/forward/forward_context.h"

#include "briarspread/forward/response_verdict.h"

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
  const Verdict verdict = VerdictOf(head, context.headers);
  if (verdict == Verdict::kMayHaveRun) {
    ++context.metrics.faults["unmarked_refusal"];
  }
  const bool is_refused = verdict == Verdict::kNotRun;
  // Limits of the request rate are kept by the limiter.
  if (is_refused && head.headers.Find(context.headers.limit) == nullptr) {
    context.directory.RecordRefusal(upstream);
  }
}

}  // namespace briarspread::forward
