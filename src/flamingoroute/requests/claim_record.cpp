#include "flamingoroute/requests/claim_record.hpp"

#include "flamingoroute/settings/json_document.hpp"
#include "flamingoroute/settings/json_reader.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/StreamCopier.h>

#include <limits>
#include <sstream>

namespace flamingoroute {

namespace {

const std::vector<std::string> stateNames { "running", "answered", "unknown" };

std::string toBase64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string fromBase64(const std::string& text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

Poco::JSON::Object::Ptr encodeAnswer(const caller_answer& answer)
{
    Poco::JSON::Array::Ptr headers(new Poco::JSON::Array);
    for (const auto& header : answer.headers) {
        Poco::JSON::Object::Ptr field(new Poco::JSON::Object);
        field->set("name", header.name);
        field->set("value", toBase64(header.value));
        headers->add(field);
    }
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("status", answer.status);
    object->set("headers", headers);
    object->set("body", toBase64(answer.body));
    return object;
}

caller_answer decodeAnswer(json_reader& reader)
{
    caller_answer answer;
    answer.status = static_cast<int>(reader.requiredInt("status", 100, 999));
    reader.optionalObjects("headers", [&](json_reader& field) {
        answer.headers.push_back({ field.requiredString("name"), fromBase64(field.optionalString("value", "")) });
    });
    answer.body = fromBase64(reader.optionalString("body", ""));
    return answer;
}

} // namespace

std::string encodeClaim(const claim_record& record)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("writer", record.writer);
    object->set("sequence", static_cast<Poco::Int64>(record.sequence));
    object->set("state", stateNames[static_cast<std::size_t>(record.state)]);
    object->set("fingerprint", record.fingerprint);
    object->set("created_at", record.createdAt);
    if (record.answer)
        object->set("answer", encodeAnswer(*record.answer));
    return toJsonText(object);
}

tl::expected<claim_record, error> decodeClaim(const std::string& text)
{
    const auto object = parseJsonObject(text, "claim");
    if (!object)
        return tl::unexpected(object.error());
    problem_list problems;
    json_reader reader(*object, "claim", problems);
    claim_record record;
    constexpr auto maxNumber = std::numeric_limits<std::int64_t>::max();
    record.writer = reader.requiredString("writer");
    record.sequence = static_cast<std::uint64_t>(reader.requiredInt("sequence", 0, maxNumber));
    record.state = static_cast<claim_state>(reader.choice("state", stateNames, 0));
    record.fingerprint = reader.requiredString("fingerprint");
    record.createdAt = reader.requiredInt("created_at", 0, maxNumber);
    reader.optionalObject("answer", [&](json_reader& answer) { record.answer = decodeAnswer(answer); });
    reader.finish();
    if (!problems.empty())
        return tl::unexpected(error { error_code::invalid_input, "claim.decode", "", describe(problems) });
    return record;
}

} // namespace flamingoroute
