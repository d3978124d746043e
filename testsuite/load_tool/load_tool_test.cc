#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "load_generator.h"
#include "plan.h"
#include "verdict.h"

namespace cassiakeel::testsuite {

namespace {

std::vector<std::pair<double, std::size_t>> Arrivals(std::uint64_t seed) {
  const Stream stream = *ParseStream("name=a,rate=100,path=/s/x");
  ArrivalSchedule schedule(
      stream,
      {*ParsePhase("10:1"), *ParsePhase("5:0"), *ParsePhase("10:9:a=2,b=7")},
      seed);
  std::vector<std::pair<double, std::size_t>> arrivals;
  while (schedule.Next()) {
    arrivals.emplace_back(
        std::chrono::duration<double>(schedule.arrival_time()).count(),
        schedule.phase());
  }
  return arrivals;
}

ClientResponse Answer(int status,
                      const std::string& body,
                      const std::string& outcome = "ran") {
  return {Transfer::kComplete, status, {{"cassiakeel-outcome", outcome}}, body};
}

}  // namespace

// Guards against load that does not have the requested rates, or that differs
// between the two runs of a comparison.
TEST_CASE(
    "a schedule has the rates of its phases and is determined by its seed") {
  const auto arrivals = Arrivals(7);
  CHECK(arrivals == Arrivals(7));
  CHECK(arrivals != Arrivals(8));
  std::size_t counts[3] = {};
  for (const auto& [at, phase] : arrivals) {
    ++counts[phase];
    CHECK(at >= (phase == 2 ? 15 : 0));
    CHECK(at < (phase == 0 ? 10 : 25));
  }
  // At least five standard deviations of a Poisson count.
  CHECK(std::abs(static_cast<double>(counts[0]) - 1000) < 160);
  CHECK(counts[1] == 0);
  CHECK(std::abs(static_cast<double>(counts[2]) - 2000) < 230);
}

// Guards against accepting an answer to another request.
TEST_CASE("answers are classified by the values they echo") {
  const ExpectedEcho plain{"r1", "", "/x"};
  const ExpectedEcho keyed{"r1", "k1", "/x"};
  const auto classify = [](const ExpectedEcho& expected,
                           const std::string& body) {
    return ClassifyResponse(Answer(200, body), expected).verdict;
  };
  CHECK(classify(plain, R"({"request":"r1","key":"","echo":"/x"})") ==
        Verdict::kOk);
  CHECK(classify(plain, R"({"request":"r2","key":"","echo":"/x"})") ==
        Verdict::kMismatched);
  CHECK(classify(plain, R"({"request":"r1","key":"","echo":"/y"})") ==
        Verdict::kMismatched);
  CHECK(classify(plain, R"({"request":"r1","key":"","ec)") ==
        Verdict::kCorrupt);
  // The stored answer to an earlier try of the same request.
  CHECK(classify(keyed, R"({"request":"r0","key":"k1","echo":"/x"})") ==
        Verdict::kOk);
  CHECK(classify(keyed, R"({"request":"r1","key":"k2","echo":"/x"})") ==
        Verdict::kMismatched);
}

// Guards against counting work that may have run as refused.
TEST_CASE("only an answer that says that nothing ran counts as refused") {
  const ExpectedEcho expected{"r1", "", "/x"};
  const auto verdict = [&](const ClientResponse& response) {
    return ClassifyResponse(response, expected).verdict;
  };
  CHECK(verdict(Answer(503, "", "not-run")) == Verdict::kRefused);
  CHECK(verdict(Answer(503, "", "")) == Verdict::kUnknown);
  CHECK(verdict(Answer(502, "", "ran")) == Verdict::kFailed);
  CHECK(verdict({Transfer::kNotSent, 0, {}, {}}) == Verdict::kRefused);
  CHECK(verdict({Transfer::kTimeout, 0, {}, {}}) == Verdict::kUnknown);
  CHECK(verdict({Transfer::kBroken, 200, {}, {}}) == Verdict::kCorrupt);
}

// Guards against libcurl's automatic resend: if a reused connection closes
// without an answer, the request must neither be sent twice nor count as not
// sent.
TEST_CASE("a call is sent once even if a reused connection closes") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  int requests = 0;
  auto socket = std::make_shared<asio::ip::tcp::socket>(context);
  auto buffer = std::make_shared<std::string>();
  std::function<void()> read = [&] {
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
        [&](const asio::error_code& error, std::size_t length) {
          if (error) {
            return;
          }
          buffer->erase(0, length);
          if (++requests > 1) {
            socket->close();
            acceptor.async_accept(*socket, [&](const auto&) { read(); });
            return;
          }
          asio::write(*socket,
                      asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                               "Content-Length: 0\r\n\r\n")));
          read();
        });
  };
  acceptor.async_accept(*socket, [&](const auto&) { read(); });
  HttpClient client(context);
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::vector<Transfer> transfers;
  const auto send = [&](const auto& then) {
    client.Send({"POST", address, "/"}, [&, then](const ClientResponse& got) {
      transfers.push_back(got.transfer);
      then();
    });
  };
  send([&] { send([&] { context.stop(); }); });
  context.run_for(std::chrono::seconds(5));
  CHECK(transfers ==
        std::vector<Transfer>{Transfer::kComplete, Transfer::kBroken});
  CHECK(requests == 2);
}

}  // namespace cassiakeel::testsuite
