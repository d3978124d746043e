#include "http_exchange.h"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string_view>

#include "cassiakeel/platform/platform.h"
#include "cassiakeel/syntax/response.h"

namespace cassiakeel::platform::pvt {

namespace {

/// Largest answer that is read; objects hold at most a policy sheet or the
/// deduplication table of one shard.
constexpr std::size_t kMaxResponseBytes = std::size_t{256} << 20;

constexpr long kTooManyRequests = 429;
constexpr long kServiceUnavailable = 503;

void InitCurlOnce() {
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kResult != CURLE_OK) {
    throw PlatformException(
        Error{"start HTTP client", {}, curl_easy_strerror(kResult)}, false);
  }
}

/// What has arrived of a response.
struct Transfer {
  syntax::PartialResponse response;
  std::string body;
  /// Why the response is malformed.
  std::string error;
};

std::size_t AppendBody(char* data, std::size_t, std::size_t size, void* out) {
  auto* transfer = static_cast<Transfer*>(out);
  const auto content = syntax::TakeBody(transfer->response, {data, size});
  if (!content) {
    transfer->error = content.error().ToString();
    return 0;
  }
  if (transfer->body.size() + content->size() > kMaxResponseBytes) {
    transfer->error = "response is too long";
    return 0;
  }
  transfer->body.append(*content);
  return size;
}

std::size_t ReadHeader(char* data, std::size_t, std::size_t size, void* out) {
  auto* transfer = static_cast<Transfer*>(out);
  const auto taken = syntax::TakeHeaderLine(transfer->response, {data, size});
  if (!taken) {
    transfer->error = taken.error().ToString();
    return 0;
  }
  return size;
}

struct EasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

/// Header list of one request, freed with it.
class HeaderLines {
 public:
  HeaderLines() = default;
  ~HeaderLines() { curl_slist_free_all(this->list); }
  HeaderLines(const HeaderLines&) = delete;
  HeaderLines& operator=(const HeaderLines&) = delete;
  void Add(const char* line) {
    this->list = curl_slist_append(this->list, line);
  }
  curl_slist* get() const { return this->list; }

 private:
  curl_slist* list = nullptr;
};

void SetOptions(CURL* handle,
                const HttpRequest& request,
                const std::string& url,
                std::chrono::milliseconds timeout,
                const HeaderLines& headers) {
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  // The chunked coding is checked and removed here.
  curl_easy_setopt(handle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  if (request.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  }
}

}  // namespace

std::string UrlEncode(const std::string& text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded += '%';
      encoded += kHexDigits[byte >> 4];
      encoded += kHexDigits[byte & 0xf];
    }
  }
  return encoded;
}

HttpExchange::HttpExchange(PeerAddress address,
                           std::chrono::milliseconds timeout)
    : address(std::move(address)), timeout(timeout) {
  InitCurlOnce();
}

HttpResponse HttpExchange::Perform(const HttpRequest& request) {
  // Each call has a handle and a connection of its own. libcurl sends a request
  // again when a reused connection closes before any answer; the first copy of
  // a conditional write may have been applied, and the second would then report
  // a conflict. Nor could a late copy of an answer be told from the next one.
  const std::unique_ptr<CURL, EasyDeleter> handle(curl_easy_init());
  if (!handle) {
    this->Throw("start HTTP client", "out of memory", false);
  }
  HeaderLines headers;
  // Without this libcurl waits up to 1 s for "100 Continue" on large bodies.
  headers.Add("Expect:");
  headers.Add("Content-Type: application/octet-stream");
  const std::string url = "http://" + this->address.Value() + request.target;
  Transfer transfer;
  transfer.response = syntax::ExpectResponse(request.method);
  SetOptions(handle.get(), request, url, this->timeout, headers);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, ReadHeader);
  curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &transfer);
  const CURLcode code = curl_easy_perform(handle.get());
  // libcurl takes a head that ends early for a whole response.
  if (code == CURLE_OK && !syntax::IsWhole(transfer.response)) {
    transfer.error = "response ends within its head";
  }
  if (code != CURLE_OK || !transfer.error.empty()) {
    this->Throw(
        request.step,
        transfer.error.empty() ? curl_easy_strerror(code) : transfer.error,
        request.is_write && code != CURLE_COULDNT_CONNECT);
  }
  HttpResponse response;
  response.status = transfer.response.scan.start.status;
  response.body = std::move(transfer.body);
  if (const auto* etag = http::FindHeader(transfer.response.headers, "ETag")) {
    response.etag = *etag;
  }
  if (response.status == kTooManyRequests) {
    this->Throw(request.step, "over the rate limit (429)", false);
  }
  if (response.status == kServiceUnavailable) {
    this->Throw(request.step, "the platform is down (503)", false);
  }
  return response;
}

void HttpExchange::Throw(const std::string& step,
                         const std::string& message,
                         bool may_have_applied) const {
  throw PlatformException(Error{step, this->address, message},
                          may_have_applied);
}

}  // namespace cassiakeel::platform::pvt
