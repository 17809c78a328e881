#include "libutil/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

Result<NumericAddress> parseAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  NumericAddress Address;
  if (Colon != std::string_view::npos) {
    Address.Host = Text.substr(0, Colon);
    std::string_view Port = Text.substr(Colon + 1);
    auto [End, Code] =
        std::from_chars(Port.data(), Port.data() + Port.size(), Address.Port);
    in_addr Parsed{};
    bool IsValid = Code == std::errc() && End == Port.data() + Port.size() &&
                   inet_pton(AF_INET, Address.Host.c_str(), &Parsed) == 1;
    if (IsValid)
      return Address;
  }
  return makeError(
      ResultCode::InvalidArgument,
      fmt::format("address \"{}\" is not an IPv4 address and a port", Text));
}

BASILCHUTE_NAMESPACE_END
