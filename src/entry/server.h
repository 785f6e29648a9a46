#ifndef DAISYPOND_ENTRY_SERVER_H_
#define DAISYPOND_ENTRY_SERVER_H_

#include "entry/control_plane.h"
#include "entry/generation_handler.h"
#include "entry/instance.h"
#include "entry/service_call_handler.h"
#include "http/server.h"

namespace daisypond::entry {

/// The HTTP server for callers. Passes each request to the handler for its
/// path.
class Server {
 public:
  Server(Instance* instance, ControlPlane* control_plane);

  bool IsRunning() const { return server_.IsRunning(); }

  /// The number of requests that are being read, served or answered.
  int64_t OpenRequests() const { return server_.OpenRequests(); }

  /// True if no request is open, expected soon or may wait for a thread.
  bool IsIdle() const { return server_.IsIdle(); }

  /// True if an instance that began to stop at `began_at` may close its port.
  bool MayClose(base::Millis began_at) const {
    return server_.MayClose(began_at);
  }

 private:
  void Route(const http::ServerRequest& request, http::ResponseStream* stream);
  static http::ServerOptions OptionsFor(Instance* instance);
  /// Refuses a request whose body has not arrived whole.
  void RefuseUnreadBody(const http::ServerRequest& request,
                        http::ResponseStream* stream);
  void RouteGet(const http::ServerRequest& request,
                http::ResponseStream* stream);
  /// Starts or ends a simulated network fault on the links to an address, for
  /// failure tests.
  void SetLinkFault(const http::ServerRequest& request,
                    http::ResponseStream* stream);
  /// True if the instance has a configuration, has finished peer discovery and
  /// is not stopping.
  bool IsReady() const;

  Instance* instance_;
  ControlPlane* control_plane_;
  GenerationHandler generation_handler_;
  ServiceCallHandler service_call_handler_;
  // Declared last, so that it is destroyed first: its threads use the members
  // above.
  http::Server server_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SERVER_H_
