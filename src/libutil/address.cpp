#include "libutil/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

Result<NumericAddress> parseAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  NumericAddress Out;
  if (Colon != std::string_view::npos) {
    Out.Host = Text.substr(0, Colon);
    std::string_view Port = Text.substr(Colon + 1);
    auto [End, Fault] =
        std::from_chars(Port.data(), Port.data() + Port.size(), Out.Port);
    in_addr Ignored{};
    bool Good = Fault == std::errc() && End == Port.data() + Port.size() &&
                inet_pton(AF_INET, Out.Host.c_str(), &Ignored) == 1;
    if (Good)
      return Out;
  }
  return makeError(
      ResultCode::InvalidArgument,
      fmt::format("address \"{}\" is not an IPv4 number and a port", Text));
}

BASILCHUTE_NAMESPACE_END
