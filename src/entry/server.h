#ifndef DAISYPOND_ENTRY_SERVER_H_
#define DAISYPOND_ENTRY_SERVER_H_

#include "entry/control_plane.h"
#include "entry/generation_handler.h"
#include "entry/instance.h"
#include "entry/service_call_handler.h"
#include "http/server.h"

namespace daisypond::entry {

/// Routes requests to their handlers.
class Server {
 public:
  Server(Instance* instance, ControlPlane* control_plane);

  bool IsRunning() const { return server_.IsRunning(); }

  /// Requests that are being served now.
  int64_t OpenRequests() const { return open_requests_; }

 private:
  void Route(const http::ServerRequest& request, http::ResponseStream* stream);
  void RouteGet(const http::ServerRequest& request,
                http::ResponseStream* stream);
  void SetLinkFault(const http::ServerRequest& request,
                    http::ResponseStream* stream);
  bool IsReady() const;

  Instance* instance_;
  ControlPlane* control_plane_;
  GenerationHandler generation_handler_;
  ServiceCallHandler service_call_handler_;
  std::atomic<int64_t> open_requests_ = 0;
  // Last: it must stop before what its threads use.
  http::Server server_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SERVER_H_
