#include "entry/RequestParser.h"

#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "base/Json.h"
#include "base/Text.h"

namespace rattanshunt::entry {

namespace leaf = boost::leaf;
using nlohmann::json;
using resources::FieldError;

namespace {

    constexpr int maxNesting = 32;
    constexpr size_t maxRequestIdLength = 64;
    constexpr size_t maxSecretLength = 512;

    // Checked on the text, because the JSON parser would build the whole tree first.
    bool isNestedTooDeeply(const std::string& text)
    {
        int depth = 0;
        bool isInString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            char c = text[i];
            if (isInString && c == '\\')
                ++i;
            else if (c == '"')
                isInString = !isInString;
            else if (!isInString && (c == '{' || c == '['))
                ++depth;
            else if (!isInString && (c == '}' || c == ']'))
                --depth;
            if (depth > maxNesting)
                return true;
        }
        return false;
    }

    leaf::result<std::string> parseString(const json& body, const char* field)
    {
        auto found = body.find(field);
        if (found == body.end())
            return leaf::new_error(FieldError { field, "is missing" });
        if (!found->is_string())
            return leaf::new_error(FieldError { field, "must be a string" });
        return found->get<std::string>();
    }

    leaf::result<size_t> parseMaxTokens(const json& body, const RequestLimits& limits)
    {
        auto found = body.find("max_tokens");
        if (found == body.end() || found->is_null())
            return limits.defaultOutputTokens;
        bool isWhole = found->is_number_unsigned() && found->get<uint64_t>() >= 1;
        if (!isWhole || found->get<uint64_t>() > limits.maxOutputTokens)
            return leaf::new_error(FieldError {
                "max_tokens", fmt::format("must be a whole number from 1 to {}", limits.maxOutputTokens) });
        return found->get<size_t>();
    }

    leaf::result<bool> parseStream(const json& body)
    {
        auto found = body.find("stream");
        if (found == body.end() || found->is_null())
            return false;
        if (!found->is_boolean())
            return leaf::new_error(FieldError { "stream", "must be true or false" });
        return found->get<bool>();
    }

    leaf::result<std::optional<resources::PriorityClass>> parsePriority(const json& body)
    {
        auto found = body.find("value");
        if (found == body.end() || found->is_null())
            return std::optional<resources::PriorityClass>();
        auto priority = found->is_string() ? resources::priorityClassFromName(found->get_ref<const std::string&>())
                                           : std::nullopt;
        if (!priority)
            return leaf::new_error(FieldError { "value", "must be low, normal or high" });
        return priority;
    }

    leaf::result<void> rejectReservedFields(const json& body)
    {
        // resume_from and priority are set by the daemon in requests to engines; n and best_of are not supported.
        for (const char* field : { "resume_from", "priority", "n", "best_of" }) {
            if (body.contains(field))
                return leaf::new_error(FieldError { field, "is not supported" });
        }
        return {};
    }

} // namespace

leaf::result<CompletionRequest> completionRequestParse(const std::string& text, const RequestLimits& limits)
{
    if (isNestedTooDeeply(text))
        return leaf::new_error(FieldError { "body", "is nested too deeply" });
    CompletionRequest completion;
    completion.body = base::jsonTryParse(text);
    if (!completion.body.is_object())
        return leaf::new_error(FieldError { "body", "must be a JSON object in UTF-8" });
    const json& body = completion.body;
    BOOST_LEAF_ASSIGN(completion.model, parseString(body, "model"));
    BOOST_LEAF_ASSIGN(completion.prompt, parseString(body, "prompt"));
    BOOST_LEAF_ASSIGN(completion.maxTokens, parseMaxTokens(body, limits));
    BOOST_LEAF_ASSIGN(completion.isStream, parseStream(body));
    BOOST_LEAF_ASSIGN(completion.priority, parsePriority(body));
    BOOST_LEAF_CHECK(rejectReservedFields(body));
    if (!base::isResourceName(completion.model))
        return leaf::new_error(FieldError { "model", "is not the name of a model or adapter" });
    return completion;
}

CompletionParseResult completionRequestTryParse(const std::string& body, const RequestLimits& limits)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<CompletionParseResult> {
            BOOST_LEAF_AUTO(completion, completionRequestParse(body, limits));
            return CompletionParseResult { std::move(completion), {} };
        },
        [](const FieldError& error) {
            return CompletionParseResult { std::nullopt, error };
        },
        [] {
            return CompletionParseResult { std::nullopt, { "body", "could not be read" } };
        });
}

std::optional<std::string> keySecretParse(const std::vector<net::HttpHeader>& headers)
{
    static constexpr std::string_view scheme = "bearer ";
    std::string_view value = net::httpHeader(headers, "Authorization");
    if (value.size() <= scheme.size() || value.size() > maxSecretLength)
        return std::nullopt;
    if (!net::httpNameEquals(value.substr(0, scheme.size()), scheme))
        return std::nullopt;
    return std::string(value.substr(scheme.size()));
}

DeadlineParseResult deadlineParse(const std::vector<net::HttpHeader>& headers, const RequestLimits& limits)
{
    std::string_view text = net::httpHeader(headers, "X-Deadline-Ms");
    if (text.empty())
        return { true, limits.defaultDeadline };
    int64_t millis = 0;
    auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), millis);
    bool isNumber = code == std::errc() && end == text.data() + text.size();
    if (!isNumber || millis < 1 || millis > limits.maxDeadline.count())
        return { false, base::Millis(0) };
    return { true, base::Millis(millis) };
}

bool isValidRequestId(std::string_view text)
{
    if (text.empty() || text.size() > maxRequestIdLength)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

namespace {
    bool isHexDigit(char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    }

    bool isSafePercentEncoding(std::string_view target, size_t position)
    {
        if (position + 2 >= target.size() || !isHexDigit(target[position + 1]) || !isHexDigit(target[position + 2]))
            return false;
        // Encoded separators, dots, percent signs and control characters could make the endpoint see another path.
        std::string_view code = target.substr(position + 1, 2);
        for (std::string_view unsafe : { "2e", "2E", "2f", "2F", "5c", "5C", "25", "7f", "7F" }) {
            if (code == unsafe)
                return false;
        }
        return code[0] >= '2';
    }
}

bool isUnambiguousTarget(std::string_view target)
{
    if (!target.starts_with('/'))
        return false;
    for (size_t i = 0; i < target.size(); ++i) {
        char c = target[i];
        if (c <= ' ' || c == 0x7f || c == '\\' || c == '#')
            return false;
        if (c == '%' && !isSafePercentEncoding(target, i))
            return false;
    }
    std::string_view path = targetPath(target);
    if (path.find("//") != std::string_view::npos)
        return false;
    for (const std::string& part : base::splitText(path, '/')) {
        if (part == "." || part == "..")
            return false;
    }
    return true;
}

double promptTokensEstimate(const std::string& prompt, double bytesPerToken)
{
    return std::ceil(static_cast<double>(prompt.size()) / std::max(bytesPerToken, 0.25));
}

} // namespace rattanshunt::entry
