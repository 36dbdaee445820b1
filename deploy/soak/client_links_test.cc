/** @file client_links_test.cc Tests the programs' memory beside strangers at
 * the link address. */
#define BOOST_TEST_MODULE client_links
#include <boost/test/unit_test.hpp>

#include "client_rig_test.h"
#include "fleet/entry_message_func.h"
#include "link/codec_func.h"

namespace sapphire::deploy::soak::testing {

namespace {

/** Announces a frame of 4 MB, which is within the limit. */
constexpr std::string_view kLargeFrame("\0\x3f\xff\xff", 4);

/** @return A message whose only list, which has one struct, claims to have four
 * million. */
std::string WithLongList(std::string message) {
  // A list's header in the compact protocol: its size and its type, or 15 and
  // the type before the size as a variable-length number.
  constexpr char kOneStruct = 0x1c;
  constexpr std::string_view kManyStructs("\xfc\x80\x92\xf4\x01", 5);
  const std::size_t at = message.rfind(kOneStruct);
  BOOST_TEST_REQUIRE(at != std::string::npos);
  return message.replace(at, 1, kManyStructs);
}

/** @return A frame as on the wire. */
std::string FrameWithLongList() {
  gen::EnsureModel request;
  request.resident_use.emplace_back();
  gen::Frame frame;
  frame.message.__set_ensure_model(request);
  const std::string body =
      WithLongList(link::EncodeFrame(frame).substr(link::kLengthBytes));
  return std::string(3, '\0') + static_cast<char>(body.size()) + body;
}

void SendDatagram(const std::string& ip, const std::string& text) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(kLinkPort);
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  ::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<sockaddr*>(&to),
           sizeof to);
  ::close(fd);
}

void Check(std::string_view program, int clients, const std::string& text) {
  ClientRigOptions options;
  options.program = program;
  ClientRig rig(options);
  CheckMemory(rig, {clients, kLinkPort,
                    [&](const ClientSocket& socket) { socket.Send(text); }});
}

}  // namespace

/** Guards against memory for frames of which only the length has come. */
BOOST_AUTO_TEST_CASE(FramesThatAreOnlyAnnounced) {
  constexpr int kClients = 100;
  Check(kEntryProgram, kClients, std::string(kLargeFrame));
  Check(kEndpointProgram, kClients, std::string(kLargeFrame));
}

/** Guards against memory for list elements of which only the number has come,
 * and against an end of the process when there is none for them. */
BOOST_AUTO_TEST_CASE(FramesThatClaimLongLists) {
  Check(kEntryProgram, 1, FrameWithLongList());
  Check(kEndpointProgram, 1, FrameWithLongList());
}

BOOST_AUTO_TEST_CASE(DatagramsThatClaimLongLists) {
  gen::EntryDatagram datagram;
  datagram.__set_record(gen::EntryRecord());
  datagram.record.uses.emplace_back();
  const std::string text = WithLongList(fleet::Encode(datagram));
  ClientRig rig({});
  CheckMemory(rig, {1, kLinkPort, [&](const ClientSocket&) {
                      SendDatagram(rig.ip(), text);
                    }});
}

/** Guards against frames short of their end, from many links at once. */
BOOST_AUTO_TEST_CASE(FramesShortOfTheirEnd) {
  constexpr int kClients = 30;
  constexpr std::size_t kBytes = 0x3ffffe;
  const std::string text = std::string(kLargeFrame) + std::string(kBytes, 'a');
  Check(kEntryProgram, kClients, text);
  Check(kEndpointProgram, kClients, text);
}

}  // namespace sapphire::deploy::soak::testing
