// A small blocking HTTP/1.1 server and client for the stand-ins, with one
// thread for each connection.

#ifndef REVIEW_HTTP_H_
#define REVIEW_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

struct request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct reply {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  // The connection is closed without an answer.
  bool drop = false;
};

inline int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  return (std::tolower(c) - 'a') + 10;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 +
                                      HexDigit(text[i + 2])));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::map<std::string, std::string> ParseHeaders(
    const std::string& head) {
  std::map<std::string, std::string> headers;
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = end;
  }
  return headers;
}

// Reads one message, head and body; false when the connection ends.
inline bool ReadMessage(int fd,
                        std::string& buffer,
                        std::string& head,
                        std::string& body) {
  char chunk[65536];
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0)
      return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  const auto headers = ParseHeaders(head);
  const auto found = headers.find("content-length");
  const std::size_t length =
      found == headers.end() ? 0 : std::stoul(found->second);
  while (buffer.size() < length) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0)
      return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline request ParseRequest(const std::string& head, std::string body) {
  request parsed;
  const std::size_t first = head.find(' ');
  const std::size_t second = head.find(' ', first + 1);
  parsed.method = head.substr(0, first);
  std::string target = head.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  parsed.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const std::size_t amp = rest.find('&');
      const std::string pair = rest.substr(0, amp);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos)
        parsed.query[pair.substr(0, equals)] =
            Unescape(pair.substr(equals + 1));
      rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
    }
  }
  parsed.headers = ParseHeaders(head);
  parsed.body = std::move(body);
  return parsed;
}

using handler = std::function<reply(const request&)>;

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  return address;
}

inline void ServeConnection(int fd, const handler& handle) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  std::string head;
  std::string body;
  while (ReadMessage(fd, buffer, head, body)) {
    const reply answer = handle(ParseRequest(head, body));
    if (answer.drop)
      break;
    const std::string text =
        "HTTP/1.1 " + std::to_string(answer.status) +
        " X\r\nContent-Type: " + answer.type +
        "\r\nContent-Length: " + std::to_string(answer.body.size()) +
        "\r\n\r\n" + answer.body;
    if (!SendAll(fd, text))
      break;
  }
  close(fd);
}

inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 128) != 0)
    throw std::runtime_error("can't listen on port " + std::to_string(port));
  return fd;
}

// Serves the port in threads of its own until the process ends.
inline void Serve(int port, handler handle) {
  const int fd = Listen(port);
  std::thread([fd, handle] {
    for (;;) {
      const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0)
        continue;
      std::thread([connection, handle] {
        ServeConnection(connection, handle);
      }).detach();
    }
  }).detach();
}

// A port that is free now.
inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  const int port = ntohs(address.sin_port);
  close(fd);
  return port;
}

// Status 0: no complete answer within the time.
inline reply Call(int port,
                  const std::string& method,
                  const std::string& path,
                  const std::string& headers,
                  const std::string& body,
                  int timeout_ms) {
  reply answer{.status = 0};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                      "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body)) {
    std::string buffer;
    std::string head;
    if (ReadMessage(fd, buffer, head, answer.body))
      answer.status = std::stoi(head.substr(head.find(' ') + 1, 3));
  }
  close(fd);
  return answer;
}

}  // namespace review

#endif  // REVIEW_HTTP_H_
