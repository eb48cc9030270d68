#include "net/Http.h"

namespace rattanshunt::net {

bool httpNameEquals(std::string_view a, std::string_view b)
{
    auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view httpHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (httpNameEquals(header.name, name))
            return header.value;
    }
    return {};
}

size_t httpHeaderCount(const std::vector<HttpHeader>& headers, std::string_view name)
{
    return static_cast<size_t>(std::count_if(
        headers.begin(), headers.end(), [&](const HttpHeader& header) { return httpNameEquals(header.name, name); }));
}

} // namespace rattanshunt::net
