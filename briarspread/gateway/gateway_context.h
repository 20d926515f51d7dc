#ifndef BRIARSPREAD_GATEWAY_GATEWAY_CONTEXT_H_
#define BRIARSPREAD_GATEWAY_GATEWAY_CONTEXT_H_

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/random_source.h"
#include "briarspread/gateway/control_state.h"
#include "briarspread/observe/entry_metrics.h"
#include "briarspread/observe/tracer.h"

namespace briarspread {

/// Objects shared by the components of one entry instance. All referenced
/// objects outlive the components and are thread-safe.
struct GatewayContext {
  /// The instance's name.
  InstanceId self;
  ControlState& state;
  const Clock& clock;
  RandomSource& random;
  EntryMetrics& metrics;
  Tracer& tracer;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_GATEWAY_GATEWAY_CONTEXT_H_
