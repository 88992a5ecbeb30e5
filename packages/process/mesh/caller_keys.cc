#include "process/mesh/caller_keys.h"

#include "connection/http/message.h"

namespace pistachioquay::internal {

namespace {

constexpr std::int64_t proofRetryDivisor = 10; // of the limit: time between two queries of a node for a proof
constexpr milliseconds defaultProofRetry{500}; // without a limit, which never refuses a request for a proof

} // namespace

key_decision checkKey(const account_table &table,
                      bool allowsAnonymous,
                      const header_list &headers,
                      const mesh_headers &names,
                      bool isProven)
{
    std::vector<std::string_view> credentials;
    for (const header_field &field : headers) {
        if (isSameHeaderName(field.name, names.authorization)) {
            credentials.push_back(field.value);
        }
    }
    return decideKey(table, allowsAnonymous, credentials, names.authorizationScheme, isProven);
}

void eraseKeyHeaders(header_list &headers, const mesh_headers &names)
{
    eraseHeader(headers, names.authorization);
    eraseHeader(headers, names.account);
}

bool isPlausibleAccount(std::string_view name)
{
    return name.size() <= maxAccountNameBytes && !hasControlCharacters(name);
}

milliseconds proofRetryAfter(const freshness_state &freshness)
{
    return freshness.limit ? *freshness.limit / proofRetryDivisor : defaultProofRetry;
}

} // namespace pistachioquay::internal
