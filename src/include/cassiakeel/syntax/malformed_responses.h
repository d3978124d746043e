#pragma once

#include <fmt/format.h>

#include <string>
#include <vector>

namespace cassiakeel::syntax {

/// Responses that no reader may accept, for tests of the readers. Each has
/// `fields`, whole lines, in its head and `A` where its body would be. Readers
/// of such a response close the connection.
inline std::vector<std::string> MalformedResponses(const std::string& fields) {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string end = "Content-Length: 1\r\n\r\nA";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  std::vector<std::string> responses;
  for (const char* start :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK", "HTTP/1.1  200 OK", "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 204 No Content", "HTTP/1.1 205 Reset Content"}) {
    responses.push_back(fmt::format("{}\r\n{}{}", start, fields, end));
  }
  for (const char* field :
       {"A B: c\r\n", "A : b\r\n", "A\t: b\r\n", "A\x01: b\r\n", "A\x7f: b\r\n",
        "A\xe9: b\r\n", "A: \x01\r\n", ": no name\r\n", "no colon\r\n",
        " A: b\r\n", "A: b\r\n folded\r\n", "A: b\n", "Content-Length: 2\r\n",
        "Content-Length: 1, 2\r\n", "Content-Length: +1\r\n",
        "Transfer-Encoding: chunked\r\n"}) {
    responses.push_back(fmt::format("{}{}{}", ok, field, end));
  }
  for (const char* body :
       {"1\r\nAXX0\r\n\r\n", "1 \r\nA\r\n0\r\n\r\n", "1;\x01\r\nA\r\n0\r\n\r\n",
        "1\nA\r\n0\r\n\r\n", "0x1\r\nA\r\n0\r\n\r\n",
        "1\r\nA\r\n0\r\nA b: c\r\n\r\n", "1\r\nA\r\n0\r\n", "1\r\nA\r\n"}) {
    responses.push_back(fmt::format("{}{}{}", ok, chunked, body));
  }
  responses.push_back("HTTP/1.1 200 OK\r\n " + fields + end);
  responses.push_back("HTTP/1.1 103 Early Hints\r\n" + fields +
                      "\r\nHTTP/1.1 200 OK\r\n " + fields + end);
  responses.push_back(ok + "Content-Length : 1\r\n\r\nA");
  responses.push_back(ok + "Transfer-Encoding: gzip\r\n\r\nA");
  responses.push_back(ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" +
                      "1\r\nA\r\n0\r\n\r\n");
  responses.push_back("HTTP/1.0 200 OK\r\n" + fields + chunked +
                      "1\r\nA\r\n0\r\n\r\n");
  // Heads that end early.
  const std::string head = ok + "Content-Length: 0\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    responses.push_back(head.substr(0, size));
  }
  return responses;
}

}  // namespace cassiakeel::syntax
