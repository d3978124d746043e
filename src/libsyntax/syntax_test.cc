#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cassiakeel/syntax/malformed_responses.h"
#include "cassiakeel/syntax/message.h"
#include "cassiakeel/syntax/response.h"
#include "cassiakeel/syntax/scan.h"

namespace cassiakeel::syntax {
namespace {

struct Checked {
  bool valid = true;
  bool complete = false;
  std::size_t used = 0;
  std::string content;
  bool operator==(const Checked&) const = default;
};

// Checks one message that arrives in pieces of `piece` bytes.
Checked Check(Scan scan, const std::string& text, std::size_t piece) {
  Checked checked;
  while (scan.part != ScanPart::kComplete && checked.used < text.size()) {
    const auto step =
        Advance(scan, std::string_view(text).substr(checked.used, piece));
    if (!step) {
      return {false, false, 0, {}};
    }
    checked.used += step->used;
    checked.content.append(step->content);
  }
  checked.complete = scan.part == ScanPart::kComplete;
  return checked;
}

Checked CheckResponse(const std::string& text, bool to_head = false) {
  Scan scan;
  scan.kind = MessageKind::kResponse;
  scan.to_head = to_head;
  return Check(scan, text, text.size());
}

Checked CheckRequest(const std::string& text) {
  Scan scan;
  scan.kind = MessageKind::kRequest;
  return Check(scan, text, text.size());
}

}  // namespace

// Guards against a status that no response may have (RFC 9110, section 15;
// RFC 9112, section 4).
TEST_CASE("a status line has a version 1.x and a status from 100 to 599") {
  for (const char* line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 404 \xe9",
        "HTTP/1.2 100 a\tb", "HTTP/1.1 599 Unregistered"}) {
    INFO(line);
    CHECK(ParseStartLine(MessageKind::kResponse, line));
  }
  for (const char* line :
       {"HTTP/1.1 000 OK",  "HTTP/1.1 099 OK",    "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",  "HTTP/1.1 20 OK",     "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",  "HTTP/1.1 -20 OK",    "HTTP/1.1 101 Upgrade",
        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",   "HTTP/1.1200 OK",
        "HTTP/1.1 200\tOK", "HTTP/1.1 200 a\x01", "HTTP/1.1 200 a\x7f",
        "HTTP/2.0 200 OK",  "HTTP/0.9 200 OK",    "HTTP/1. 200 OK",
        "HTTP/1.10 200 OK", "HTTP/11 200 OK",     "http/1.1 200 OK",
        " HTTP/1.1 200 OK", "HTTP/1.1",           ""}) {
    INFO(line);
    CHECK_FALSE(ParseStartLine(MessageKind::kResponse, line));
  }
}

// Guards against a request that this node and the next one read differently.
TEST_CASE("a request line has three parts with one space between them") {
  for (const char* line :
       {"GET / HTTP/1.1", "OPTIONS * HTTP/1.0", "GET /a?b=%20 HTTP/1.1",
        "GET http://h/a HTTP/1.1"}) {
    INFO(line);
    CHECK(ParseStartLine(MessageKind::kRequest, line));
  }
  for (const char* line :
       {"GET /", "GET  / HTTP/1.1", "GET / HTTP/1.1 ", "GET /a b HTTP/1.1",
        "GET /\t HTTP/1.1", "GET /\x80 HTTP/1.1", "GET /\x01 HTTP/1.1",
        "G(T / HTTP/1.1", " / HTTP/1.1", "GET / HTTP/2.0", "GET / http/1.1",
        "GET  HTTP/1.1"}) {
    INFO(line);
    CHECK_FALSE(ParseStartLine(MessageKind::kRequest, line));
  }
}

// Guards against a field that is passed on or hides another one: blanks and
// control characters in and around its name, folded lines, and control
// characters in its value (RFC 9112, section 5; RFC 9110, section 5).
TEST_CASE("a field name is a token directly before the colon") {
  for (const char* line : {"A:", "A: b", "A:b", "A: \t b c\t ", "A: \xe9:\x80",
                           "!#$%&'*+-.^_`|~1a: b"}) {
    INFO(line);
    CHECK(ParseFieldLine(line));
  }
  const auto field = ParseFieldLine("Name: \t a b\t ");
  REQUIRE(field);
  CHECK(field->name == "Name");
  CHECK(field->value == "a b");
  for (const char* line :
       {"A B: c", "A : b", "A\t: b", " A: b", "\tA: b", "A\x01: b", "A\x7f: b",
        "A\xe9: b", "A(: b", ": b", "A", "", " folded", "A: b\x01", "A: \x7f",
        "A: b\rc"}) {
    INFO(line);
    CHECK_FALSE(ParseFieldLine(line));
  }
  CHECK_FALSE(ParseFieldLine(std::string_view("A: b\0c", 6)));
  CHECK_FALSE(ParseFieldLine(std::string_view("A\0: b", 5)));
}

TEST_CASE("a chunk line is a hexadecimal size with valid extensions") {
  CHECK(ParseChunkLine("0").value() == 0);
  CHECK(ParseChunkLine("00fF").value() == 255);
  CHECK(ParseChunkLine("ffffffffffffffff").value() == UINT64_MAX);
  for (const char* line : {"1;a", "1;a=b", "1 ; a = \"b\\\" ;c\";d", "1\t;a"}) {
    INFO(line);
    CHECK(ParseChunkLine(line).value_or(0) == 1);
  }
  for (const char* line : {"", " 1", "1 ", "-1", "+1", "0x1", "g", "1;", "1;=b",
                           "1;a=", "1;a ", "1;a=\"b", "1;a b", "1,a",
                           "1;a=\"\x01\"", "1;a=\"\\", "10000000000000000"}) {
    INFO(line);
    CHECK_FALSE(ParseChunkLine(line));
  }
}

// Guards against a body that two readers end at different places (RFC 9112,
// sections 6 and 11.2).
TEST_CASE("contradictory lengths are rejected") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "\r\n1\r\na\r\n0\r\n\r\n";
  CHECK(CheckResponse(ok + chunked + chunks).complete);
  CHECK(CheckResponse(ok + "transfer-encoding:CHUNKED\r\n" + chunks).complete);
  CHECK(CheckResponse(ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na")
            .complete);
  const std::vector<std::string> malformed = {
      ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
      ok + "Content-Length: 1, 2\r\n\r\na",
      ok + "Content-Length: \r\n\r\n",
      ok + "Content-Length: +1\r\n\r\na",
      ok + "Content-Length: -1\r\n\r\na",
      ok + "Content-Length: 0x1\r\n\r\na",
      ok + "Content-Length: 1 1\r\n\r\n",
      ok + "Content-Length: 18446744073709551616\r\n\r\na",
      ok + chunked + "Content-Length: 1\r\n" + chunks,
      ok + chunked + chunked + chunks,
      ok + "Transfer-Encoding: gzip\r\n\r\na",
      ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
      ok + "Transfer-Encoding: chunked, gzip\r\n" + chunks,
      ok + "Transfer-Encoding: xchunked\r\n" + chunks,
      ok + "Transfer-Encoding: chunked;a=b\r\n" + chunks,
      ok + "Transfer-Encoding:\r\n" + chunks,
      "HTTP/1.0 200 OK\r\n" + chunked + chunks};
  for (const auto& message : malformed) {
    INFO(message);
    CHECK_FALSE(CheckResponse(message).valid);
  }
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  CHECK(CheckRequest(post + chunked + chunks).complete);
  CHECK_FALSE(CheckRequest(post + chunked + "Content-Length: 1\r\n\r\n").valid);
  CHECK_FALSE(CheckRequest(post + "Transfer-Encoding: gzip\r\n\r\n").valid);
  CHECK_FALSE(CheckRequest(post + "Host: i\r\n\r\n").valid);
}

// Guards against content that is taken for the next message, or a head that is
// taken for content.
TEST_CASE("the status and the method decide whether there is content") {
  const auto with_length = [](const std::string& status) {
    return "HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\n";
  };
  CHECK_FALSE(CheckResponse(with_length("200")).complete);
  CHECK(CheckResponse(with_length("200") + "ab").content == "ab");
  CHECK(CheckResponse(with_length("200"), true).complete);
  CHECK(CheckResponse(with_length("304")).complete);
  CHECK_FALSE(CheckResponse(with_length("204")).valid);
  CHECK_FALSE(CheckResponse(with_length("103")).valid);
  CHECK_FALSE(CheckResponse(with_length("205") + "ab").valid);
  for (const char* status : {"100", "204", "205", "304"}) {
    INFO(status);
    const auto text = "HTTP/1.1 " + std::string(status) +
                      " x\r\nContent-Length: 0\r\n\r\nnext";
    const auto checked = CheckResponse(text);
    CHECK(checked.complete);
    CHECK(checked.used == text.size() - 4);
  }
  CHECK_FALSE(
      CheckResponse("HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n")
          .valid);
}

TEST_CASE("only a response without a length ends with its connection") {
  const auto ends_with = [](const std::string& text) {
    Scan scan;
    std::string_view rest = text;
    while (!rest.empty()) {
      const auto step = Advance(scan, rest);
      REQUIRE(step);
      rest.remove_prefix(step->used);
    }
    return EndCompletes(scan);
  };
  CHECK(ends_with("HTTP/1.1 200 OK\r\n\r\n"));
  CHECK(ends_with("HTTP/1.1 200 OK\r\n\r\nall of it"));
  const std::string counted = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n0\r\nA: b\r\n\r\n";
  for (const auto& text : {counted, chunked}) {
    CHECK(ends_with(text));
    for (std::size_t size = 0; size < text.size(); ++size) {
      INFO(text.substr(0, size));
      CHECK_FALSE(ends_with(text.substr(0, size)));
    }
  }
}

// Guards against chunks whose data is longer than their size, lines that do not
// end with CR LF, and trailers that are no fields (RFC 9112, sections 2.2, 7).
TEST_CASE("malformed chunks and line ends are rejected") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(CheckResponse(head + "2;a=b\r\nab\r\n0\r\nT: u\r\n\r\n").content ==
        "ab");
  for (const char* body :
       {"2\nab\r\n0\r\n\r\n", "2\r\nab\n0\r\n\r\n", "2\r\nabc\r\n0\r\n\r\n",
        "2\r\nabXX0\r\n\r\n", "2\r\nab\r\n0\r\nT u\r\n\r\n",
        "2\r\nab\r\n0\r\nT : u\r\n\r\n", "2\r\nab\r\n0\r\n\n", "\r\n"}) {
    INFO(body);
    CHECK_FALSE(CheckResponse(head + body).valid);
  }
  for (const char* text :
       {"HTTP/1.1 200 OK\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n", "HTTP/1.1 200 OK\r\n\n",
        "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"}) {
    INFO(text);
    CHECK_FALSE(CheckResponse(text).valid);
  }
  CHECK(CheckRequest("\r\n\r\nGET / HTTP/1.1\r\n\r\n").complete);
  CHECK_FALSE(CheckRequest("\nGET / HTTP/1.1\r\n\r\n").valid);
}

// Guards against a response that a transfer library calls complete although its
// head is malformed or ends early.
TEST_CASE("header lines and body bytes are put together to a response") {
  auto response = ExpectResponse("GET");
  for (const char* line :
       {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", "\r\n"}) {
    CHECK(TakeHeaderLine(response, line));
  }
  CHECK_FALSE(IsWhole(response));
  for (const char* line :
       {"HTTP/1.1 200 OK\r\n", "C: d \r\n", "Transfer-Encoding: chunked\r\n"}) {
    CHECK(TakeHeaderLine(response, line));
    CHECK_FALSE(IsWhole(response));
  }
  CHECK_FALSE(TakeBody(response, "1\r\n"));
  CHECK(TakeHeaderLine(response, "\r\n"));
  CHECK(response.headers ==
        http::HeaderList{{"C", "d"}, {"Transfer-Encoding", "chunked"}});
  CHECK(TakeBody(response, "2\r\na").value_or("") == "a");
  CHECK(TakeBody(response, "b\r\n1\r\nc\r\n").value_or("") == "bc");
  CHECK_FALSE(IsWhole(response));
  CHECK(TakeBody(response, "0\r\n\r\n").value_or("x").empty());
  CHECK(IsWhole(response));
  CHECK_FALSE(response.has_stray_bytes);
  CHECK(TakeBody(response, "HTTP/1.1 200 OK").value_or("x").empty());
  CHECK(response.has_stray_bytes);
  CHECK_FALSE(TakeHeaderLine(response, "E: f\r\n"));

  auto without_line_end = ExpectResponse("GET");
  CHECK_FALSE(TakeHeaderLine(without_line_end, "HTTP/1.1 200 OK"));
  auto endless = ExpectResponse("GET");
  bool fits = true;
  for (int i = 0; fits && i < 100000; ++i) {
    fits = TakeHeaderLine(endless, "HTTP/1.1 100 Continue\r\n") &&
           TakeHeaderLine(endless, "\r\n");
  }
  CHECK_FALSE(fits);
}

TEST_CASE("the malformed responses for the tests of readers are malformed") {
  for (const auto& text : MalformedResponses("A: b\r\n")) {
    INFO(text);
    auto checked = CheckResponse(text);
    if (text.starts_with("HTTP/1.1 103")) {
      checked = CheckResponse(text.substr(checked.used));
    }
    CHECK_FALSE(checked.complete);
  }
}

// Guards against a line that costs memory without end, and a verdict that
// depends on how the bytes arrive.
TEST_CASE("the verdict does not depend on the pieces in which bytes arrive") {
  const std::string text =
      "HTTP/1.1 103 x\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n1\r\n!\r\n0\r\nT: u\r\n\r\nnext";
  for (const auto& message : {text, chunked}) {
    const auto whole = Check({}, message, message.size());
    for (std::size_t piece = 1; piece < 9; ++piece) {
      CHECK(Check({}, message, piece) == whole);
    }
  }
  CHECK(Check({}, chunked, 3).content == "hello!");
  CHECK(Check({}, chunked, 3).used == chunked.size() - 4);
  CHECK_FALSE(CheckResponse("HTTP/1.1 200 " + std::string(70000, 'x')).valid);
}

}  // namespace cassiakeel::syntax
