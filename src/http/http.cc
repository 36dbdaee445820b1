/** @file http.cc Helpers for HTTP requests and answers. */
#include <algorithm>
#include <cctype>
#include <utility>

#include "http/http_type.h"

namespace sapphire::http {

namespace {

bool SameLetter(char a, char b) {
  return std::tolower(static_cast<unsigned char>(a)) ==
         std::tolower(static_cast<unsigned char>(b));
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

void SetCapacity(std::string& text, std::size_t capacity) {
  std::string larger;
  larger.reserve(capacity);
  larger += text;
  text = std::move(larger);
}

std::string DescribeOversizedAnswer(std::size_t max_bytes) {
  return "the answer exceeds " + std::to_string(max_bytes) + " bytes";
}

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameLetter);
}

std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) return header.value;
  }
  return std::nullopt;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return std::nullopt;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return UrlDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

std::string UrlDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        HexValue(text[i + 1]) >= 0 &&
                        HexValue(text[i + 2]) >= 0;
    if (escape) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::string UrlEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
        c == '~') {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 0xF];
  }
  return encoded;
}

Response MetricsResponse(std::string text) {
  constexpr int kOk = 200;
  return MakeResponse(kOk, "text/plain; version=0.0.4", std::move(text));
}

Response MakeResponse(int status, std::string_view content_type,
                      std::string body) {
  Response response;
  response.head.status = status;
  response.head.headers.push_back({"Content-Type", std::string(content_type)});
  response.body = std::move(body);
  return response;
}

}  // namespace sapphire::http
