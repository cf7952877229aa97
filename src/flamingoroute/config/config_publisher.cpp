#include "flamingoroute/config/config_publisher.hpp"

#include "flamingoroute/config/config_assembly.hpp"
#include "flamingoroute/config/config_chunks.hpp"
#include "flamingoroute/config/configuration_checker.hpp"
#include "flamingoroute/config/object_codec.hpp"

#include <algorithm>

namespace flamingoroute {

namespace {

constexpr int maxRebases = 5;
constexpr int maxCommitAttempts = 5;
constexpr int maxChunkAttempts = 5;
constexpr std::size_t maxEarlierAuthors = 16;

publish_failure failureOf(error cause) { return publish_failure { std::move(cause), {} }; }

publish_failure invalidConfiguration(const std::string& step, const problem_list& problems)
{
    return publish_failure { error { error_code::invalid_input, step, "", "the configuration is not valid" },
        problems };
}

error conflictWith(const config_head& winner)
{
    const std::string& writer = winner.publication.writer;
    return error { error_code::conflict, "config.publish", writer,
        "revision " + std::to_string(winner.number) + " was published by " + writer };
}

bool includesPublication(const config_head& head, const publication_id& publication)
{
    const auto& earlier = head.earlierPublications;
    return head.publication == publication || std::find(earlier.begin(), earlier.end(), publication) != earlier.end();
}

} // namespace

config_publisher::config_publisher(object_store& store, std::string writer)
    : m_store(store)
    , m_writer(std::move(writer))
{
}

tl::expected<published_config, error> config_publisher::read()
{
    published_config result;
    const auto stored = m_store.get(configHeadKind, configHeadName);
    if (!stored) {
        if (stored.error().code == error_code::not_found)
            return result;
        return tl::unexpected(stored.error());
    }
    auto head = parseHead(stored->value);
    if (!head)
        return tl::unexpected(head.error());
    result.head = std::move(*head);
    result.headVersion = stored->version;
    for (const auto& hash : hashesOf(result.head)) {
        const auto chunk = m_store.get(configChunkKind, hash);
        if (!chunk)
            return tl::unexpected(chunk.error());
        const auto part = parseChunk(chunk->value, hash);
        if (!part)
            return tl::unexpected(part.error());
        appendObjects(result.objects, *part);
    }
    sortObjects(result.objects);
    result.objects.number = result.head.number;
    return result;
}

tl::expected<revision, publish_failure> config_publisher::publish(
    const configuration& objects, std::optional<revision> expected, revision floor)
{
    return publishWithRebase([&objects](const configuration&) { return objects; }, expected, floor);
}

tl::expected<revision, publish_failure> config_publisher::publishEdits(
    const std::vector<configuration_edit>& edits, std::optional<revision> expected, revision floor)
{
    return publishWithRebase([&edits](const configuration& base) { return applyEdits(base, edits); }, expected, floor);
}

tl::expected<revision, publish_failure> config_publisher::publishWithRebase(
    const configuration_builder& build, std::optional<revision> expected, revision floor)
{
    for (int attempt = 0; attempt < maxRebases; ++attempt) {
        const auto base = read();
        if (!base)
            return tl::unexpected(failureOf(base.error()));
        if (expected && base->head.number != *expected)
            return tl::unexpected(failureOf(conflictWith(base->head)));
        const auto objects = build(base->objects);
        if (!objects)
            return tl::unexpected(invalidConfiguration("config.edit", objects.error()));
        auto done = commit(*base, m_merge ? m_merge(*objects, base->objects) : *objects, floor);
        if (done || done.error().cause.code != error_code::conflict || expected)
            return done;
    }
    return tl::unexpected(failureOf(error {
        error_code::conflict, "config.publish", "", "gave up after repeated conflicts with other publishers" }));
}

tl::expected<revision, publish_failure> config_publisher::commit(
    const published_config& base, const configuration& objects, revision floor)
{
    configuration sorted = objects;
    sortObjects(sorted);
    const auto problems = check(sorted);
    if (!problems.empty())
        return tl::unexpected(invalidConfiguration("config.check", problems));
    const auto chunks = splitIntoChunks(sorted, base.head.buckets);
    const auto written = writeChunks(chunks, base.head);
    if (!written)
        return tl::unexpected(failureOf(written.error()));
    return commitHead(base, makeHead(base.head, chunks, std::max(base.head.number, floor) + 1));
}

tl::expected<void, error> config_publisher::writeChunks(const config_chunks& chunks, const config_head& base)
{
    const auto known = hashesOf(base);
    for (const auto& [hash, content] : chunks.contents) {
        if (known.count(hash) > 0)
            continue;
        auto written = m_store.create(configChunkKind, hash, content);
        // The name is the hash of the content, so a retry after a lost answer finds the same object.
        for (int attempt = 1; attempt < maxChunkAttempts && !written; ++attempt) {
            if (written.error().code != error_code::outcome_unknown)
                break;
            written = m_store.create(configChunkKind, hash, content);
        }
        if (!written && written.error().code != error_code::conflict)
            return tl::unexpected(written.error());
    }
    return {};
}

config_head config_publisher::makeHead(const config_head& base, const config_chunks& chunks, revision number)
{
    config_head head;
    head.number = number;
    head.publication = publication_id { number, m_writer, ++m_sequence };
    if (base.number > 0)
        head.earlierPublications.push_back(base.publication);
    for (const auto& publication : base.earlierPublications) {
        if (head.earlierPublications.size() < maxEarlierAuthors)
            head.earlierPublications.push_back(publication);
    }
    head.buckets = chunks.buckets;
    return head;
}

tl::expected<revision, publish_failure> config_publisher::commitHead(
    const published_config& base, const config_head& head)
{
    const std::string value = encodeHead(head);
    error cause;
    bool mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        const auto done = base.headVersion == 0
            ? m_store.create(configHeadKind, configHeadName, value)
            : m_store.update(configHeadKind, configHeadName, value, base.headVersion);
        if (done)
            return head.number;
        cause = done.error();
        mayHaveTakenEffect |= cause.code == error_code::outcome_unknown;
        if (!mayHaveTakenEffect && cause.code != error_code::conflict)
            return tl::unexpected(failureOf(cause));
        const auto current = readHead();
        if (!current)
            continue;
        if (current->has_value() && includesPublication(**current, head.publication))
            return head.number;
        // The update is conditional on the base's version, so it can no longer take effect once the head has changed.
        if (current->has_value() && (*current)->publication != base.head.publication)
            return tl::unexpected(failureOf(conflictWith(**current)));
    }
    cause.code = mayHaveTakenEffect ? error_code::outcome_unknown : cause.code;
    return tl::unexpected(failureOf(cause));
}

tl::expected<std::optional<config_head>, error> config_publisher::readHead()
{
    const auto stored = m_store.get(configHeadKind, configHeadName);
    if (!stored && stored.error().code == error_code::not_found)
        return std::nullopt;
    if (!stored)
        return tl::unexpected(stored.error());
    return parseHead(stored->value).map([](const config_head& head) { return std::optional(head); });
}

} // namespace flamingoroute
