#include "flamingoroute/store/fenced_store.hpp"

#include <charconv>

namespace flamingoroute {

namespace {

constexpr int maxReadBacks = 3;

/// The value is the epoch in decimal, a line feed and the body.
tl::expected<fenced_object, error> parseFenced(const stored_object& stored)
{
    fenced_object result;
    const auto lineEnd = stored.value.find('\n');
    const char* end = stored.value.data() + (lineEnd == std::string::npos ? 0 : lineEnd);
    const auto [stop, problem] = std::from_chars(stored.value.data(), end, result.epoch);
    if (problem != std::errc {} || stop != end)
        return tl::unexpected(
            error { error_code::invalid_input, "store.fenced", stored.name, "value does not start with an epoch" });
    result.version = stored.version;
    result.body = stored.value.substr(lineEnd + 1);
    return result;
}

} // namespace

fenced_store::fenced_store(object_store& store)
    : m_store(store)
{
}

tl::expected<fenced_object, error> fenced_store::read(const std::string& kind, const std::string& name)
{
    const auto stored = m_store.get(kind, name);
    if (!stored && stored.error().code == error_code::not_found)
        return fenced_object {};
    if (!stored)
        return tl::unexpected(stored.error());
    return parseFenced(*stored);
}

tl::expected<fenced_object, error> fenced_store::write(const std::string& kind, const std::string& name,
    const fenced_object& previous, const std::string& body, object_version epoch)
{
    if (epoch == 0 || epoch < previous.epoch)
        return tl::unexpected(error {
            error_code::conflict, "store.fenced", name, "the lease is not held or has passed to another holder" });
    const std::string value = std::to_string(epoch) + "\n" + body;
    const auto written = previous.version == 0 ? m_store.create(kind, name, value)
                                               : m_store.update(kind, name, value, previous.version);
    fenced_object intended { written.value_or(0), epoch, body };
    if (written)
        return intended;
    if (written.error().code == error_code::outcome_unknown)
        return resolveUnknownOutcome(kind, name, intended, written.error());
    return tl::unexpected(written.error());
}

tl::expected<fenced_object, error> fenced_store::resolveUnknownOutcome(
    const std::string& kind, const std::string& name, const fenced_object& intended, const error& cause)
{
    for (int attempt = 0; attempt < maxReadBacks; ++attempt) {
        const auto current = read(kind, name);
        if (!current)
            continue;
        if (current->epoch == intended.epoch && current->body == intended.body)
            return current;
        if (current->epoch > intended.epoch)
            return tl::unexpected(
                error { error_code::conflict, cause.step, name, "the lease has passed to another holder" });
        break;
    }
    return tl::unexpected(cause);
}

} // namespace flamingoroute
