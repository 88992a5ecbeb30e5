// Reads and removes the headers that carry the keys and the names of client accounts. Private to the mesh library.
//
//   const key_decision key = checkKey(table.accounts, route.allowsAnonymous, headers, names, isProven);
//   ...
//   eraseKeyHeaders(forwarded, names);            // neither another node nor a worker sees a key
#pragma once

#include "process/freshness/freshness.h"
#include "process/mesh/mesh.h"
#include "request/account/account.h"

namespace pistachioquay::internal {

// checkKey decides about the key in the headers of a request, as `decideKey` does. Thread safe.
key_decision checkKey(const account_table &table,
                      bool allowsAnonymous,
                      const header_list &headers,
                      const mesh_headers &names,
                      bool isProven);

// eraseKeyHeaders removes keys and any account that the caller has named.
void eraseKeyHeaders(header_list &headers, const mesh_headers &names);

// isPlausibleAccount returns whether another node can mean `name` as an account, or as none: it is short and can be
// sent as the value of a header. Thread safe.
bool isPlausibleAccount(std::string_view name);

// proofRetryAfter returns when a caller whose key cannot be proven now may come again: by then the node has asked other
// nodes. Thread safe.
milliseconds proofRetryAfter(const freshness_state &freshness);

} // namespace pistachioquay::internal
