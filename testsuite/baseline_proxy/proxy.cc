#include "proxy.h"

#include <strings.h>

#include <string_view>
#include <utility>

namespace cassiakeel::testsuite {

namespace {

/// Header fields that apply to one connection only.
bool IsHopByHop(const std::string& name) {
  for (const char* hop : {"Connection", "Content-Length", "Transfer-Encoding",
                          "Host", "Keep-Alive"}) {
    if (strcasecmp(name.c_str(), hop) == 0) {
      return true;
    }
  }
  return false;
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  HeaderList kept;
  for (const auto& field : headers) {
    if (!IsHopByHop(field.first)) {
      kept.push_back(field);
    }
  }
  return kept;
}

}  // namespace

/// One forwarded call.
struct Proxy::Forward {
  ServerRequest request;
  Responder respond;
  std::string service;
  /// Path and query without the service.
  std::string target;
  int tries = 0;
  HttpClient::CallId call = 0;
};

Proxy::Proxy(asio::io_context& context, const ProxyOptions& options)
    : options(options), client(context, options.connections) {}

Result<std::unique_ptr<Proxy>> Proxy::Create(asio::io_context& context,
                                             const ProxyOptions& options) {
  std::unique_ptr<Proxy> proxy(new Proxy(context, options));
  auto server = HttpServer::Create(
      context, options.listen,
      [self = proxy.get()](ServerRequest request, const Responder& respond) {
        self->Handle(std::move(request), respond);
      },
      [self = proxy.get()](std::uint64_t connection) {
        self->OnConnectionClosed(connection);
      });
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  proxy->server = std::move(*server);
  return proxy;
}

void Proxy::Handle(ServerRequest request, const Responder& respond) {
  auto forward = std::make_shared<Forward>();
  const auto slash = request.path.find('/', 1);
  if (request.path.starts_with("/cassiakeel/")) {
    // Backend servers register here as they do at a node; accept and ignore it.
    respond(ServerResponse{200});
    return;
  }
  forward->service = request.path.substr(1, slash - 1);
  if (slash == std::string::npos ||
      !this->options.endpoints.contains(forward->service)) {
    respond(ServerResponse{404, "unknown service"});
    return;
  }
  forward->target = request.path.substr(slash);
  if (!request.query.empty()) {
    forward->target += "?" + request.query;
  }
  forward->request = std::move(request);
  forward->respond = respond;
  this->open_forwards.emplace(forward->request.connection, forward);
  this->StartTry(forward);
}

void Proxy::StartTry(const ForwardPtr& forward) {
  const auto& endpoints = this->options.endpoints.at(forward->service);
  std::size_t& next = this->next_endpoint[forward->service];
  ++forward->tries;
  forward->call = this->client.Send(
      {forward->request.method, endpoints[next++ % endpoints.size()],
       forward->target, EndToEndHeaders(forward->request.headers),
       forward->request.body, this->options.timeout},
      [this, forward](const ClientResponse& response) {
        this->OnAnswer(forward, response);
      });
}

void Proxy::OnAnswer(const ForwardPtr& forward,
                     const ClientResponse& response) {
  const bool failed =
      response.transfer != Transfer::kComplete || response.status >= 500;
  if (failed && forward->tries < this->options.tries) {
    this->StartTry(forward);
    return;
  }
  this->RemoveForward(forward);
  if (response.transfer == Transfer::kComplete) {
    forward->respond(
        {response.status, response.body, EndToEndHeaders(response.headers)});
  } else {
    forward->respond(
        {response.transfer == Transfer::kTimeout ? 504 : 502, "no answer"});
  }
}

void Proxy::OnConnectionClosed(std::uint64_t connection) {
  const auto [first, last] = this->open_forwards.equal_range(connection);
  for (auto entry = first; entry != last; ++entry) {
    this->client.Cancel(entry->second->call);
  }
  this->open_forwards.erase(first, last);
}

void Proxy::RemoveForward(const ForwardPtr& forward) {
  const auto [first, last] =
      this->open_forwards.equal_range(forward->request.connection);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == forward) {
      this->open_forwards.erase(entry);
      return;
    }
  }
}

}  // namespace cassiakeel::testsuite
