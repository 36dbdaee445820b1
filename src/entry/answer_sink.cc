/** @file answer_sink.cc Receivers of an answer, part by part. */
#include <utility>

#include "entry/answer_sink_base.h"

namespace sapphire::entry {

using core::Task;

namespace {

/** An answer longer than this is sent before it is complete. */
constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;

}  // namespace

HttpSink::HttpSink(http::ResponseWriter& writer, std::string request_id,
                   bool stream)
    : writer_(writer), request_id_(std::move(request_id)), stream_(stream) {}

http::ResponseHead HttpSink::MakeHead() const {
  http::ResponseHead head;
  head.status = head_.status;
  if (!head_.content_type.empty()) {
    head.headers.push_back({"Content-Type", head_.content_type});
  }
  head.headers.push_back({"X-Request-Id", request_id_});
  return head;
}

Task<> HttpSink::Head(gen::RunHead head) {
  head_ = std::move(head);
  co_return;
}

Task<> HttpSink::Part(std::string data) {
  if (writer_.started()) {
    co_await writer_.Write(data);
    co_return;
  }
  buffered_ += data;
  if (!stream_ && buffered_.size() <= kMaxBufferedBytes) co_return;
  co_await writer_.Begin(MakeHead());
  co_await writer_.Write(std::exchange(buffered_, {}));
}

Task<> HttpSink::End() {
  if (writer_.started()) {
    co_await writer_.End();
    co_return;
  }
  http::Response response{MakeHead(), std::move(buffered_)};
  co_await writer_.Send(std::move(response));
}

void HttpSink::Reset() { buffered_.clear(); }

CallSink::CallSink(std::shared_ptr<link::Call> call) : call_(std::move(call)) {}

Task<> CallSink::Head(gen::RunHead head) {
  started_ = true;
  gen::Message message;
  message.__set_run_head(head);
  co_await call_->Send(std::move(message));
}

Task<> CallSink::Part(std::string data) {
  gen::Chunk chunk;
  chunk.sequence = totals_.chunks;
  totals_.chunks += 1;
  totals_.bytes += static_cast<std::int64_t>(data.size());
  chunk.data = std::move(data);
  gen::Message message;
  message.__set_chunk(chunk);
  co_await call_->Send(std::move(message));
}

Task<> CallSink::End() {
  gen::Message message;
  message.__set_run_end(totals_);
  co_await call_->Send(std::move(message));
}

}  // namespace sapphire::entry
