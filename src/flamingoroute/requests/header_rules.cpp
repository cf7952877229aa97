#include "flamingoroute/requests/header_rules.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace flamingoroute {

namespace {

constexpr std::array hopByHopNames { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade" };
constexpr std::array credentialNames { "Authorization", "Proxy-Authorization", "X-Api-Key" };

template <typename Names> bool isOneOf(const Names& names, const std::string& name)
{
    return std::any_of(names.begin(), names.end(), [&](const auto& one) { return isSameHeaderName(one, name); });
}

std::vector<std::string> namesListedByConnection(const std::vector<http_header>& headers)
{
    std::vector<std::string> listed;
    for (const auto& header : headers) {
        if (!isSameHeaderName(header.name, "Connection"))
            continue;
        const Poco::StringTokenizer names(
            header.value, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        listed.insert(listed.end(), names.begin(), names.end());
    }
    return listed;
}

bool isCredentialParameter(const std::string& parameter)
{
    const std::string encoded = parameter.substr(0, parameter.find('='));
    std::string name;
    try {
        Poco::URI::decode(encoded, name, true);
    } catch (const Poco::Exception&) {
        name = encoded;
    }
    return isSameHeaderName(name, "api_key");
}

} // namespace

bool isSameHeaderName(const std::string& left, const std::string& right) { return Poco::icompare(left, right) == 0; }

std::string headerValue(const std::vector<http_header>& headers, const std::string& name)
{
    for (const auto& header : headers) {
        if (isSameHeaderName(header.name, name))
            return header.value;
    }
    return {};
}

std::vector<http_header> endToEndHeaders(const std::vector<http_header>& headers)
{
    const auto listed = namesListedByConnection(headers);
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [&](const http_header& header) {
        return !isOneOf(hopByHopNames, header.name) && !isOneOf(listed, header.name);
    });
    return kept;
}

bool isCredentialHeader(const std::string& name) { return isOneOf(credentialNames, name); }

std::vector<http_header> withoutCredentials(const std::vector<http_header>& headers)
{
    std::vector<http_header> kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
        [](const http_header& header) { return !isCredentialHeader(header.name); });
    return kept;
}

std::string withoutCredentialParameters(const std::string& target)
{
    const auto queryStart = target.find('?');
    if (queryStart == std::string::npos)
        return target;
    std::string kept;
    const Poco::StringTokenizer parameters(target.substr(queryStart + 1), "&");
    for (const auto& parameter : parameters) {
        if (isCredentialParameter(parameter))
            continue;
        kept += kept.empty() ? "" : "&";
        kept += parameter;
    }
    return target.substr(0, queryStart) + (kept.empty() ? "" : "?" + kept);
}

} // namespace flamingoroute
