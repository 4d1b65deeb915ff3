#include "steering/FlowNames.h"

namespace bulrushgap::balance {

std::string flowName(const FlowPacket &packet)
{
    return packet.caller.toString() + '>' + packet.route.toString();
}

std::string_view findRequestId(std::span<const std::byte> datagram)
{
    constexpr std::string_view header = "X-Request-Id: ";
    constexpr std::size_t longestId = 64;
    const std::string_view text(reinterpret_cast<const char *>(datagram.data()), datagram.size());
    const std::size_t start = text.find(header);
    if (start == std::string_view::npos)
        return {};
    const std::string_view rest = text.substr(start + header.size(), longestId);
    return rest.substr(0, rest.find('\r'));
}

} // namespace bulrushgap::balance
