/** @file body_type.h The body of a request. */
#ifndef SAPPHIRE_HTTP_BODY_TYPE_H_
#define SAPPHIRE_HTTP_BODY_TYPE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace sapphire::http {

/** Bytes that do not change; copies share them, since a request is copied for
 * each send while its body may be large. */
class Body {
 public:
  Body() = default;
  // Implicit, so that a request can be written as a list of its parts.
  Body(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}
  Body(const char* text)  // NOLINT(google-explicit-constructor)
      : Body(std::string{text}) {}

  [[nodiscard]] std::string_view text() const {
    if (text_ == nullptr) return {};
    return *text_;
  }
  [[nodiscard]] bool empty() const { return text_ == nullptr; }
  [[nodiscard]] std::size_t size() const { return text().size(); }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace sapphire::http

#endif  // SAPPHIRE_HTTP_BODY_TYPE_H_
