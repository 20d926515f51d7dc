#ifndef BRIARSPREAD_BATCH_JOB_PEER_HANDLER_H_
#define BRIARSPREAD_BATCH_JOB_PEER_HANDLER_H_

#include <memory>

#include "briarspread/batch/job_gateway.h"
#include "briarspread/proxy/request_handler.h"

namespace briarspread::batch {

/// Handles the calls of other instances that concern jobs. Loop's thread only.
class JobPeerHandler final {
 public:
  /// Precondition: `gateway` outlives this object and all responses.
  explicit JobPeerHandler(JobGateway& gateway) : gateway_(gateway) {}

  /// Answers the request if it concerns jobs. Returns false otherwise, without
  /// an answer.
  bool TryAnswer(const proxy::Request& request,
                 const std::shared_ptr<proxy::Responder>& responder);

 private:
  using ResponderPtr = std::shared_ptr<proxy::Responder>;

  void Accept(const proxy::Request& request, const ResponderPtr& responder);
  void HandleNotice(std::string_view query, const std::string& body,
                    const ResponderPtr& responder);
  void HandleLoads(std::string_view query, const std::string& body,
                   const ResponderPtr& responder);
  /// Whether the job is held here. If not, checks whether it should be.
  bool IsHeld(const JobId& id);
  void Read(const JobId& id, std::string_view query,
            const ResponderPtr& responder);
  void ReadBody(const JobId& id, std::string_view query,
                const ResponderPtr& responder);
  void End(const JobId& id, const ResponderPtr& responder);
  void Adopt(const JobId& id, std::string_view query, const std::string& body,
             const ResponderPtr& responder);

  JobGateway& gateway_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_JOB_PEER_HANDLER_H_
